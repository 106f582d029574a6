//! Ownership through store outages, planned stops, zones out, hot keys and unfenced servers.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{Endpoint, OwnershipSim, StoreMode};
use bay_own::{KeyRate, SliceRate};
use bay_types::{KeyHash, ServiceName, SliceId, ZoneName};
use support::{ZONES, document, settled, sound};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
/// The outage that has to be borne.
const OUTAGE: Duration = Duration::from_secs(600);

fn service() -> ServiceName {
    ServiceName::new("jobs").unwrap()
}

#[test_case(1)]
#[test_case(2)]
fn standing_owners_serve_through_a_store_outage(seed: u64) {
    let mut driver = settled(seed);
    driver.run(SECOND * 3);
    driver.set_store_mode(StoreMode::Down);
    driver.run(OUTAGE - SECOND * 10);
    driver.set_store_mode(StoreMode::Up);
    driver.run(SECOND * 30);
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    assert!(driver.meter.gaps.is_empty(), "{:?}", driver.meter.gaps);
}

#[test_case(1, 0; "keeper of north")]
#[test_case(2, 1; "keeper of south")]
#[test_case(3, 2; "keeper of peel")]
fn a_keeper_lost_in_a_store_outage_leaves_its_servers_serving(seed: u64, zone: usize) {
    let mut driver = settled(seed);
    driver.set_store_mode(StoreMode::Down);
    driver.run(SECOND * 120);
    let zone = ZoneName::new(ZONES[zone]).unwrap();
    let keeper = driver.term_holder(service(), zone, false).unwrap();
    driver.kill_steward(keeper);
    driver.run(SECOND * 440);
    driver.set_store_mode(StoreMode::Up);
    driver.run(SECOND * 30);
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    assert!(driver.meter.gaps.is_empty(), "{:?}", driver.meter.gaps);
}

#[test]
fn a_server_lost_in_a_store_outage_takes_only_its_own_slices() {
    let mut driver = settled(4);
    let before = driver.owned_slice_counts()[3].1;
    driver.set_store_mode(StoreMode::Down);
    driver.run(SECOND * 60);
    driver.kill_server(3);
    driver.run(SECOND * 60);
    assert_eq!(driver.meter.unserved_count(), before);
    assert!(driver.meter.gaps.is_empty(), "{:?}", driver.meter.gaps);
    driver.set_store_mode(StoreMode::Up);
    driver.run(SECOND * 4);
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
}

#[test_case(1)]
#[test_case(2)]
fn a_planned_stop_of_each_steward_in_turn_cuts_nothing(seed: u64) {
    let mut driver = settled(seed);
    for index in 0..driver.steward_count() {
        driver.stop_steward(index);
        driver.run(SECOND);
        assert!(driver.is_steward_stopped(index));
        driver.kill_steward(index);
        driver.run(SECOND * 3);
        driver.start_steward(index);
        driver.run(SECOND * 3);
    }
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    assert!(driver.meter.gaps.is_empty(), "{:?}", driver.meter.gaps);
}

#[test_case(1)]
#[test_case(2)]
fn a_zone_taken_out_is_empty_within_seconds_and_filled_again(seed: u64) {
    let mut driver = settled(seed);
    let servers = driver.servers_in("peel");
    driver.set_zone_state("peel", ZoneState::Out);
    driver.run(SECOND * 5);
    let owned = driver.owned_slice_counts();
    assert!(servers.iter().all(|server| owned[*server].1 == 0), "{owned:?}");
    driver.forbid_grants(&["peel"]);
    driver.run(SECOND * 60);
    driver.forbid_grants(&[]);
    driver.set_zone_state("peel", ZoneState::In);
    driver.run(SECOND * 120);
    sound(&driver);
    let owned = driver.owned_slice_counts();
    assert!(owned.iter().all(|(_, count)| (14..=18).contains(count)), "{owned:?}");
}

#[test]
fn a_leaving_server_is_emptied() {
    let mut driver = settled(5);
    let leaving = document("yes").replace("10.0.0.6:80\n", "10.0.0.6:80\nleaving = yes\n");
    driver.apply_document(&leaving);
    driver.run(SECOND * 5);
    sound(&driver);
    assert_eq!(driver.owned_slice_counts()[6].1, 0);
}

/// Four keys far hotter than the mean of the slices.
fn hot_rates(driver: &mut OwnershipSim) -> Vec<KeyHash> {
    let slices: Vec<SliceRate> =
        (0..128).map(|slice| SliceRate { slice: SliceId(slice), per_second: 10 }).collect();
    let hashes: Vec<KeyHash> = (0..4).map(|index| KeyHash((index << 59) + 12_345)).collect();
    let keys: Vec<KeyRate> =
        hashes.iter().map(|key| KeyRate { key: *key, per_second: 500 }).collect();
    driver.report_rates(service(), &keys, &slices);
    hashes
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn hot_keys_get_slots_and_keep_one_owner(seed: u64) {
    let mut driver = settled(seed);
    let keys = hot_rates(&mut driver);
    for round in 0..8 {
        driver.run(SECOND * 4);
        if round % 2 == 0 {
            driver.pause_server(round);
            driver.run(SECOND);
            driver.resume_server(round);
        }
        hot_rates(&mut driver);
    }
    let shards = driver.shards(service());
    let hot = &shards[0].hot;
    assert!(keys.iter().all(|key| hot.iter().any(|hot| hot.key == *key)), "{hot:?}");
    // No more reports: the keys cool and go back to their ranges.
    driver.run(SECOND * 45);
    driver.report_rates(service(), &[], &[SliceRate { slice: SliceId(0), per_second: 1 }]);
    driver.run(SECOND * 120);
    sound(&driver);
    assert!(driver.shards(service())[0].hot.is_empty());
    assert_eq!(driver.meter.overdue_count(driver.now()), 0);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn unfenced_servers_keep_one_owner_while_keepers_change_and_orders_are_late(seed: u64) {
    let zones: Vec<&str> = ZONES.iter().cycle().take(8).copied().collect();
    let mut driver = OwnershipSim::new(seed, &zones, &[&document("no")]);
    driver.run(SECOND * 20);
    driver.network.late_one_in = 20;
    driver.network.max_delay = Duration::from_secs(2);
    for round in 0..6 {
        let keeper = driver.term_holder(service(), ZoneName::new(ZONES[round % 4]).unwrap(), false);
        driver.pause_steward(keeper.unwrap());
        driver.set_zone_state(ZONES[(round + 1) % 4], ZoneState::Out);
        driver.run(SECOND * 8);
        driver.resume_steward(keeper.unwrap());
        driver.set_zone_state(ZONES[(round + 1) % 4], ZoneState::In);
        driver.pause_server(round);
        driver.run(SECOND * 6);
        driver.resume_server(round);
    }
    sound(&driver);
    driver.heal(SECOND * 60);
    sound(&driver);
    assert_eq!(driver.meter.overdue_count(driver.now()), 0);
}

#[test]
fn a_keeper_cut_from_a_server_leaves_it_to_the_deputy() {
    let mut driver = settled(6);
    let zone = ZoneName::new(ZONES[0]).unwrap();
    let keeper = driver.term_holder(service(), zone, false).unwrap();
    driver.cut(Endpoint::Steward(keeper), Endpoint::Server(0));
    driver.run(SECOND * 30);
    sound(&driver);
    assert!(driver.meter.gaps.is_empty(), "{:?}", driver.meter.gaps);
    assert_eq!(driver.meter.unserved_count(), 0);
}

#[test_case(1)]
#[test_case(2)]
fn a_replaced_keeper_that_still_reaches_its_server_keeps_it(seed: u64) {
    let mut driver = settled(seed);
    let zone = ZoneName::new(ZONES[0]).unwrap();
    let keeper = driver.term_holder(service(), zone, false).unwrap();
    for other in (0..driver.steward_count()).filter(|other| *other != keeper) {
        driver.cut(Endpoint::Steward(other), Endpoint::Steward(keeper));
        driver.cut(Endpoint::Steward(other), Endpoint::Server(0));
    }
    driver.cut(Endpoint::Steward(keeper), Endpoint::Store);
    driver.run(SECOND * 120);
    assert_ne!(driver.term_holder(service(), zone, false), Some(keeper));
    sound(&driver);
    assert_eq!(driver.meter.unserved_count(), 0);
    // What it says when it is asked to end its part frees the server's slices.
    driver.kill_server(0);
    driver.heal(SECOND * 20);
    sound(&driver);
    assert_eq!(driver.meter.overdue_count(driver.now()), 0);
}
