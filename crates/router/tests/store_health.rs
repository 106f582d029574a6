//! Calls of the store during an outage.

use std::time::Duration;

use bay_router::StoreHealth;
use bay_time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// A store that has not answered since the start of the test.
fn lost() -> StoreHealth {
    let mut health = StoreHealth::default();
    assert!(!health.record_failure(at(0)));
    assert!(health.record_failure(at(500)));
    health
}

#[test]
fn a_failed_call_alone_holds_no_other_back() {
    let mut health = StoreHealth::default();
    health.record_failure(at(0));
    health.record_failure(at(400));
    assert!(!health.is_lost());
    assert!(health.allow_call(at(401), false));
    assert!(!health.record_success());
    assert!(!health.record_failure(at(700)), "the failures before the answer count no more");
}

#[test]
fn an_outage_of_ten_seconds_costs_a_router_nine_calls_however_many_tasks_ask() {
    let mut health = lost();
    let asks = (0..100_u64).flat_map(|step| [step * 100; 5]);
    let calls = asks.filter(|millis| {
        let admitted = health.allow_call(at(1_000 + millis), false);
        if admitted {
            health.record_failure(at(1_000 + millis));
        }
        admitted
    });
    assert_eq!(calls.count(), 9);
}

#[test]
fn the_granter_tries_more_often_than_the_others() {
    let mut health = lost();
    assert!(health.allow_call(at(1_000), true));
    assert!(!health.allow_call(at(1_400), true));
    assert!(health.allow_call(at(1_500), true));
}

#[test]
fn all_calls_are_made_again_once_one_was_answered() {
    let mut health = lost();
    assert!(health.allow_call(at(1_000), false));
    assert!(!health.allow_call(at(1_001), false));
    assert!(health.record_success());
    assert!(!health.is_lost());
    assert!(health.allow_call(at(1_002), false));
    assert!(health.allow_call(at(1_002) + Duration::from_millis(1), false));
}
