//! Order and pacing of what a new granter sends.

use std::time::Duration;

use bay_router::PublishPlan;
use bay_time::Time;

const BEGIN: Time = Time::ZERO;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn small_link() -> PublishPlan<usize> {
    let mut plan = PublishPlan::new(BEGIN, 10.0);
    plan.begin_term(at(1_000));
    plan
}

/// Guards against a configuration that is sent while the store has not answered, or to each router
/// because no relays are known.
#[test]
fn documents_wait_for_the_tables_and_for_relays() {
    let mut plan = small_link();
    plan.record_reports(81, 81);
    assert!(!plan.may_publish(at(5_000)));
    plan.record_tables_loaded();
    assert!(plan.may_publish(at(1_100)));
    plan.begin_term(at(6_000));
    plan.record_tables_loaded();
    plan.record_reports(40, 81);
    assert!(!plan.may_publish(at(6_100)));
    // Without reports the granter does not wait forever.
    assert!(plan.may_publish(at(6_500)));
}

#[test]
fn a_small_fleet_needs_no_relays() {
    let mut plan = small_link();
    plan.record_tables_loaded();
    plan.record_reports(0, 16);
    assert!(plan.may_publish(at(1_000)));
}

/// Guards against a granter that fills its own link for seconds.
#[test]
fn documents_take_at_most_half_of_the_link_after_a_burst() {
    let mut plan = small_link();
    (0..82).for_each(|each| plan.push(30_000, each));
    let mut sent = 0;
    for step in 0..25 {
        let now = at(1_000) + Duration::from_millis(40 * step);
        while plan.next_due(now).is_some() {
            sent += 30_000;
        }
    }
    // A burst of 125 kB, 625 kB within a second, and one datagram over.
    assert!((600_000..=780_000).contains(&sent), "{sent} bytes");
}

/// Deployments with large links see no pauses for a configuration through relays.
#[test]
fn a_large_link_sends_a_configuration_through_relays_at_once() {
    let mut plan = PublishPlan::new(BEGIN, 200.0);
    (0..16).for_each(|each| plan.push(40_000, each));
    let sent = std::iter::from_fn(|| plan.next_due(BEGIN)).count();
    assert_eq!(sent, 16);
}

#[test]
fn a_new_term_drops_what_an_earlier_one_has_queued() {
    let mut plan = small_link();
    plan.push(10, 1);
    plan.begin_term(at(2_000));
    assert_eq!(plan.next_due(at(2_000)), None);
}

/// Guards against taking a link that the router fills itself for a loss of the servers.
#[test]
fn messages_that_do_not_wait_make_the_link_busy_until_they_are_sent() {
    let mut plan = small_link();
    assert!(!plan.is_link_busy(at(1_000)));
    plan.record_sent(at(1_000), 200_000);
    plan.push(10, 1);
    assert!(plan.is_link_busy(at(1_000)));
    assert_eq!(plan.next_due(at(1_000)), None);
    assert!(!plan.is_link_busy(at(1_200)));
    assert_eq!(plan.next_due(at(1_200)), Some(1));
}
