//! Steps of a planned stop.

use std::time::Duration;

use bay_router::{StopSchedule, StopStep};
use bay_time::Time;
use test_case::test_case;

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
    let schedule = StopSchedule::new(at(0), Duration::from_millis(1_200));
    assert_eq!(schedule.step(at(569), false), StopStep::Accept);
    assert_eq!(schedule.step(at(570), false), StopStep::Finish);
}

/// Guards against requests that are broken off too early: the last parts of a stop had fixed lengths, which
/// only fit long grace periods.
#[test_case(1)]
#[test_case(2)]
#[test_case(4)]
#[test_case(6)]
#[test_case(10)]
#[test_case(30)]
#[test_case(600)]
fn requests_are_cut_off_within_the_last_sixth_of_any_grace_period(grace_s: u64) {
    let grace_ms = grace_s * 1_000;
    let mut schedule = StopSchedule::new(at(0), Duration::from_millis(grace_ms));
    let steps = |schedule: &StopSchedule, step| {
        let schedule = *schedule;
        (0..=grace_ms).filter(move |now| schedule.step(at(*now), true) == step)
    };
    let accepted_until = steps(&schedule, StopStep::Accept).next_back().unwrap();
    assert!(accepted_until <= grace_ms / 2, "{accepted_until}");
    schedule.record_closed(at(accepted_until));
    let cut_off_at = steps(&schedule, StopStep::CutOff).next().unwrap();
    let ends_at = steps(&schedule, StopStep::End).next().unwrap();
    // An answer takes some time from the server through the router, and the exit of the process as well.
    let sixth = grace_ms / 6;
    assert!(cut_off_at >= grace_ms - sixth + sixth / 5, "{cut_off_at}");
    assert!(ends_at >= cut_off_at + sixth.min(1_000) / 5, "{cut_off_at} {ends_at}");
    assert!(ends_at <= grace_ms - sixth.min(1_000) / 5, "{ends_at}");
    // What is sent early enough is finished; what would outlast the stop is not sent.
    let sixth = Duration::from_millis(grace_ms / 6);
    assert!(schedule.may_send(at(0), Duration::MAX / 2, sixth * 5));
    assert!(!schedule.may_send(at(cut_off_at), Duration::MAX / 2, sixth));
}

#[test]
fn a_stop_without_a_grace_period_ends_at_once() {
    let mut schedule = StopSchedule::new(at(0), Duration::ZERO);
    assert_eq!(schedule.step(at(0), true), StopStep::Finish);
    schedule.record_closed(at(0));
    assert_eq!(schedule.step(at(0), true), StopStep::End);
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
