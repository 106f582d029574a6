use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_capacity::CapacityTable;
use bay_range::{LeadershipAction, LeadershipRecord};
use bay_router::object_key;
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{Revision, Term};

use super::{ShellState, messages};

/// Longest time that a resigning granter waits for replies to its orders. It is shorter than the
/// heartbeat timeout, after which another router would take over.
const RESIGN_WAIT: Duration = Duration::from_millis(700);

/// Interval between checks for the replies to orders.
const RESIGN_POLL: Duration = Duration::from_millis(10);

/// Sends a read or write of the leadership record to the store and applies the reply.
pub(super) async fn run_leadership_action(shell: Rc<ShellState>, action: LeadershipAction) {
    let Some(key) = object_key::leadership() else {
        return;
    };
    let sent = BootClock.now();
    let (request, record) = match action {
        LeadershipAction::Read => (StoreRequest::Get { key }, None),
        LeadershipAction::Write { record, expect } => {
            let precondition = expect.map_or(Precondition::Absent, Precondition::Revision);
            // Serialization of a record cannot fail.
            let body = serde_json::to_string(&record).unwrap_or_default();
            (StoreRequest::Put { key, body, precondition }, Some(record))
        }
    };
    let result = shell.store.call(&request).await;
    let now = BootClock.now();
    let previous_term = shell.granter_role.borrow().term();
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
    handle_role_change(&shell, previous_term);
}

fn parse_record(object: &Object) -> Option<(Revision, LeadershipRecord)> {
    Some((object.revision, serde_json::from_str(&object.body).ok()?))
}

/// Resets the granter's state if the term has changed since `previous_term`: on becoming the
/// granter, on losing the role, and on winning another term.
pub(super) fn handle_role_change(shell: &ShellState, previous_term: Option<Term>) {
    let role = &mut *shell.granter_role.borrow_mut();
    let current_term = role.term();
    if previous_term == current_term {
        return;
    }
    role.services.clear();
    role.capacities = CapacityTable::default();
    role.live_routers.clear();
    role.branches.clear();
    role.direct_until.clear();
    let previous_state = shell.granter_feed.take();
    let told = previous_state.last_state(BootClock.now()).map(|(state, _)| state.config_version);
    shell.feed_publisher.borrow_mut().reset(told);
    shell.store.set_granter(current_term.is_some());
    match current_term {
        Some(term) => log::info!(
            term = term.0,
            lingering = role.leadership.has_earlier_granters();
            "became granter"
        ),
        None => log::info!(term = role.leadership.known_term().0; "no longer granter"),
    }
}

/// Gives up the granter's role before a planned stop.
///
/// The caller has stopped the granter's steps, so no new orders are sent. If all orders are
/// answered within [`RESIGN_WAIT`], the record says so and the successor does not have to wait for
/// orders that might still take effect.
pub(crate) async fn resign(shell: &Rc<ShellState>) {
    let started = BootClock.now();
    while are_orders_settled(shell) == Some(false) && BootClock.now().since(started) < RESIGN_WAIT {
        Timer::after(RESIGN_POLL).await;
    }
    let settled = are_orders_settled(shell);
    let (term, action) = {
        let role = &mut *shell.granter_role.borrow_mut();
        (role.term(), role.leadership.resign(BootClock.now(), settled))
    };
    if let (Some(term), Some(action)) = (term, action) {
        shell.granter_role.borrow_mut().services.clear();
        log::info!(term = term.0, settled:? = settled; "granter resigns");
        run_leadership_action(Rc::clone(shell), action).await;
        messages::send_resignation(shell, term);
    }
}

/// Returns whether no order can still take effect, `None` if a range table is not loaded.
fn are_orders_settled(shell: &ShellState) -> Option<bool> {
    let now = BootClock.now();
    let keyed_services = shell.router.borrow().keyed_services();
    let role = shell.granter_role.borrow();
    let mut settled = true;
    for service in keyed_services {
        let granter = role.services.get(&service)?.granter.as_ref()?;
        settled &= granter.is_settled(now);
    }
    Some(settled)
}
