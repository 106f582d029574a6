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
