//! Several stewards together: the routes that gates receive and the owners of slices.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_time::Time;
use bay_types::KeyHash;
use bay_wire::ItemKey;
use test_case::test_case;

use support::{RANGES, Site, server_address, service, zone};

const START: Duration = Duration::from_secs(8);
/// Maximum time from the loss of a server until all its slices are served again.
const RECOVERY: Duration = Duration::from_secs(2);
/// Maximum time until a zone that was taken out owns no slice.
const ZONE_EMPTIED: Duration = Duration::from_secs(5);

fn started_site(hosts: usize, servers: usize) -> Site {
    let mut site = Site::new(hosts, servers);
    site.apply_document(1_000);
    site.run_for(START, assert_single_owners);
    for index in 0..hosts {
        assert_eq!(site.served_ranges(index), RANGES as usize, "gate {index}");
    }
    site
}

fn assert_single_owners(site: &mut Site) {
    assert_eq!(site.doubly_owned_slices(), 0, "at {:?}", site.now);
}

#[test_case(1, 2; "one host")]
#[test_case(3, 6; "three hosts")]
#[test_case(9, 17; "nine hosts")]
fn every_gate_routes_every_slice_to_its_owner(hosts: usize, servers: usize) {
    started_site(hosts, servers);
}

#[test_case(0)]
#[test_case(1)]
#[test_case(4)]
fn a_lost_servers_slices_are_served_again_in_time(lost: usize) {
    let mut site = started_site(9, 17);
    site.servers[lost].up = false;
    site.run_for(RECOVERY, assert_single_owners);
    for index in 0..9 {
        assert_eq!(site.served_ranges(index), RANGES as usize, "gate {index}");
    }
}

#[test_case(0)]
#[test_case(2)]
#[test_case(5)]
fn a_lost_steward_leaves_every_slice_served(lost: usize) {
    let mut site = started_site(9, 17);
    site.kill(lost);
    let other = (lost + 1) % 9;
    site.run_for(Duration::from_secs(30), |site| {
        assert_single_owners(site);
        assert_eq!(site.served_ranges(other), RANGES as usize, "at {:?}", site.now);
    });
}

#[test]
fn a_stopping_steward_hands_over_its_terms_without_interruption() {
    let mut site = started_site(3, 6);
    site.stop(0);
    site.run_for(Duration::from_secs(5), |site| {
        assert_single_owners(site);
        assert_eq!(site.served_ranges(1), RANGES as usize, "at {:?}", site.now);
    });
    assert!(site.stopped(0));
}

#[test]
fn a_steward_that_is_alone_stops_at_once() {
    let mut site = started_site(1, 2);
    site.stop(0);
    site.run_for(Duration::from_millis(100), assert_single_owners);
    assert!(site.stopped(0));
}

#[test]
fn a_zone_taken_out_owns_nothing_and_comes_back() {
    let mut site = started_site(9, 17);
    let out = zone(2);
    site.set_zone(out, ZoneState::Out);
    site.run_for(ZONE_EMPTIED, assert_single_owners);
    let in_zone = |site: &Site| {
        let routes = site.nodes[0].gate.routes();
        let addresses: Vec<_> = (0..site.servers.len())
            .filter(|index| site.servers[*index].zone == out)
            .map(server_address)
            .collect();
        routes.iter().flatten().filter(|route| addresses.contains(&route.server)).count()
    };
    assert_eq!(in_zone(&site), 0);
    assert_eq!(site.served_ranges(0), RANGES as usize);
    site.set_zone(out, ZoneState::In);
    site.run_for(Duration::from_secs(120), assert_single_owners);
    assert!(in_zone(&site) > 0, "the zone got no slice back");
    assert_eq!(site.served_ranges(0), RANGES as usize);
}

#[test]
fn a_hot_key_gets_a_slice_of_its_own_within_a_minute() {
    let mut site = started_site(9, 17);
    let hot = KeyHash(1 << 40);
    for _ in 0..12 {
        for index in 0..9 {
            site.report_rate(index, hot, 500, 1_500);
        }
        site.run_for(Duration::from_secs(5), assert_single_owners);
    }
    for node in &site.nodes {
        let route = node.gate.table.lookup(hot).expect("the key has an owner");
        assert!(route.slice.0 >= RANGES, "the key is still in its range");
    }
    assert_eq!(site.served_ranges(0), RANGES as usize);
}

#[test]
fn a_new_document_is_in_force_everywhere_and_stays() {
    let mut site = started_site(9, 6);
    let revision = site.apply_document(2_000);
    site.run_for(Duration::from_secs(5), assert_single_owners);
    let key = ItemKey::Document(service());
    for node in &site.nodes {
        assert_eq!(node.gate.versions[&key].major, revision.0);
    }
    for index in 0..9 {
        site.kill(index);
        site.run_for(Duration::from_millis(300), assert_single_owners);
        site.restart(index);
        site.run_for(Duration::from_secs(5), assert_single_owners);
    }
    for node in &site.nodes {
        assert_eq!(node.gate.versions[&key].major, revision.0);
        assert_eq!(node.gate.reverted, 0);
    }
    assert_eq!(site.served_ranges(0), RANGES as usize);
}

#[test]
fn status_names_every_node_and_what_it_has_in_force() {
    let mut site = started_site(9, 6);
    site.ask_status(3);
    site.run_for(Duration::from_secs(3), assert_single_owners);
    let status = site.statuses.last().expect("an answer");
    assert!(status.fresh);
    assert_eq!(status.members.len(), 9);
    assert!(status.silent.is_empty());
    assert_eq!(status.items.len(), 1);
    assert!(status.items[0].in_force >= 9);
}

#[test]
fn a_store_outage_of_ten_minutes_leaves_every_slice_served() {
    let mut site = started_site(3, 6);
    site.store.set_fault(bay_fakes::StoreFault::Down);
    let end = site.now + Duration::from_secs(600);
    while site.now < end {
        site.run_for(Duration::from_secs(10), assert_single_owners);
        assert_eq!(site.served_ranges(0), RANGES as usize, "at {:?}", site.now);
    }
    site.store.set_fault(bay_fakes::StoreFault::None);
    site.run_for(Duration::from_secs(30), assert_single_owners);
    assert_eq!(site.served_ranges(0), RANGES as usize);
    assert!(site.now > Time::ZERO);
}
