use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_capacity::CapacityTable;
use bay_range::{Granter, KeyRange, LeadershipAction, LeadershipRecord};
use bay_router::{EndedHolds, PeerMessage, object_key};
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock, Time};
use bay_types::{Revision, ServiceName, Term};

use super::{MAX_REPORT_AGE, ShellState, fan_out, messages};

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
    role.publish_plan.begin_term(BootClock.now());
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
/// answered within [`RESIGN_WAIT`], half of the grace period at most, the record says so and the
/// successor does not have to wait for orders that might still take effect.
pub(crate) async fn resign(shell: &Rc<ShellState>) {
    let started = BootClock.now();
    let max_wait = RESIGN_WAIT.min(shell.settings.bounds.stop_grace / 2);
    while are_orders_settled(shell) == Some(false) && BootClock.now().since(started) < max_wait {
        Timer::after(RESIGN_POLL).await;
    }
    let settled = are_orders_settled(shell);
    let is_store_lost = shell.store.is_lost();
    let ended_holds = ended_holds(shell);
    let (term, action) = {
        let role = &mut *shell.granter_role.borrow_mut();
        (role.term(), role.leadership.resign(BootClock.now(), settled))
    };
    if let (Some(term), Some(action)) = (term, action) {
        shell.granter_role.borrow_mut().services.clear();
        if let Some(services) = ended_holds {
            let message = PeerMessage::EndedHolds(EndedHolds { term, services });
            fan_out::fan_out(shell, &message);
        }
        log::info!(term = term.0, settled:? = settled; "granter resigns");
        if is_store_lost {
            // The write may not end in time.
            messages::send_resignation(shell, term);
        }
        run_leadership_action(Rc::clone(shell), action).await;
        messages::send_resignation(shell, term);
    }
}

/// Returns the ranges without a holder of each service, if there are any and no earlier granter may
/// renew holds.
fn ended_holds(shell: &ShellState) -> Option<Vec<(ServiceName, Vec<KeyRange>)>> {
    let now = BootClock.now();
    let role = shell.granter_role.borrow();
    if role.leadership.has_earlier_granters() {
        return None;
    }
    let mut services = Vec::new();
    for (service, keyed) in &role.services {
        let ranges = keyed.granter.as_ref().map(|granter| granter.ended_holds(now));
        if let Some(ranges) = ranges.filter(|ranges| !ranges.is_empty()) {
            services.push((*service, ranges));
        }
    }
    (!services.is_empty()).then_some(services)
}

/// Gives up the role if this granter has not loaded its range tables in time, so that another router
/// takes over; returns whether it has.
pub(super) fn hand_over_if_stuck(shell: &Rc<ShellState>, now: Time) -> bool {
    let services = shell.router.borrow().keyed_services();
    let may_have_services = shell.router.borrow().config().is_none() && shell.store.is_lost();
    let others = shell.router_hosts.borrow().len().saturating_sub(1);
    let (term, action) = {
        let role = &mut *shell.granter_role.borrow_mut();
        let has_answer = |service| role.services.get(service).is_some_and(|keyed| keyed.has_answer);
        // A granter with orders under way works, also if the table of another service is missing. Its
        // successor could not know when these orders have taken effect.
        let may_have_sent_orders = role
            .services
            .values()
            .any(|keyed| keyed.granter.as_ref().is_some_and(Granter::may_have_sent_orders));
        if may_have_sent_orders || (services.iter().all(has_answer) && !may_have_services) {
            role.leadership.record_working();
            role.publish_plan.record_tables_loaded();
        }
        // The granter counts as one that has reported.
        let reported = role.live_routers.count_within(now, MAX_REPORT_AGE).saturating_sub(1);
        role.publish_plan.record_reports(reported, others);
        (role.term(), role.leadership.hand_over(now, reported > 0))
    };
    let (Some(term), Some(action)) = (term, action) else {
        return false;
    };
    log::warn!(term = term.0; "granter hands over, as its tables are not loaded");
    messages::send_resignation(shell, term);
    handle_role_change(shell, Some(term));
    shell.spawn(run_leadership_action(Rc::clone(shell), action));
    true
}

/// Returns whether no order can still take effect, `None` if a range table is not loaded and the loaded
/// ones are settled, or if the services are not known.
fn are_orders_settled(shell: &ShellState) -> Option<bool> {
    let router = shell.router.borrow();
    router.config()?;
    let role = shell.granter_role.borrow();
    let granter = |service| role.services.get(&service)?.granter.as_ref();
    Granter::are_all_settled(BootClock.now(), router.keyed_services().into_iter().map(granter))
}
