//! Calls to the store during an outage.

use std::time::Duration;

use bay_router::StoreHealth;
use bay_time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// A circuit breaker that has just opened.
fn lost() -> StoreHealth {
    let mut health = StoreHealth::default();
    assert!(!health.record_failure(at(0)));
    assert!(health.record_failure(at(500)));
    health
}

#[test]
fn failures_shorter_than_the_threshold_block_no_calls() {
    let mut health = StoreHealth::default();
    health.record_failure(at(0));
    health.record_failure(at(400));
    assert!(!health.is_lost());
    assert!(health.allow_call(at(401), false));
    assert!(!health.record_success());
    assert!(!health.record_failure(at(700)), "failures before the answer no longer count");
}

#[test]
fn an_outage_of_ten_seconds_costs_a_router_nine_calls_however_many_tasks_call() {
    let mut health = lost();
    let attempts = (0..100_u64).flat_map(|step| [step * 100; 5]);
    let calls = attempts.filter(|millis| {
        let admitted = health.allow_call(at(1_000 + millis), false);
        if admitted {
            health.record_failure(at(1_000 + millis));
        }
        admitted
    });
    assert_eq!(calls.count(), 9);
}

#[test]
fn the_granter_probes_more_often_than_other_routers() {
    let mut health = lost();
    assert!(health.allow_call(at(1_000), true));
    assert!(!health.allow_call(at(1_400), true));
    assert!(health.allow_call(at(1_500), true));
}

#[test]
fn an_answered_call_allows_all_calls_again() {
    let mut health = lost();
    assert!(health.allow_call(at(1_000), false));
    assert!(!health.allow_call(at(1_001), false));
    assert!(health.record_success());
    assert!(!health.is_lost());
    assert!(health.allow_call(at(1_002), false));
    assert!(health.allow_call(at(1_002) + Duration::from_millis(1), false));
}
