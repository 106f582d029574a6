//! The gate under its own limits, planned stops, counters and hot keys.

use std::time::Duration;

use bay_conf::Method;
use bay_gate::GateLimits;
use bay_types::{ErrorKind, KeyHash, Outcome};

use crate::support::{Bed, Head};

#[test]
fn requests_beyond_the_limit_are_refused_at_once() {
    let mut bed = Bed::with("pooled", 3);
    bed.gate.set_limits(GateLimits { max_calls: 5, max_waiting: 5 });
    let calls: Vec<_> = (0..8).map(|_| bed.post("/")).collect();
    assert_eq!(bed.attempts().len(), 5);
    for call in &calls[5..] {
        assert_eq!(bed.refusal(*call), Some(ErrorKind::GateOverloaded));
    }
    assert_eq!(bed.count("refused.gate-overloaded"), 3);
}

#[test]
fn requests_that_wait_are_bounded() {
    let mut bed = Bed::with("keyed", 3);
    bed.gate.set_limits(GateLimits { max_calls: 100, max_waiting: 5 });
    let calls: Vec<_> = (0..8).map(|_| bed.post("/jobs/1")).collect();
    for call in &calls[5..] {
        assert_eq!(bed.refusal(*call), Some(ErrorKind::GateOverloaded));
        assert_eq!(ErrorKind::GateOverloaded.outcome(), Outcome::NotRun);
    }
    bed.route(Some(1), 7);
    assert_eq!(bed.attempts().len(), 5);
    bed.pass(Duration::from_secs(3));
    assert_eq!(bed.gate.in_flight(), 0);
}

#[test]
fn a_planned_stop_refuses_new_requests_and_ends_the_others() {
    let mut bed = Bed::with("pooled", 3);
    bed.post("/");
    let sent = bed.attempt();
    bed.gate.stop_admitting();
    assert!(!bed.gate.is_ready());
    let late = bed.post("/");
    assert_eq!(bed.refusal(late), Some(ErrorKind::NotReady));
    assert_eq!(bed.gate.in_flight(), 1);
    bed.complete(sent);
    assert_eq!(bed.gate.in_flight(), 0);
}

#[test]
fn each_refusal_has_its_counter() {
    let mut bed = Bed::with("pooled", 3);
    for kind in ErrorKind::ALL {
        bed.gate.record_shell_refusal(kind);
        assert_eq!(bed.count(&format!("refused.{kind}")), 1);
    }
}

#[test]
fn the_hottest_keys_are_found_among_many() {
    let mut bed = Bed::with("keyed", 3);
    bed.route(Some(1), 7);
    for round in 0..20_000_u32 {
        let key = if round % 4 == 0 { round % 12 / 4 } else { 1_000 + round };
        bed.begin(&Head::new(Method::Get, &format!("/jobs/{key}")));
        if let Some(sent) = bed.attempts().pop() {
            bed.complete(sent);
        }
        bed.out.clear();
        bed.now += Duration::from_micros(250);
    }
    let now = bed.now;
    let hottest = bed.gate.hot_keys(now, crate::support::service()).to_vec();
    let mut found: Vec<_> = hottest[..3].iter().map(|rate| rate.key).collect();
    let mut expected: Vec<_> = ["0", "1", "2"].map(|key| KeyHash::of(key.as_bytes())).into();
    found.sort_unstable();
    expected.sort_unstable();
    assert_eq!(found, expected);
    // Each of the three gets 5 000 requests of 20 000 over 3 keys and 5 s.
    assert!(hottest[..3].iter().all(|hot| (200.0..600.0).contains(&hot.rate)), "{hottest:?}");
}
