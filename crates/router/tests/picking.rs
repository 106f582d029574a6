//! Choice of servers, retries and refusals.

mod support;

use std::time::Duration;

use bay_range::{KeyRange, OwnerId};
use bay_router::{
    AttemptResult, Counter, LoadReport, OwnerMap, RetryDecision, Router, RouterSettings,
    RoutingDecision, ServerEntry, ServerState,
};
use bay_types::{ErrorKind, Revision, Term};
use support::{admit, at, config, entry, picked, router, router_with, server, service, settings};

const ANSWERED: AttemptResult = AttemptResult::Answered { status: 200, not_run: false };
const NOT_RUN: AttemptResult = AttemptResult::Answered { status: 503, not_run: true };

/// Assigns key ranges to servers of the service `keyed`.
fn assign(router: &mut Router, sequence: u64, ranges: &[(u16, u16, &str)]) {
    let ranges = ranges
        .iter()
        .map(|(first, last, name)| {
            (KeyRange::new(*first, *last), OwnerId { server: server(name), started: 1 })
        })
        .collect();
    router.replace_owners(service("keyed"), OwnerMap { term: Term(1), sequence, ranges });
}

#[test]
fn a_large_body_stays_in_its_zone_and_a_busy_zone_spills_over() {
    let mut router = router(2, 8, 0);
    for round in 0..50 {
        let mut request = admit(&mut router, at(round), "/once/x", None);
        request.body_bytes = 60 * 1024;
        let choice = picked(router.pick_server(at(round), &mut request));
        assert!(choice.server.as_str().starts_with('a'));
    }
    let mut other_zone = 0;
    for _ in 0..60 {
        let mut request = admit(&mut router, at(60), "/once/x", None);
        let choice = picked(router.pick_server(at(60), &mut request));
        router.record_sent(at(0), &choice, &mut request);
        other_zone += usize::from(choice.server.as_str().starts_with('b'));
    }
    assert!(other_zone > 10, "{other_zone} of 60 requests went to the other zone");
}

#[test]
fn draining_and_excluded_servers_get_no_request() {
    let mut router = router(2, 0, 0);
    let draining = ServerEntry { state: ServerState::Draining, ..entry("pool", "a", 0) };
    router.apply_server(at(1), server("a0"), Revision(2), Some(draining));
    let mut request = admit(&mut router, at(2), "/pool/x", None);
    assert_eq!(picked(router.pick_server(at(2), &mut request)).server, server("a1"));
    request.excluded.push(server("a1"));
    assert!(matches!(
        router.pick_server(at(2), &mut request),
        RoutingDecision::Refuse(ErrorKind::NoTarget, Some(_))
    ));
}

/// Guards against a server that looked slow while overloaded and was then never picked again.
#[test]
fn a_server_that_was_overloaded_is_used_again_once_idle() {
    let mut router = router(1, 0, 0);
    for round in 0..40 {
        let now = at(round * 10);
        let mut request = admit(&mut router, now, "/pool/x", None);
        let choice = picked(router.pick_server(now, &mut request));
        router.record_sent(at(0), &choice, &mut request);
        let load = LoadReport { running: 4, waiting: 12, slots: 4, slowdown: 1.0 };
        router.record_load(now, &choice, load);
        router.record_finished(&choice);
        router.handle_result(now, &mut request, &choice, ANSWERED, Duration::from_millis(1_500));
        if matches!(router.pick_server(now, &mut request), RoutingDecision::Refuse(..)) {
            break;
        }
    }
    let later = at(60_000);
    let mut request = admit(&mut router, later, "/pool/x", None);
    assert!(matches!(router.pick_server(later, &mut request), RoutingDecision::Send(_)));
}

#[test]
fn a_request_that_would_queue_past_the_objective_is_refused_with_retry_after() {
    let mut router = router(1, 0, 0);
    let now = at(1);
    let mut refused = None;
    for _ in 0..60 {
        let mut request = admit(&mut router, now, "/pool/x", None);
        match router.pick_server(now, &mut request) {
            RoutingDecision::Send(choice) => router.record_sent(at(0), &choice, &mut request),
            RoutingDecision::Refuse(kind, after) => {
                refused = Some((kind, after.unwrap(), request.time_left(now)));
                break;
            }
            decision @ (RoutingDecision::Wait(_) | RoutingDecision::Acquire(_)) => {
                panic!("a request without a key must not wait: {decision:?}")
            }
        }
    }
    let (kind, after, left) = refused.unwrap();
    assert_eq!(kind, ErrorKind::ServiceOverloaded);
    assert!(after <= left / 3);
}

#[test]
fn a_request_goes_to_the_owner_of_its_key_and_waits_briefly_if_there_is_none() {
    let mut router = router(0, 0, 2);
    assign(&mut router, 1, &[(0, 99, "k0"), (100, 199, "k1")]);
    let mut request = admit(&mut router, at(0), "/keyed/x", Some(150));
    assert_eq!(picked(router.pick_server(at(0), &mut request)).server, server("k1"));
    let mut request = admit(&mut router, at(0), "/keyed/x", Some(500));
    assert!(matches!(router.pick_server(at(0), &mut request), RoutingDecision::Wait(_)));
    assert!(matches!(
        router.pick_server(at(101), &mut request),
        RoutingDecision::Refuse(ErrorKind::NoOwner, Some(_))
    ));
}

#[test]
fn older_owners_never_replace_newer_ones() {
    let mut router = router(0, 0, 2);
    assign(&mut router, 2, &[(0, 99, "k1")]);
    assign(&mut router, 1, &[(0, 99, "k0")]);
    let mut request = admit(&mut router, at(0), "/keyed/x", Some(50));
    assert_eq!(picked(router.pick_server(at(0), &mut request)).server, server("k1"));
}

#[test]
fn a_request_that_may_run_once_is_not_retried_after_its_answer_was_lost() {
    let mut router = router(3, 0, 0);
    let mut request = admit(&mut router, at(0), "/once/x", None);
    let choice = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &choice, &mut request);
    let lost = AttemptResult::Lost(ErrorKind::ConnectionLost);
    let verdict =
        router.handle_result(at(5), &mut request, &choice, lost, Duration::from_millis(5));
    assert_eq!(verdict, RetryDecision::Refuse(ErrorKind::ConnectionLost, None));
}

#[test]
fn a_request_that_was_not_run_is_retried_elsewhere_then_refused_as_overloaded() {
    let mut router = router(3, 0, 0);
    let mut request = admit(&mut router, at(0), "/once/x", None);
    let first = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &first, &mut request);
    let verdict =
        router.handle_result(at(5), &mut request, &first, NOT_RUN, Duration::from_millis(5));
    assert_eq!(verdict, RetryDecision::Retry);
    let second = picked(router.pick_server(at(5), &mut request));
    assert_ne!(second.server, first.server);
    router.record_sent(at(0), &second, &mut request);
    let verdict =
        router.handle_result(at(9), &mut request, &second, NOT_RUN, Duration::from_millis(4));
    assert!(matches!(verdict, RetryDecision::Refuse(ErrorKind::ServiceOverloaded, Some(_))));
}

/// A request that may have run must never be reported to its caller as not run.
#[test]
fn an_idempotent_request_whose_answer_was_lost_is_not_refused_as_not_run() {
    let mut router = router(3, 0, 0);
    let mut request = admit(&mut router, at(0), "/pool/x", None);
    let first = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &first, &mut request);
    let lost = AttemptResult::Lost(ErrorKind::ConnectionLost);
    assert_eq!(
        router.handle_result(at(5), &mut request, &first, lost, Duration::from_millis(5)),
        RetryDecision::Retry
    );
    let second = picked(router.pick_server(at(5), &mut request));
    router.record_sent(at(0), &second, &mut request);
    let verdict =
        router.handle_result(at(9), &mut request, &second, NOT_RUN, Duration::from_millis(4));
    assert_eq!(verdict, RetryDecision::Refuse(ErrorKind::ConnectionLost, None));
    request.excluded.extend([server("a0"), server("a1"), server("a2")]);
    assert_eq!(
        router.pick_server(at(9), &mut request),
        RoutingDecision::Refuse(ErrorKind::ConnectionLost, None)
    );
}

#[test]
fn a_request_that_crashed_three_servers_is_refused_and_those_lost_beside_it_are_not() {
    let mut router = router(6, 0, 0);
    let lost = AttemptResult::Lost(ErrorKind::ConnectionLost);
    for round in 0..3 {
        let now = at(round * 1_000);
        for digest in [1, 100 + round] {
            let mut request = admit(&mut router, now, "/once/x", None);
            request.digest = digest;
            let mut choice = picked(router.pick_server(now, &mut request));
            choice.server = server(&format!("a{round}"));
            router.record_sent(at(0), &choice, &mut request);
            router.handle_result(now, &mut request, &choice, lost, Duration::from_millis(5));
        }
        let name = server(&format!("a{round}"));
        router.apply_server(at(round * 1_000 + 500), name, Revision(10), None);
    }
    assert_eq!(router.drain_crashes().len(), 6);
    let mut request = admit(&mut router, at(4_000), "/once/x", None);
    request.digest = 1;
    assert!(matches!(
        router.pick_server(at(4_000), &mut request),
        RoutingDecision::Refuse(ErrorKind::Quarantined, _)
    ));
    request.digest = 100;
    assert!(matches!(router.pick_server(at(4_000), &mut request), RoutingDecision::Send(_)));
}

/// Incident inc-73bb: only answers in time counted, so servers that turned slow kept their load.
#[test]
fn a_server_that_stops_answering_in_time_counts_as_slow() {
    let mut router = router(2, 0, 0);
    for round in 0..60 {
        let now = at(round * 100);
        // More requests at a time than one server has slots, so that both get some.
        let mut sent = Vec::new();
        for _ in 0..6 {
            let mut request = admit(&mut router, now, "/pool/x", None);
            let choice = picked(router.pick_server(now, &mut request));
            router.record_sent(now, &choice, &mut request);
            sent.push((request, choice));
        }
        for (mut request, choice) in sent {
            router.record_finished(&choice);
            let is_slow = choice.server == server("a0");
            let (result, took) = match is_slow {
                true => (AttemptResult::TimedOut, Duration::from_millis(2_000)),
                false => (ANSWERED, Duration::from_millis(50)),
            };
            router.handle_result(now, &mut request, &choice, result, took);
        }
    }
    let time = |name| router.directory().get(server(name)).unwrap().service_ms();
    assert!(time("a0") > time("a1").map(|time| time * 4.0), "{:?} {:?}", time("a0"), time("a1"));
}

/// Incident inc-471d: servers that lost answers kept getting requests that may run only once.
#[test]
fn a_server_that_loses_answers_is_picked_less() {
    let mut router = router(2, 0, 0);
    let mut picks = 0;
    for round in 0..200 {
        let now = at(round * 50);
        let mut request = admit(&mut router, now, "/once/x", None);
        let choice = picked(router.pick_server(now, &mut request));
        router.record_sent(at(0), &choice, &mut request);
        router.record_finished(&choice);
        let loses = choice.server == server("a0") && round % 3 == 0;
        let result = if loses { AttemptResult::Lost(ErrorKind::ConnectionLost) } else { ANSWERED };
        router.handle_result(now, &mut request, &choice, result, Duration::from_millis(50));
        picks += usize::from(round >= 100 && choice.server == server("a0"));
    }
    assert!(picks < 20, "{picks} of 100 requests went to the server that loses answers");
}

/// In a large fleet a router meets each of many servers rarely. If every request went to a server
/// without regard to open connections, nearly every request would open one, which costs the server
/// time and the caller a round trip.
#[test]
fn requests_one_after_the_other_reuse_connections() {
    let mut router = router(12, 12, 0);
    let mut connected = std::collections::BTreeSet::new();
    let mut opened = 0;
    for round in 0..200 {
        let now = at(round * 150);
        let mut request = admit(&mut router, now, "/pool/x", None);
        let choice = picked(router.pick_server(now, &mut request));
        router.record_sent(now, &choice, &mut request);
        opened += usize::from(connected.insert(choice.server));
        router.record_finished(&choice);
        let end = at(round * 150 + 50);
        router.handle_result(end, &mut request, &choice, ANSWERED, Duration::from_millis(50));
    }
    assert!(opened <= 6, "{opened} connections for 200 requests");
}

/// Connections must not bind a router to a server that has become slow.
#[test]
fn a_slow_server_with_a_connection_loses_to_others() {
    let mut router = router(12, 0, 0);
    let mut slow = None;
    let mut at_slow = 0;
    for round in 0..60 {
        let now = at(round * 150);
        let mut request = admit(&mut router, now, "/pool/x", None);
        let choice = picked(router.pick_server(now, &mut request));
        router.record_sent(now, &choice, &mut request);
        let slow = *slow.get_or_insert(choice.server);
        let elapsed = if choice.server == slow { 900 } else { 50 };
        at_slow += usize::from(choice.server == slow);
        router.record_finished(&choice);
        let end = at(round * 150 + 50);
        let elapsed = Duration::from_millis(elapsed);
        router.handle_result(end, &mut request, &choice, ANSWERED, elapsed);
    }
    assert!(at_slow <= 6, "{at_slow} of 60 requests went to the slow server");
}

/// Incident inc-9a3b of amrcs-gateway: two of six servers turned slow, and 36 bookings that waited
/// there timed out, as a router learned of it only when the first of them did.
#[test]
fn a_server_whose_answers_are_missing_gets_no_further_requests_while_others_have_room() {
    let mut router = router(6, 0, 0);
    let slow = server("a0");
    let mut further = 0;
    for round in 0..100 {
        let now = at(round * 50);
        // The server stops answering in round 60. From round 63 on its answers are overdue, and the
        // other servers have slots for all but none to spare for long.
        let parallel = if round < 63 { 6 } else { 18 };
        let mut sent = Vec::new();
        for _ in 0..parallel {
            let mut request = admit(&mut router, now, "/once/x", None);
            let choice = picked(router.pick_server(now, &mut request));
            router.record_sent(now, &choice, &mut request);
            if choice.server != slow || round < 60 {
                sent.push((request, choice));
            } else if round >= 63 {
                further += 1;
            }
        }
        for (mut request, choice) in sent {
            router.record_finished(&choice);
            let took = Duration::from_millis(45);
            router.handle_result(at(round * 50 + 45), &mut request, &choice, ANSWERED, took);
        }
    }
    assert!(further == 0, "{further} further requests");
}

#[test]
fn a_request_goes_at_most_once_to_an_owner_that_does_not_hold_its_key() {
    let mut router = router(0, 0, 2);
    assign(&mut router, 1, &[(0, 99, "k0"), (100, 65_535, "k1")]);
    let mut request = admit(&mut router, at(0), "/keyed/x", Some(7));
    let owner = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &owner, &mut request);
    let result = AttemptResult::Misdirected;
    let decision = router.handle_result(at(2), &mut request, &owner, result, Duration::ZERO);
    assert_eq!(decision, RetryDecision::Retry);
    // Half of the latency objective is 100 ms.
    assert!(matches!(router.pick_server(at(2), &mut request), RoutingDecision::Wait(_)));
    let mut other = admit(&mut router, at(3), "/keyed/x", Some(8));
    assert!(matches!(router.pick_server(at(3), &mut other), RoutingDecision::Wait(_)));
    let mut unaffected = admit(&mut router, at(3), "/keyed/x", Some(100));
    picked(router.pick_server(at(3), &mut unaffected));
    let refused = router.pick_server(at(101), &mut request);
    assert!(matches!(refused, RoutingDecision::Refuse(ErrorKind::NoOwner, Some(_))));
    assign(&mut router, 2, &[(0, 65_535, "k1")]);
    assert_eq!(picked(router.pick_server(at(102), &mut request)).server, server("k1"));
}

#[test]
fn requests_that_an_owner_keeps_rejecting_are_refused_at_once_and_spend_no_retries() {
    let mut router = router(0, 0, 1);
    assign(&mut router, 1, &[(0, 65_535, "k0")]);
    for round in 0..200 {
        let now = round * 500;
        let mut request = admit(&mut router, at(now), "/keyed/x", Some(7));
        let owner = picked(router.pick_server(at(now), &mut request));
        router.record_sent(at(now), &owner, &mut request);
        router.record_finished(&owner);
        let result = AttemptResult::Misdirected;
        router.handle_result(at(now), &mut request, &owner, result, Duration::ZERO);
        let decision = router.pick_server(at(now), &mut request);
        match round {
            // The owner may be about to get the keys.
            0 => assert!(matches!(decision, RoutingDecision::Wait(_)), "{decision:?}"),
            _ => {
                let is_refused = matches!(decision, RoutingDecision::Refuse(ErrorKind::NoOwner, _));
                assert!(is_refused, "{decision:?}");
            }
        }
    }
    assert!(!router.counts().contains_key(&Counter::RetryMisdirected));
    assert!(!router.counts().contains_key(&Counter::RetryDenied));
}

#[test]
fn a_load_report_of_absurd_size_does_not_overflow() {
    let settings = RouterSettings { learn_capacities: true, ..settings("h1") };
    let mut router = router_with(settings, config(1), 1, 0, 0);
    let mut request = admit(&mut router, at(0), "/pool/x", None);
    let selected = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &selected, &mut request);
    let load = LoadReport { running: u32::MAX, waiting: u32::MAX, slots: u32::MAX, slowdown: 1.0 };
    router.record_load(at(1), &selected, load);
    let decision =
        router.handle_result(at(1), &mut request, &selected, ANSWERED, Duration::from_millis(1));
    assert_eq!(decision, RetryDecision::Deliver);
}
