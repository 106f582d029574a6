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

fn pause(router: &mut Router, now: Time, millis: u64) {
    router.record_pause(now, process(), Duration::from_millis(millis));
}

#[test]
fn a_pause_is_waited_for_if_the_request_is_still_in_good_time_then() {
    let mut router = router(1, 0, 0);
    pause(&mut router, at(0), 80);
    // The latency objective is 200 ms.
    assert_eq!(decide(&mut router, at(1)), RoutingDecision::Wait(at(80)));
    assert_eq!(picked(decide(&mut router, at(80))).server, server("a0"));
}

#[test]
fn a_request_that_cannot_wait_for_a_pause_is_told_when_to_return() {
    let mut router = router(1, 0, 0);
    pause(&mut router, at(0), 500);
    let RoutingDecision::Refuse(ErrorKind::ServiceOverloaded, Some(after)) =
        decide(&mut router, at(0))
    else {
        panic!("the request is refused at once");
    };
    assert!((500..=625).contains(&(after.as_millis() as u64)), "{after:?}");
    // A third of the 2 s that the caller waits is the upper bound.
    pause(&mut router, at(0), 60_000);
    let decision = decide(&mut router, at(0));
    assert!(
        matches!(decision, RoutingDecision::Refuse(_, Some(after)) if after.as_millis() <= 600)
    );
}

#[test]
fn a_server_with_a_pause_is_passed_over_and_gets_one_request_at_first_after_it() {
    let mut router = router(1, 0, 0);
    router.apply_server(at(0), server("a1"), Revision(2), Some(entry("pool", "a", 1)));
    pause(&mut router, at(0), 1_000);
    for now in 1..50 {
        assert_eq!(picked(decide(&mut router, at(now))).server, server("a1"));
    }
    router.apply_server(at(50), server("a1"), Revision(3), None);
    let mut first = admit(&mut router, at(1_000), "/pool/x", None);
    let selected = picked(router.pick_server(at(1_000), &mut first));
    router.record_sent(at(1_000), &selected, &mut first);
    assert_eq!(decide(&mut router, at(1_001)), RoutingDecision::Wait(at(1_016)));
    router.record_finished(&selected);
    router.record_unpaused_answer(at(1_050), &process());
    for _ in 0..4 {
        let mut request = admit(&mut router, at(1_051), "/pool/x", None);
        let selected = picked(router.pick_server(at(1_051), &mut request));
        router.record_sent(at(1_051), &selected, &mut request);
    }
}

#[test]
fn a_pause_is_not_shortened_holds_for_one_process_and_is_not_told_to_others() {
    let mut router = router(1, 0, 0);
    pause(&mut router, at(0), 1_000);
    pause(&mut router, at(1), 10);
    router.record_unpaused_answer(at(2), &process());
    assert!(matches!(decide(&mut router, at(900)), RoutingDecision::Wait(_)));
    assert!(router.drain_notices().is_empty());
    let restarted = ServerEntry { started: 2, ..entry("pool", "a", 0) };
    router.apply_server(at(901), server("a0"), Revision(7), Some(restarted));
    assert_eq!(picked(decide(&mut router, at(902))).server, server("a0"));
}

#[test]
fn a_pause_beyond_all_bounds_ends() {
    let mut router = router(1, 0, 0);
    router.record_pause(at(0), process(), Duration::MAX);
    assert!(matches!(decide(&mut router, at(3_599_000)), RoutingDecision::Refuse(_, Some(_))));
    assert_eq!(picked(decide(&mut router, at(3_600_001))).server, server("a0"));
}

#[test]
fn a_server_whose_address_another_one_has_is_tried_ever_more_seldom() {
    let mut router = router(1, 0, 0);
    let mut tries = Vec::new();
    for now in 0..20_000 {
        let mut request = admit(&mut router, at(now), "/pool/x", None);
        if let RoutingDecision::Send(selected) = router.pick_server(at(now), &mut request) {
            router.record_sent(at(now), &selected, &mut request);
            router.record_finished(&selected);
            let statement = ServerStatement::Replaced;
            assert!(router.record_statement(at(now), selected.process(), statement));
            tries.push(now);
        }
    }
    assert_eq!(tries, [0, 1_000, 3_000, 7_000, 15_000]);
}

#[test]
fn a_server_that_still_writes_its_entry_or_answers_was_not_replaced() {
    let mut router = router(1, 0, 0);
    let heartbeat = |heartbeat| Some(ServerEntry { heartbeat, ..entry("pool", "a", 0) });
    say(&mut router, at(1), ServerStatement::Replaced);
    router.apply_server(at(2), server("a0"), Revision(5), heartbeat(2));
    assert!(is_refused(&decide(&mut router, at(3))), "it may have written that before its end");
    router.apply_server(at(4), server("a0"), Revision(6), heartbeat(3));
    assert_eq!(picked(decide(&mut router, at(5))).server, server("a0"));
    say(&mut router, at(6), ServerStatement::Replaced);
    router.record_presence(&process());
    assert_eq!(picked(decide(&mut router, at(7))).server, server("a0"));
}

#[test]
fn keys_are_not_assigned_to_a_server_that_may_be_replaced() {
    let mut router = router(0, 0, 1);
    let ServerEntry { started, address, .. } = entry("keyed", "a", 100);
    let process = ServerProcess { server: server("k0"), started, address };
    router.record_statement(at(0), process, ServerStatement::Replaced);
    let eligible = |now| router.candidates(at(now), support::service("keyed"))[0].eligible;
    assert!(!eligible(1));
    assert!(!eligible(60_000), "nothing has shown that it runs");
}
