//! What servers say of themselves in answers decides whether they get requests.

mod support;

use std::time::Duration;

use bay_router::{
    Router, RoutingDecision, ServerEntry, ServerNotice, ServerProcess, ServerStatement,
};
use bay_time::Time;
use bay_types::{ErrorKind, Revision};
use support::{admit, at, entry, picked, router, server};

/// Records a statement of the only server of `pool`.
fn say(router: &mut Router, now: Time, statement: ServerStatement) -> bool {
    router.record_statement(now, process(), statement)
}

fn process() -> ServerProcess {
    let ServerEntry { started, address, .. } = entry("pool", "a", 0);
    ServerProcess { server: server("a0"), started, address }
}

fn decide(router: &mut Router, now: Time) -> RoutingDecision {
    let mut request = admit(router, now, "/pool/x", None);
    router.pick_server(now, &mut request)
}

fn is_refused(decision: &RoutingDecision) -> bool {
    matches!(decision, RoutingDecision::Refuse(ErrorKind::NoTarget, Some(_)))
}

#[test]
fn a_server_that_leaves_gets_nothing_after_its_entry_has_lapsed_and_returned() {
    let mut router = router(1, 0, 0);
    assert!(say(&mut router, at(1), ServerStatement::Leaving));
    assert!(!say(&mut router, at(2), ServerStatement::Leaving), "that is known");
    assert!(is_refused(&decide(&mut router, at(3))));
    router.apply_server(at(4), server("a0"), Revision(5), None);
    let returned = ServerEntry { heartbeat: 9, ..entry("pool", "a", 0) };
    router.apply_server(at(5), server("a0"), Revision(6), Some(returned));
    assert!(is_refused(&decide(&mut router, at(6))));
    let restarted = ServerEntry { started: 2, ..entry("pool", "a", 0) };
    router.apply_server(at(7), server("a0"), Revision(7), Some(restarted));
    assert_eq!(picked(decide(&mut router, at(8))).server, server("a0"));
}

#[test]
fn a_server_that_leaves_is_no_candidate_for_keys_at_any_router() {
    let mut owner = router(0, 0, 2);
    let mut granter = router(0, 0, 2);
    let ServerEntry { started, address, .. } = entry("keyed", "a", 100);
    let process = ServerProcess { server: server("k0"), started, address };
    owner.record_statement(at(1), process, ServerStatement::Leaving);
    let notices: Vec<ServerNotice> = owner.drain_notices();
    assert_eq!(notices, [ServerNotice { process, statement: ServerStatement::Leaving }]);
    assert!(granter.apply_notice(at(2), &notices[0]));
    assert!(granter.drain_notices().is_empty(), "a notice is not passed on");
    let candidates = granter.candidates(at(3), support::service("keyed"));
    let eligible: Vec<_> = candidates.iter().filter(|each| each.eligible).collect();
    assert_eq!(eligible.len(), 1);
    assert_eq!(eligible[0].owner.server, server("k1"));
}

#[test]
fn a_server_that_was_picked_gets_nothing_once_it_leaves() {
    let mut router = router(1, 0, 0);
    let selected = picked(decide(&mut router, at(1)));
    assert!(router.may_send(at(2), &selected));
    say(&mut router, at(3), ServerStatement::Leaving);
    assert!(!router.may_send(at(4), &selected));
}

#[test]
fn statements_of_thousands_of_servers_forget_the_oldest_only() {
    let mut router = router(1, 0, 0);
    say(&mut router, at(1), ServerStatement::Leaving);
    for index in 0..5_000 {
        let other = ServerProcess { started: 10 + index, ..process() };
        let now = Time::ZERO + Duration::from_millis(2 + index);
        router.record_statement(now, other, ServerStatement::Leaving);
    }
    assert!(!router.record_statement(
        at(6_000),
        ServerProcess { started: 5_009, ..process() },
        ServerStatement::Leaving
    ));
    assert!(say(&mut router, at(6_001), ServerStatement::Leaving), "it was forgotten");
}
