//! Tests the replication of items: versions never decrease, and every node gets the newest.

mod driver;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_member::{ItemTable, OfferResult};
use bay_types::{ServiceName, SliceId, Token, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion, RouteRow, Routes, decode, encode};
use driver::{Net, document};
use proptest::prelude::*;
use test_case::test_case;

const CHANGE_LIMIT_9: Duration = Duration::from_secs(5);
const CHANGE_LIMIT: Duration = Duration::from_secs(20);

fn joined(count: usize, zones: usize, seed: u64) -> Net {
    let mut net = Net::new(count, zones, seed);
    assert!(net.run_until(Duration::from_secs(30), Net::agreed).is_some());
    net
}

fn in_force_within(net: &mut Net, limit: Duration, item: &Item) {
    let (key, version) = (item.key, item.version);
    let reached = net.run_until(limit, move |net| net.everywhere(key, version));
    assert!(reached.is_some(), "{key} {version:?} is not in force everywhere");
}

#[test_case(9, 3, 0.0, 1, CHANGE_LIMIT_9)]
#[test_case(9, 3, 0.05, 2, CHANGE_LIMIT_9)]
#[test_case(100, 8, 0.0, 3, CHANGE_LIMIT)]
#[test_case(100, 8, 0.05, 4, CHANGE_LIMIT)]
fn a_change_reaches_every_node_in_time(
    count: usize,
    zones: usize,
    loss: f64,
    seed: u64,
    limit: Duration,
) {
    let mut net = joined(count, zones, seed);
    net.loss = loss;
    for major in 1..=5 {
        let item = document("jobs", major, 40_000);
        net.offer(0, item.clone());
        in_force_within(&mut net, limit, &item);
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn an_older_version_from_the_store_is_dropped(seed: u64) {
    let mut net = joined(20, 4, seed);
    let newer = document("jobs", 7, 2_000);
    net.offer(0, newer.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &newer);
    // A store that lags behind after an outage returns an older version to several nodes.
    for index in [0, 5, 11] {
        net.offer(index, document("jobs", 6, 2_000));
    }
    net.run(Duration::from_secs(30));
    assert!(net.everywhere(newer.key, newer.version));
    assert!(net.nodes[5].peers.counts().stale_items > 0);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_deletion_and_a_recreation_never_revert(seed: u64) {
    let mut net = joined(20, 4, seed);
    let (first, deleted, again) =
        (document("jobs", 1, 3_000), document("jobs", 2, 0), document("jobs", 3, 3_000));
    net.offer(0, first);
    net.run(Duration::from_millis(20));
    net.offer(3, deleted.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &deleted);
    net.offer(7, again.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &again);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_restarted_node_gets_the_newest_version_from_its_peers(seed: u64) {
    let mut net = joined(20, 4, seed);
    let item = document("jobs", 9, 3_000);
    net.offer(0, item.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &item);
    net.restart(4);
    // The restarted node first reads an older version from the store.
    net.offer(4, document("jobs", 2, 3_000));
    in_force_within(&mut net, CHANGE_LIMIT, &item);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn both_sides_of_a_partition_converge_on_the_newest_versions(seed: u64) {
    let mut net = joined(24, 6, seed);
    let first = |node: &driver::Node| node.zone.as_str() < "zone-3";
    net.cut = Box::new(move |from, to| first(from) != first(to));
    net.run(Duration::from_secs(120));
    let (jobs, photos) = (document("jobs", 5, 3_000), document("photos", 6, 3_000));
    net.offer(0, jobs.clone());
    net.offer(3, photos.clone());
    net.run(Duration::from_secs(60));
    net.cut = Box::new(|_, _| false);
    net.run(Duration::from_secs(40));
    in_force_within(&mut net, CHANGE_LIMIT, &jobs);
    in_force_within(&mut net, CHANGE_LIMIT, &photos);
}

#[test]
fn a_paused_node_catches_up() {
    let mut net = joined(20, 4, 3);
    net.pause(6);
    let item = document("jobs", 4, 3_000);
    net.offer(0, item.clone());
    net.run(Duration::from_secs(30));
    net.resume(6);
    in_force_within(&mut net, CHANGE_LIMIT, &item);
}

#[test]
fn a_survey_lists_lagging_and_silent_nodes() {
    let mut net = joined(60, 6, 5);
    net.link_gates();
    let item = document("jobs", 4, 3_000);
    net.offer(0, item.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &item);
    net.pause(9);
    let newer = document("jobs", 5, 3_000);
    net.offer(0, newer.clone());
    net.run(Duration::from_secs(3));
    net.survey(0);
    net.run(Duration::from_secs(2));
    assert!(net.nodes[0].surveyed);
    let status = net.nodes[0].peers.cluster_status();
    // 59 stewards and their gates answer; the paused node does not.
    assert_eq!((status.items[0].in_force, status.items[0].asked), (118, 118));
    assert_eq!(status.silent, [net.nodes[9].id]);
    assert!(status.lagging.is_empty());
    assert_eq!(status.silent_gates, [net.nodes[9].id]);

    let held_back = net.nodes[20].id;
    net.cut = Box::new(move |from, to| (from.id == held_back) != (to.id == held_back));
    let newest = document("jobs", 6, 3_000);
    net.offer(0, newest);
    net.run(Duration::from_secs(3));
    net.cut = Box::new(|_, _| false);
    net.survey(0);
    net.run(Duration::from_millis(100));
    let status = net.nodes[0].peers.cluster_status();
    let lagging: Vec<_> = status.lagging.iter().map(|process| process.node).collect();
    assert!(lagging.iter().all(|node| *node == held_back), "{lagging:?}");
    assert_eq!(lagging.len(), 2);
}

#[test]
fn a_survey_includes_the_answer_of_every_gate() {
    let mut net = joined(30, 6, 5);
    net.link_gates();
    let item = document("jobs", 4, 3_000);
    net.offer(0, item.clone());
    in_force_within(&mut net, CHANGE_LIMIT, &item);
    net.run(Duration::from_secs(1));
    for asking in 0..20 {
        net.survey(asking);
        let asked = move |net: &Net| net.nodes[asking].surveyed;
        assert!(net.run_until(Duration::from_secs(2), asked).is_some());
        let status = net.nodes[asking].peers.cluster_status();
        assert_eq!((status.items[0].in_force, status.items[0].asked), (60, 60));
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn items_reach_every_node_although_connections_break(seed: u64) {
    let mut net = joined(30, 6, seed);
    net.links_broken = 0.4;
    for major in 1..=5 {
        let item = document("jobs", major, 5_000);
        net.offer(0, item.clone());
        in_force_within(&mut net, CHANGE_LIMIT, &item);
    }
}

fn routes_key() -> ItemKey {
    ItemKey::Routes(ServiceName::new("jobs").unwrap(), ZoneName::new("a").unwrap())
}

fn routes(servers: &[u16], rows: &[(u32, u64, Option<u16>)]) -> Vec<u8> {
    let servers = servers.iter().map(|port| SocketAddr::from(([10, 0, 0, 1], *port))).collect();
    let row = |(slice, token, server): &(u32, u64, Option<u16>)| RouteRow {
        slice: SliceId(*slice),
        token: Token(*token),
        server: *server,
    };
    let rows = rows.iter().map(row).collect();
    encode(&Routes { servers, rows, hot: Vec::new() }).unwrap()
}

fn owners(item: &Item) -> BTreeMap<u32, Option<u16>> {
    let routes: Routes = decode(&item.body).unwrap();
    let owner = |row: &RouteRow| {
        let server = row.server.map(|index| routes.servers[usize::from(index)].port());
        (row.slice.0, server)
    };
    routes.rows.iter().map(owner).collect()
}

#[test]
fn deltas_are_applied_and_a_gap_is_detected() {
    let version = |minor| ItemVersion { major: 2, minor };
    let item = |minor, base: Option<u64>, body| Item {
        key: routes_key(),
        version: version(minor),
        base: base.map(version),
        body,
    };
    let mut table = ItemTable::new();
    let delta = item(2, Some(1), routes(&[9], &[(0, 4, Some(0))]));
    assert_eq!(table.offer(&delta), OfferResult::Gap);
    let full = item(1, None, routes(&[7, 8], &[(0, 1, Some(0)), (1, 2, Some(1))]));
    assert_eq!(table.offer(&full), OfferResult::Newer);
    assert_eq!(table.offer(&delta), OfferResult::Newer);
    let held = table.item(routes_key()).unwrap();
    assert_eq!(owners(&held), BTreeMap::from([(0, Some(9)), (1, Some(8))]));
    let skipping_delta = item(5, Some(4), routes(&[9], &[(1, 5, None)]));
    assert_eq!(table.offer(&skipping_delta), OfferResult::Gap);
    assert_eq!(table.version(routes_key()), version(2));
    assert_eq!(table.offer(&item(2, None, routes(&[7], &[]))), OfferResult::Stale);
}

#[test_case(0.0, 1; "no loss")]
#[test_case(0.1, 2; "one in ten lost")]
fn many_deltas_reach_every_node_and_gate(loss: f64, seed: u64) {
    let mut net = joined(30, 6, seed);
    net.link_gates();
    net.loss = loss;
    let version = |minor| ItemVersion { major: 3, minor };
    let offer = |net: &mut Net, minor: u64, base: Option<u64>, body: Vec<u8>| {
        let item =
            Item { key: routes_key(), version: version(minor), base: base.map(version), body };
        net.offer(0, item);
    };
    let rows: Vec<_> = (0..500).map(|slice| (slice, 1, Some(0))).collect();
    offer(&mut net, 1, None, routes(&[1], &rows));
    for minor in 2..=60 {
        let row = (minor as u32, minor, Some(0));
        offer(&mut net, minor, Some(minor - 1), routes(&[minor as u16], &[row]));
        net.run(Duration::from_millis(70));
    }
    let reached = net.run_until(CHANGE_LIMIT, |net| net.everywhere(routes_key(), version(60)));
    assert!(reached.is_some());
    let expected = net.nodes[0].peers.items().item(routes_key()).unwrap();
    for node in &net.nodes {
        let held = node.peers.items().item(routes_key()).unwrap();
        assert_eq!(owners(&held), owners(&expected));
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_restarted_node_catches_up_while_route_tables_keep_changing(seed: u64) {
    let mut net = joined(20, 4, seed);
    let item = document("jobs", 9, 3_000);
    net.offer(0, item.clone());
    net.run(Duration::from_secs(60));
    for minor in 1..=300 {
        if minor == 100 {
            net.restart(4);
        }
        let version = ItemVersion { major: 1, minor };
        let body = routes(&[1], &[(1, minor, Some(0))]);
        net.offer(0, Item { key: routes_key(), version, base: None, body });
        net.run(Duration::from_millis(100));
    }
    assert!(net.everywhere(item.key, item.version));
}

/// Generates offers of one service's route table, full items and deltas, in any order.
fn offers() -> impl Strategy<Value = Vec<(u64, u64, Option<u64>)>> {
    prop::collection::vec((1..4u64, 0..6u64, prop::option::of(0..6u64)), 0..40)
}

proptest! {
    #[test]
    fn no_order_of_offers_lowers_a_version(offers in offers()) {
        let mut table = ItemTable::new();
        let mut highest = ItemVersion::default();
        for (major, minor, base) in offers {
            let version = ItemVersion { major, minor };
            let base = base.map(|minor| ItemVersion { major, minor });
            let item = Item { key: routes_key(), version, base, body: routes(&[1], &[]) };
            let offered = table.offer(&item);
            if offered == OfferResult::Newer {
                prop_assert!(version > highest);
                highest = version;
            }
            prop_assert_eq!(table.version(routes_key()), highest);
            let full_item_is_dropped = base.is_none() && version > highest;
            prop_assert!(!full_item_is_dropped);
        }
    }

    #[test]
    fn any_order_and_repetition_of_offers_ends_at_the_newest_version(order in Just((1..9u64).collect::<Vec<_>>()).prop_shuffle(), repeated in 0..8usize) {
        let mut table = ItemTable::new();
        for major in order.iter().chain(&order[..repeated]) {
            table.offer(&document("jobs", *major, 10));
        }
        let key = document("jobs", 1, 0).key;
        prop_assert_eq!(table.version(key).major, 8);
    }
}
