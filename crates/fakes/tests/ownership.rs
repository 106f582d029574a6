//! Slice ownership on virtual time: balance, and the loss of single servers and stewards.

mod support;

use std::time::Duration;

use bay_fakes::ownership_sim::OwnershipSim;
use support::{assert_invariants, document, settled_sim};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn every_slice_gets_an_owner_and_the_servers_own_even_shares(seed: u64) {
    let mut sim = settled_sim(seed);
    sim.run(SECOND * 20);
    assert_invariants(&sim);
    let owned: Vec<usize> = sim.owned_slice_counts().into_iter().map(|(_, count)| count).collect();
    assert!(owned.iter().all(|count| (14..=18).contains(count)), "{owned:?}");
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_lost_servers_slices_are_served_again_within_two_seconds(seed: u64) {
    let mut sim = settled_sim(seed);
    sim.kill_server(2);
    sim.run(SECOND * 4);
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    assert!(!sim.meter.gaps.is_empty());
    let worst = sim.meter.gap_percentile(1.0);
    assert!(worst <= SECOND * 2, "{worst:?}");
}

#[test]
fn the_slices_of_any_lost_server_are_served_again() {
    for server in 0..8 {
        let mut sim = settled_sim(9);
        sim.kill_server(server);
        sim.run(SECOND * 4);
        assert_invariants(&sim);
        assert_eq!(sim.meter.overdue_count(sim.now()), 0, "server {server}");
    }
}

#[test_case(1)]
#[test_case(2)]
fn a_lost_steward_leaves_no_slice_unserved(seed: u64) {
    for index in 0..4 {
        let mut sim = settled_sim(seed);
        sim.kill_steward(index);
        sim.run(SECOND * 30);
        assert_invariants(&sim);
        assert_eq!(sim.meter.unserved_count(), 0);
        assert!(sim.meter.gaps.is_empty(), "{index}: {:?}", sim.meter.gaps);
    }
}

#[test]
fn the_documents_of_the_tests_are_valid() {
    let sim = OwnershipSim::new(1, &["north"], &[&document("yes")]);
    assert_eq!(sim.server_count(), 8);
}
