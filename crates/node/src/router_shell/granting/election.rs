use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{LeadershipAction, LeadershipRecord};
use bay_router::object_key;
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, Term};

use super::{Shell, messages};

/// Longest time for which a granter that resigns waits for the answers to its orders; below the
/// silence after which another one takes over.
const RESIGN_WAIT: Duration = Duration::from_millis(700);

/// Time between two checks of whether they have come.
const RESIGN_POLL: Duration = Duration::from_millis(10);

/// Performs a call of the election.
pub(super) async fn perform(shell: Rc<Shell>, action: LeadershipAction) {
    let Some(key) = object_key::leadership() else {
        return;
    };
    let sent = BootClock.now();
    let (request, record) = match action {
        LeadershipAction::Read => (StoreRequest::Get { key }, None),
        LeadershipAction::Write { record, expect } => {
            let precondition = expect.map_or(Precondition::Absent, Precondition::Revision);
            // A record always makes JSON.
            let body = serde_json::to_string(&record).unwrap_or_default();
            (StoreRequest::Put { key, body, precondition }, Some(record))
        }
    };
    let result = shell.store.call(&request).await;
    let now = BootClock.now();
    let before = shell.granting.borrow().term();
    {
        let leadership = &mut shell.granting.borrow_mut().leadership;
        match (result, record) {
            (Ok(StoreReply::Written(revision)), Some(record)) => {
                leadership.handle_write(now, sent, record, revision);
            }
            (Ok(StoreReply::Object(found) | StoreReply::Conflict(found)), _) => {
                leadership.handle_record(now, found.as_ref().and_then(read_record));
            }
            _ => leadership.handle_failure(now),
        }
    }
    on_role_change(&shell, before);
}

fn read_record(object: &Object) -> Option<(Revision, LeadershipRecord)> {
    Some((object.revision, serde_json::from_str(&object.body).ok()?))
}

/// Starts or ends to grant after a change of the standing.
pub(super) fn on_role_change(shell: &Shell, before: Option<Term>) {
    let granting = &mut *shell.granting.borrow_mut();
    let after = granting.term();
    if before == after {
        return;
    }
    granting.services.clear();
    granting.heard.clear();
    shell.fed.borrow_mut().clear();
    shell.told.borrow_mut().clear();
    shell.store.set_granter(after.is_some());
    match after {
        Some(term) => log::info!(
            term = term.0,
            lingering = granting.leadership.has_earlier_granters();
            "granter of a new term"
        ),
        None => log::info!(term = granting.leadership.known_term().0; "no longer granter"),
    }
}

/// Hands the granter's role over before a planned stop.
///
/// The steps of the granter have ended by then. If its orders are answered within a short time,
/// the successor need not wait for what they might still do.
pub(crate) async fn resign(shell: &Rc<Shell>) {
    let begun = BootClock.now();
    while !is_settled(shell) && BootClock.now().since(begun) < RESIGN_WAIT {
        Timer::after(RESIGN_POLL).await;
    }
    let settled = is_settled(shell);
    let (term, action) = {
        let granting = &mut *shell.granting.borrow_mut();
        (granting.term(), granting.leadership.resign(BootClock.now(), settled))
    };
    if let (Some(term), Some(action)) = (term, action) {
        shell.granting.borrow_mut().services.clear();
        log::info!(term = term.0, settled = settled; "granter resigns");
        perform(Rc::clone(shell), action).await;
        messages::farewell(shell, term);
    }
}

/// Whether no order is under way, also if this process is not the granter.
fn is_settled(shell: &Shell) -> bool {
    let now = BootClock.now();
    let granting = shell.granting.borrow();
    granting
        .services
        .values()
        .all(|granted| granted.granter.as_ref().is_none_or(|granter| granter.is_settled(now)))
}
