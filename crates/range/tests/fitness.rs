//! How long a router leaves the granter's role to fitter ones.

use std::time::Duration;

use bay_range::{Fitness, Leadership};
use test_case::test_case;

/// Latest time after a store's return at which an eligible router reads the record: the interval of
/// the circuit breaker's probes and a step.
const LATEST_READ: Duration = Duration::from_millis(1_350);

/// Guards against a router that could not work as the granter and wins because it learns first that an
/// outage is over.
#[test_case(|fitness| fitness.size = 0.1; "small machine")]
#[test_case(|fitness| fitness.size = 0.99; "machine that is just too small")]
#[test_case(|fitness| fitness.is_zone_out = true; "zone out of service")]
#[test_case(|fitness| fitness.is_zone_unknown = true; "zone not read since the outage")]
#[test_case(|fitness| fitness.is_stopping = true; "stopping")]
#[test_case(|fitness| fitness.is_store_lost = true; "store lost")]
#[test_case(|fitness| fitness.is_cut_off = true; "cut off from the servers")]
fn an_ineligible_router_leaves_the_slowest_eligible_one_a_head_start(change: fn(&mut Fitness)) {
    let mut fitness = Fitness::of_size(1.0);
    let slowest = fitness.takeover_delay(1.0);
    assert_eq!(slowest.usual, Leadership::MAX_IMMEDIATE_DELAY);
    assert_eq!(slowest.after_outage, slowest.usual);
    change(&mut fitness);
    assert!(!fitness.is_eligible());
    assert!(fitness.takeover_delay(0.0).after_outage > LATEST_READ + slowest.after_outage);
}

/// Deployments without an outage see the delays by size as before.
#[test_case(1.0, 0; "large")]
#[test_case(0.5, 350; "half as large")]
#[test_case(0.1, 630; "small")]
fn without_an_outage_the_delay_depends_on_size_as_before(size: f64, millis: u64) {
    let usual = Fitness::of_size(size).takeover_delay(0.0).usual;
    assert_eq!(usual, Duration::from_millis(millis));
}
