//! Slice ownership through store outages, planned stops, zones out of service, hot keys and
//! unfenced servers.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{Endpoint, OwnershipSim, StoreMode};
use bay_own::{KeyRate, SliceRate};
use bay_types::{KeyHash, ServiceName, SliceId, ZoneName};
use support::{ZONES, assert_invariants, document, settled_sim};
use test_case::test_case;

const SECOND: Duration = Duration::from_secs(1);
/// Limit of a store outage that leaves no slice unserved; the test stays ten seconds below it.
const OUTAGE: Duration = Duration::from_secs(600);

fn service() -> ServiceName {
    ServiceName::new("jobs").unwrap()
}

#[test_case(1)]
#[test_case(2)]
fn owners_keep_serving_through_a_store_outage(seed: u64) {
    let mut sim = settled_sim(seed);
    sim.run(SECOND * 3);
    sim.set_store_mode(StoreMode::Down);
    sim.run(OUTAGE - SECOND * 10);
    sim.set_store_mode(StoreMode::Up);
    sim.run(SECOND * 30);
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    assert!(sim.meter.gaps.is_empty(), "{:?}", sim.meter.gaps);
}

#[test_case(1, 0; "keeper of north")]
#[test_case(2, 1; "keeper of south")]
#[test_case(3, 2; "keeper of peel")]
fn the_loss_of_a_keeper_in_a_store_outage_leaves_no_slice_unserved(seed: u64, zone: usize) {
    let mut sim = settled_sim(seed);
    sim.set_store_mode(StoreMode::Down);
    sim.run(SECOND * 120);
    let zone = ZoneName::new(ZONES[zone]).unwrap();
    let keeper = sim.term_holder(service(), zone, false).unwrap();
    sim.kill_steward(keeper);
    sim.run(SECOND * 440);
    sim.set_store_mode(StoreMode::Up);
    sim.run(SECOND * 30);
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    assert!(sim.meter.gaps.is_empty(), "{:?}", sim.meter.gaps);
}

#[test]
fn the_loss_of_a_server_in_a_store_outage_leaves_only_its_own_slices_unserved() {
    let mut sim = settled_sim(4);
    let before = sim.owned_slice_counts()[3].1;
    sim.set_store_mode(StoreMode::Down);
    sim.run(SECOND * 60);
    sim.kill_server(3);
    sim.run(SECOND * 60);
    assert_eq!(sim.meter.unserved_count(), before);
    assert!(sim.meter.gaps.is_empty(), "{:?}", sim.meter.gaps);
    sim.set_store_mode(StoreMode::Up);
    sim.run(SECOND * 4);
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
}

#[test_case(1)]
#[test_case(2)]
fn planned_stops_of_all_stewards_leave_no_slice_unserved(seed: u64) {
    let mut sim = settled_sim(seed);
    for index in 0..sim.steward_count() {
        sim.stop_steward(index);
        sim.run(SECOND);
        assert!(sim.is_steward_stopped(index));
        sim.kill_steward(index);
        sim.run(SECOND * 3);
        sim.start_steward(index);
        sim.run(SECOND * 3);
    }
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    assert!(sim.meter.gaps.is_empty(), "{:?}", sim.meter.gaps);
}

#[test_case(1)]
#[test_case(2)]
fn a_zone_taken_out_is_empty_within_seconds_and_filled_again(seed: u64) {
    let mut sim = settled_sim(seed);
    let servers = sim.servers_in("peel");
    sim.set_zone_state("peel", ZoneState::Out);
    sim.run(SECOND * 5);
    let owned = sim.owned_slice_counts();
    assert!(servers.iter().all(|server| owned[*server].1 == 0), "{owned:?}");
    sim.forbid_grants(&["peel"]);
    sim.run(SECOND * 60);
    sim.forbid_grants(&[]);
    sim.set_zone_state("peel", ZoneState::In);
    sim.run(SECOND * 120);
    assert_invariants(&sim);
    let owned = sim.owned_slice_counts();
    assert!(owned.iter().all(|(_, count)| (14..=18).contains(count)), "{owned:?}");
}

#[test]
fn a_leaving_server_is_emptied() {
    let mut sim = settled_sim(5);
    let leaving = document("yes").replace("10.0.0.6:80\n", "10.0.0.6:80\nleaving = yes\n");
    sim.apply_document(&leaving);
    sim.run(SECOND * 5);
    assert_invariants(&sim);
    assert_eq!(sim.owned_slice_counts()[6].1, 0);
}

/// Reports four keys far hotter than the mean of the slices and returns them.
fn report_hot_keys(sim: &mut OwnershipSim) -> Vec<KeyHash> {
    let slices: Vec<SliceRate> =
        (0..128).map(|slice| SliceRate { slice: SliceId(slice), per_second: 10 }).collect();
    let hashes: Vec<KeyHash> = (0..4).map(|index| KeyHash((index << 59) + 12_345)).collect();
    let keys: Vec<KeyRate> =
        hashes.iter().map(|key| KeyRate { key: *key, per_second: 500 }).collect();
    sim.report_rates(service(), &keys, &slices);
    hashes
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn hot_keys_get_slots_and_keep_one_owner(seed: u64) {
    let mut sim = settled_sim(seed);
    let keys = report_hot_keys(&mut sim);
    for round in 0..8 {
        sim.run(SECOND * 4);
        if round % 2 == 0 {
            sim.pause_server(round);
            sim.run(SECOND);
            sim.resume_server(round);
        }
        report_hot_keys(&mut sim);
    }
    let shards = sim.shards(service());
    let hot = &shards[0].hot;
    assert!(keys.iter().all(|key| hot.iter().any(|hot| hot.key == *key)), "{hot:?}");
    // Without further reports, the keys cool down and return to their ranges.
    sim.run(SECOND * 45);
    sim.report_rates(service(), &[], &[SliceRate { slice: SliceId(0), per_second: 1 }]);
    sim.run(SECOND * 120);
    assert_invariants(&sim);
    assert!(sim.shards(service())[0].hot.is_empty());
    assert_eq!(sim.meter.overdue_count(sim.now()), 0);
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn unfenced_servers_keep_one_owner_while_keepers_change_and_orders_are_late(seed: u64) {
    let zones: Vec<&str> = ZONES.iter().cycle().take(8).copied().collect();
    let mut sim = OwnershipSim::new(seed, &zones, &[&document("no")]);
    sim.run(SECOND * 20);
    sim.network.late_one_in = 20;
    sim.network.max_delay = Duration::from_secs(2);
    for round in 0..6 {
        let keeper = sim.term_holder(service(), ZoneName::new(ZONES[round % 4]).unwrap(), false);
        sim.pause_steward(keeper.unwrap());
        sim.set_zone_state(ZONES[(round + 1) % 4], ZoneState::Out);
        sim.run(SECOND * 8);
        sim.resume_steward(keeper.unwrap());
        sim.set_zone_state(ZONES[(round + 1) % 4], ZoneState::In);
        sim.pause_server(round);
        sim.run(SECOND * 6);
        sim.resume_server(round);
    }
    assert_invariants(&sim);
    sim.heal(SECOND * 60);
    assert_invariants(&sim);
    assert_eq!(sim.meter.overdue_count(sim.now()), 0);
}

#[test]
fn a_deputy_keeps_a_server_serving_that_its_keeper_cannot_reach() {
    let mut sim = settled_sim(6);
    let zone = ZoneName::new(ZONES[0]).unwrap();
    let keeper = sim.term_holder(service(), zone, false).unwrap();
    sim.cut(Endpoint::Steward(keeper), Endpoint::Server(0));
    sim.run(SECOND * 30);
    assert_invariants(&sim);
    assert!(sim.meter.gaps.is_empty(), "{:?}", sim.meter.gaps);
    assert_eq!(sim.meter.unserved_count(), 0);
}

#[test_case(1)]
#[test_case(2)]
fn a_server_that_only_its_replaced_keeper_reaches_keeps_serving(seed: u64) {
    let mut sim = settled_sim(seed);
    let zone = ZoneName::new(ZONES[0]).unwrap();
    let keeper = sim.term_holder(service(), zone, false).unwrap();
    for other in (0..sim.steward_count()).filter(|other| *other != keeper) {
        sim.cut(Endpoint::Steward(other), Endpoint::Steward(keeper));
        sim.cut(Endpoint::Steward(other), Endpoint::Server(0));
    }
    sim.cut(Endpoint::Steward(keeper), Endpoint::Store);
    sim.run(SECOND * 120);
    assert_ne!(sim.term_holder(service(), zone, false), Some(keeper));
    assert_invariants(&sim);
    assert_eq!(sim.meter.unserved_count(), 0);
    // The replaced keeper's reply to the request to step down frees the slices of the lost server.
    sim.kill_server(0);
    sim.heal(SECOND * 20);
    assert_invariants(&sim);
    assert_eq!(sim.meter.overdue_count(sim.now()), 0);
}
