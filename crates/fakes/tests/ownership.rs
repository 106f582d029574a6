//! Ownership under one fault at a time, on virtual time.

mod support;

use std::time::Duration;

use bay_fakes::ownership_sim::OwnershipSim;
use support::{document, settled, sound};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn every_slice_gets_an_owner_and_the_load_is_even(seed: u64) {
    let mut driver = settled(seed);
    driver.run(SECOND * 20);
    sound(&driver);
    let owned: Vec<usize> =
        driver.owned_slice_counts().into_iter().map(|(_, count)| count).collect();
    assert!(owned.iter().all(|count| (14..=18).contains(count)), "{owned:?}");
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn a_lost_servers_slices_are_served_again_within_two_seconds(seed: u64) {
    let mut driver = settled(seed);
    driver.kill_server(2);
    driver.run(SECOND * 4);
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    assert!(!driver.meter.gaps.is_empty());
    let worst = driver.meter.gap_percentile(1.0);
    assert!(worst <= SECOND * 2, "{worst:?}");
}

#[test]
fn each_server_in_turn_may_be_lost() {
    for server in 0..8 {
        let mut driver = settled(9);
        driver.kill_server(server);
        driver.run(SECOND * 4);
        sound(&driver);
        assert_eq!(driver.meter.overdue_count(driver.now()), 0, "server {server}");
    }
}

#[test_case(1)]
#[test_case(2)]
fn a_lost_steward_leaves_no_slice_unserved(seed: u64) {
    for index in 0..4 {
        let mut driver = settled(seed);
        driver.kill_steward(index);
        driver.run(SECOND * 30);
        sound(&driver);
        assert_eq!(driver.meter.unserved_count(), 0);
        assert!(driver.meter.gaps.is_empty(), "{index}: {:?}", driver.meter.gaps);
    }
}

#[test]
fn the_documents_of_the_tests_are_valid() {
    let driver = OwnershipSim::new(1, &["north"], &[&document("yes")]);
    assert_eq!(driver.server_count(), 8);
}
