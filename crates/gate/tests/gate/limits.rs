//! Limits, planned stops, counters and hot keys of a gate.

use std::time::Duration;

use bay_conf::Method;
use bay_gate::GateLimits;
use bay_types::{ErrorKind, KeyHash, Outcome};

use crate::support::{GateHarness, Head};

#[test]
fn requests_beyond_the_limit_are_refused_at_once() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.gate.set_limits(GateLimits { max_calls: 5, max_waiting: 5 });
    let calls: Vec<_> = (0..8).map(|_| harness.post("/")).collect();
    assert_eq!(harness.drain_attempts().len(), 5);
    for call in &calls[5..] {
        assert_eq!(harness.refusal(*call), Some(ErrorKind::GateOverloaded));
    }
    assert_eq!(harness.drain_count("refused.gate-overloaded"), 3);
}

#[test]
fn waiting_requests_beyond_the_limit_are_refused() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.gate.set_limits(GateLimits { max_calls: 100, max_waiting: 5 });
    let calls: Vec<_> = (0..8).map(|_| harness.post("/jobs/1")).collect();
    for call in &calls[5..] {
        assert_eq!(harness.refusal(*call), Some(ErrorKind::GateOverloaded));
        assert_eq!(ErrorKind::GateOverloaded.outcome(), Outcome::NotRun);
    }
    harness.assign_slices(Some(1), 7);
    assert_eq!(harness.drain_attempts().len(), 5);
    harness.advance(Duration::from_secs(3));
    assert_eq!(harness.gate.in_flight(), 0);
}

#[test]
fn a_planned_stop_refuses_new_requests_and_completes_live_ones() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.post("/");
    let sent = harness.expect_attempt();
    harness.gate.stop_admitting();
    assert!(!harness.gate.is_ready());
    let late = harness.post("/");
    assert_eq!(harness.refusal(late), Some(ErrorKind::NotReady));
    assert_eq!(harness.gate.in_flight(), 1);
    harness.complete(sent);
    assert_eq!(harness.gate.in_flight(), 0);
}

#[test]
fn each_shell_refusal_increments_its_counter() {
    let mut harness = GateHarness::with_service("pooled", 3);
    for kind in ErrorKind::ALL {
        harness.gate.record_shell_refusal(kind);
        assert_eq!(harness.drain_count(&format!("refused.{kind}")), 1);
    }
}

#[test]
fn the_most_frequent_keys_are_reported() {
    let mut harness = GateHarness::with_service("keyed", 3);
    harness.assign_slices(Some(1), 7);
    for round in 0..20_000_u32 {
        let key = if round % 4 == 0 { round % 12 / 4 } else { 1_000 + round };
        harness.begin(&Head::new(Method::Get, &format!("/jobs/{key}")));
        if let Some(sent) = harness.drain_attempts().pop() {
            harness.complete(sent);
        }
        harness.out.clear();
        harness.now += Duration::from_micros(250);
    }
    let now = harness.now;
    let hottest = harness.gate.hot_keys(now, crate::support::service()).to_vec();
    let mut found: Vec<_> = hottest[..3].iter().map(|rate| rate.key).collect();
    let mut expected: Vec<_> = ["0", "1", "2"].map(|key| KeyHash::of(key.as_bytes())).into();
    found.sort_unstable();
    expected.sort_unstable();
    assert_eq!(found, expected);
    // 5 000 of the 20 000 requests are for these three keys, within 5 s.
    assert!(hottest[..3].iter().all(|hot| (200.0..600.0).contains(&hot.rate)), "{hottest:?}");
}
