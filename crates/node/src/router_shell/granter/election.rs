use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{LeadershipAction, LeadershipRecord};
use bay_router::object_key;
use bay_store::{Expect, Object, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, Term};

use super::{ShellState, messages};

/// Longest time for which a granter that resigns waits for the answers to its orders; below the
/// silence after which another one takes over.
const RESIGN_WAIT: Duration = Duration::from_millis(700);

/// Time between two checks of whether they have come.
const RESIGN_POLL: Duration = Duration::from_millis(10);

/// Performs a call of the election.
pub(super) async fn run_leadership_action(shell: Rc<ShellState>, action: LeadershipAction) {
    let Some(key) = object_key::leadership() else {
        return;
    };
    let sent = BootClock.now();
    let (request, record) = match action {
        LeadershipAction::Read => (StoreRequest::Get { key }, None),
        LeadershipAction::Write { record, expect } => {
            let expect = expect.map_or(Expect::Absent, Expect::Revision);
            // A record always makes JSON.
            let body = serde_json::to_string(&record).unwrap_or_default();
            (StoreRequest::Put { key, body, expect }, Some(record))
        }
    };
    let result = shell.store.call(&request).await;
    let now = BootClock.now();
    let before = shell.granter_role.borrow().term();
    {
        let leadership = &mut shell.granter_role.borrow_mut().leadership;
        match (result, record) {
            (Ok(StoreReply::Written(revision)), Some(record)) => {
                leadership.handle_write(now, sent, record, revision);
            }
            (Ok(StoreReply::Object(found) | StoreReply::Conflict(found)), _) => {
                leadership.handle_record(now, found.as_ref().and_then(parse_record));
            }
            _ => leadership.handle_failure(now),
        }
    }
    handle_role_change(&shell, before);
}

fn parse_record(object: &Object) -> Option<(Revision, LeadershipRecord)> {
    Some((object.revision, serde_json::from_str(&object.body).ok()?))
}

/// Starts or ends to grant after a change of the standing.
pub(super) fn handle_role_change(shell: &ShellState, before: Option<Term>) {
    let role = &mut *shell.granter_role.borrow_mut();
    let after = role.term();
    if before == after {
        return;
    }
    role.services.clear();
    role.live_routers.clear();
    shell.granter_feed.borrow_mut().clear();
    shell.feed_publisher.borrow_mut().reset();
    shell.store.set_granter(after.is_some());
    match after {
        Some(term) => log::info!(
            term = term.0,
            lingering = role.leadership.has_earlier_granters();
            "granter of a new term"
        ),
        None => log::info!(term = role.leadership.known_term().0; "no longer granter"),
    }
}

/// Hands the granter's role over before a planned stop.
///
/// The steps of the granter have ended by then. If its orders are answered within a short time,
/// the successor need not wait for what they might still do.
pub(crate) async fn resign(shell: &Rc<ShellState>) {
    let started = BootClock.now();
    while !are_orders_settled(shell) && BootClock.now().since(started) < RESIGN_WAIT {
        Timer::after(RESIGN_POLL).await;
    }
    let settled = are_orders_settled(shell);
    let (term, action) = {
        let role = &mut *shell.granter_role.borrow_mut();
        (role.term(), role.leadership.resign(BootClock.now(), settled))
    };
    if let (Some(term), Some(action)) = (term, action) {
        shell.granter_role.borrow_mut().services.clear();
        log::info!(term = term.0, settled = settled; "granter resigns");
        run_leadership_action(Rc::clone(shell), action).await;
        messages::send_resignation(shell, term);
    }
}

/// Whether no order is under way, also if this process is not the granter.
fn are_orders_settled(shell: &ShellState) -> bool {
    let now = BootClock.now();
    let role = shell.granter_role.borrow();
    role.services
        .values()
        .all(|keyed| keyed.granter.as_ref().is_none_or(|granter| granter.is_settled(now)))
}
