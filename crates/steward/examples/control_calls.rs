//! Measures the traffic and CPU time of stewards at several cluster sizes, on virtual time.

#![allow(dead_code, missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use support::Site;

const START: Duration = Duration::from_secs(30);
const SPAN: Duration = Duration::from_secs(30);

fn main() {
    println!(
        "{:>6} {:>8} {:>8} {:>9} {:>9} {:>9} {:>10} {:>12} {:>11} {:>9}",
        "nodes",
        "servers",
        "reads/s",
        "watches/s",
        "writes/s",
        "orders/s",
        "order B",
        "datagrams/s",
        "B/s a node",
        "core a node"
    );
    for (hosts, servers) in [(9, 17), (30, 60), (100, 200), (300, 600), (780, 1_560)] {
        measure(hosts, servers);
    }
}

fn measure(hosts: usize, servers: usize) {
    let mut site = Site::new(hosts, servers);
    site.apply_document(1_000);
    site.run_for(START, |_| {});
    site.traffic = support::Traffic::default();
    let began = Instant::now();
    site.run_for(SPAN, |_| {});
    let core = began.elapsed().as_secs_f64() / SPAN.as_secs_f64() / hosts as f64;
    let seconds = SPAN.as_secs_f64();
    let rate = |count: u64| count as f64 / seconds;
    let served = site.served_ranges(0);
    let traffic_bytes = rate(site.traffic.datagram_bytes + site.traffic.order_bytes);
    let traffic = &site.traffic;
    println!(
        "{hosts:>6} {servers:>8} {:>8.2} {:>9.2} {:>9.2} {:>9.1} {:>10.0} {:>12.1} {:>11.0} {:>8.3}%  served {served}",
        rate(traffic.reads),
        rate(traffic.watches),
        rate(traffic.writes),
        rate(traffic.orders),
        traffic.order_bytes as f64 / traffic.orders.max(1) as f64,
        rate(traffic.datagrams),
        traffic_bytes / hosts as f64,
        core * 100.0,
    );
}
