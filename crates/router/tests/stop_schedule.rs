//! Steps of a planned stop.

use std::time::Duration;

use bay_router::{StopSchedule, StopStep};
use bay_time::Time;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

/// Guards against a process that ends before it has read the requests on connections that it has just
/// accepted.
#[test]
fn a_stop_waits_for_requests_on_the_last_connections_accepted() {
    let mut schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    assert_eq!(schedule.step(at(2_299), false), StopStep::Accept);
    assert_eq!(schedule.step(at(2_300), false), StopStep::Finish);
    schedule.record_closed(at(2_300));
    assert_eq!(schedule.step(at(2_301), false), StopStep::Finish);
    assert_eq!(schedule.step(at(2_449), false), StopStep::Finish);
    assert_eq!(schedule.step(at(2_450), false), StopStep::End);
}

/// Guards against a stop that outlasts its grace period, or that closes connections without an answer.
#[test]
fn a_busy_router_is_cut_off_before_its_grace_period_ends() {
    let mut schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    schedule.record_closed(at(2_300));
    assert_eq!(schedule.step(at(5_299), true), StopStep::Finish);
    assert_eq!(schedule.step(at(5_300), true), StopStep::CutOff);
    assert_eq!(schedule.step(at(5_699), true), StopStep::CutOff);
    assert_eq!(schedule.step(at(5_700), true), StopStep::End);
}

/// Guards against a short grace period that is spent on accepting connections.
#[test]
fn half_of_a_short_grace_period_is_left_for_requests() {
    let schedule = StopSchedule::new(at(0), Duration::from_millis(1_300));
    assert_eq!(schedule.step(at(499), false), StopStep::Accept);
    assert_eq!(schedule.step(at(500), false), StopStep::Finish);
}

/// Guards against a request that is broken off at a server that is at work, as it was passed on late.
#[test]
fn a_late_request_is_sent_only_if_its_own_time_ends_before_the_cut_off() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    let may_send = |now, time_left_ms| {
        schedule.may_send(at(now), Duration::from_millis(time_left_ms), Duration::ZERO)
    };
    // Requests on the last connections accepted.
    assert!(may_send(2_450, 60_000));
    assert!(!may_send(2_451, 60_000));
    assert!(may_send(4_300, 1_000));
    assert!(!may_send(4_301, 1_000));
    assert!(!may_send(5_301, 0));
    assert_eq!(schedule.latest_send(Duration::MAX), at(2_450));
}

/// Guards against a request that is passed on although its server is known to take too long.
#[test]
fn a_request_that_is_expected_to_outlast_the_stop_is_not_sent() {
    let schedule = StopSchedule::new(at(0), Duration::from_secs(6));
    let may_send = |now, time_left_ms, expected_ms| {
        let time_left = Duration::from_millis(time_left_ms);
        schedule.may_send(at(now), time_left, Duration::from_millis(expected_ms))
    };
    assert!(may_send(2_000, 60_000, 3_300));
    assert!(!may_send(2_000, 60_000, 3_301));
    // Its caller waits no longer than that.
    assert!(may_send(2_000, 1_000, 4_000));
}
