//! Prints the cost of the control traffic per node at several cluster sizes, on virtual time.
//!
//! Each run simulates a warm-up and ten minutes of normal operation: a configuration change every
//! three minutes, a small delta of one route table every second, 1% datagram loss, and one node
//! restart every 200 seconds. Bytes are those sent and received, including headers and seals.
//! Processor time covers the state machines and the driver, without sockets and cryptography.
//!
//! Arguments: the percentage of datagrams lost (1 by default), and the only cluster size to run.

#[path = "../tests/driver/mod.rs"]
mod driver;

use std::time::{Duration, Instant};

use bay_time::Time;
use bay_types::{ServiceName, SliceId, Token, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion, RouteRow, Routes, encode};
use driver::{Net, document};

const WARM_UP: Duration = Duration::from_secs(60);
const MEASURED_SECONDS: u64 = 600;
const CHANGE_INTERVAL_SECONDS: u64 = 180;
const RESTART_INTERVAL_SECONDS: u64 = 200;
const DOCUMENT_BYTES: usize = 20_000;
const SERVICES: u64 = 3;
/// Placeholder for the delay of a change that did not arrive.
const NEVER: Duration = Duration::from_secs(99_999);

fn main() {
    let percent: f64 = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(1.0);
    println!(
        "{:>6} {:>12} {:>12} {:>12} {:>10} {:>12} {:>12} {:>10} {:>8}",
        "nodes",
        "B/s mean",
        "B/s most",
        "messages/s",
        "core %",
        "change mean",
        "change most",
        "catch-up",
        "dead"
    );
    let only: Option<usize> = std::env::args().nth(2).and_then(|text| text.parse().ok());
    let sizes = [(9, 3), (100, 8), (300, 8), (780, 8)];
    for (nodes, zones) in sizes.into_iter().filter(|(nodes, _)| only.is_none_or(|o| o == *nodes)) {
        run(nodes, zones, percent / 100.0);
    }
}

fn run(nodes: usize, zones: usize, loss: f64) {
    let mut net = Net::new(nodes, zones, nodes as u64);
    net.loss = loss;
    net.run(WARM_UP);
    net.link_gates();
    create_route_tables(&mut net, zones);
    net.run(WARM_UP);
    for node in &mut net.nodes {
        node.traffic = driver::Traffic::default();
    }
    let started = Instant::now();
    let mut delays = Vec::new();
    let mut change: Option<(Item, Time)> = None;
    let mut restarted = None;
    let mut catch_up = Duration::ZERO;
    for second in 0..MEASURED_SECONDS {
        if second % CHANGE_INTERVAL_SECONDS == 0 {
            let item = document("jobs", second + 1, DOCUMENT_BYTES);
            change = Some((item.clone(), net.now));
            net.offer(second as usize % nodes, item);
        }
        if second % RESTART_INTERVAL_SECONDS == 100 {
            let node = second as usize % nodes;
            net.restart(node);
            restarted = Some((node, net.now));
        }
        change_route_table(&mut net, zones, second);
        net.run(Duration::from_secs(1));
        if second % CHANGE_INTERVAL_SECONDS == 60
            && let Some((item, at)) = change.take()
        {
            delays.extend(change_delays(&net, &item, at));
        }
        if second % RESTART_INTERVAL_SECONDS == 130
            && let Some((node, at)) = restarted.take()
        {
            let key = document("jobs", 0, 0).key;
            catch_up = catch_up.max(delay(&net.nodes[node], key, at));
        }
    }
    let cpu = started.elapsed();
    report(&net, cpu, &delays, catch_up);
}

fn create_route_tables(net: &mut Net, zones: usize) {
    for service in 0..SERVICES {
        for zone in 0..zones {
            let rows = (0..1_000).map(|slice| row(slice, 1)).collect();
            let version = ItemVersion { major: 1, minor: 0 };
            let body = routes(rows);
            let item = Item { key: route_key(service, zone), version, base: None, body };
            net.offer(producer(zone), item);
        }
    }
}

/// Changes the tokens of a few slices of one route table, as a delta.
fn change_route_table(net: &mut Net, zones: usize, second: u64) {
    let zone = second as usize % zones;
    let key = route_key(second % SERVICES, zone);
    let base = net.nodes[producer(zone)].peers.items().version(key);
    let version = ItemVersion { minor: base.minor + 1, ..base };
    let rows = (0..4).map(|slice| row(second as u32 % 900 + slice, second + 2)).collect();
    let item = Item { key, version, base: Some(base), body: routes(rows) };
    net.offer(producer(zone), item);
}

/// Returns the node that produces the route tables of a zone. It is never restarted.
fn producer(zone: usize) -> usize {
    zone
}

fn route_key(service: u64, zone: usize) -> ItemKey {
    let service = ServiceName::new(&format!("service-{service}")).expect("a valid name");
    ItemKey::Routes(service, ZoneName::new(&format!("zone-{zone}")).expect("a valid name"))
}

fn row(slice: u32, token: u64) -> RouteRow {
    RouteRow { slice: SliceId(slice), token: Token(token), server: Some(0) }
}

fn routes(rows: Vec<RouteRow>) -> Vec<u8> {
    let servers = vec![([10, 1, 0, 1], 80).into()];
    encode(&Routes { servers, rows, hot: Vec::new() }).expect("a route table that fits a frame")
}

/// Returns how long after `at` each node received an item, or [`NEVER`].
fn change_delays(net: &Net, item: &Item, at: Time) -> Vec<Duration> {
    let has = |node: &&driver::Node| node.peers.items().version(item.key) >= item.version;
    net.nodes
        .iter()
        .map(|node| Some(node).filter(has).map_or(NEVER, |node| delay(node, item.key, at)))
        .collect()
}

/// Returns the time from `since` to the last change of an item on a node.
fn delay(node: &driver::Node, key: ItemKey, since: Time) -> Duration {
    node.changed.get(&key).map_or(NEVER, |changed| changed.since(since))
}

fn report(net: &Net, cpu: Duration, delays: &[Duration], catch_up: Duration) {
    let nodes = net.nodes.len() as f64;
    let seconds = MEASURED_SECONDS as f64;
    let bytes: u64 = net.nodes.iter().map(|node| node.traffic.bytes).sum();
    let messages: u64 = net.nodes.iter().map(|node| node.traffic.messages).sum();
    let most = net.nodes.iter().map(|node| node.traffic.bytes).max().unwrap_or_default();
    let core = 100.0 * cpu.as_secs_f64() / seconds / nodes;
    let mean = delays.iter().sum::<Duration>() / delays.len().max(1) as u32;
    let slowest = delays.iter().max().copied().unwrap_or_default();
    println!(
        "{:>6} {:>12.0} {:>12.0} {:>12.1} {:>10.4} {:>12.2?} {:>12.2?} {:>10.2?} {:>8}",
        net.nodes.len(),
        bytes as f64 / seconds / nodes,
        most as f64 / seconds,
        messages as f64 / seconds / nodes,
        core,
        mean,
        slowest,
        catch_up,
        net.false_deaths
    );
}
