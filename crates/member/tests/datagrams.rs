//! Tests datagrams that are corrupted, arbitrary or replayed.

mod driver;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::Duration;

use bay_member::{MemberConfig, Peers, PeersOutput, SeedNode};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion};
use driver::{Net, Recorded, document};
use proptest::prelude::*;
use test_case::test_case;

/// Returns the datagrams of a run of almost two minutes with changes, a lost node and a survey.
fn recorded() -> &'static [Recorded] {
    static RECORDED: OnceLock<Vec<Recorded>> = OnceLock::new();
    RECORDED.get_or_init(|| record(1).1)
}

fn record(seed: u64) -> (Net, Vec<Recorded>) {
    let mut net = Net::new(12, 3, seed);
    net.recorded = Some(Vec::new());
    net.run(Duration::from_secs(20));
    net.offer(0, document("jobs", 1, 100));
    net.offer(0, document("photos", 2, 5_000));
    net.kill(3);
    net.run(Duration::from_secs(30));
    net.restart(3);
    net.survey(1);
    net.run(Duration::from_secs(30));
    net.offer(4, document("jobs", 3, 100));
    net.run(Duration::from_secs(30));
    let recorded = net.recorded.take().unwrap();
    (net, recorded)
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_restarted_node_converges_despite_replayed_datagrams(seed: u64) {
    let (mut net, recorded) = record(seed);
    let newest = document("jobs", 3, 100);
    net.restart(5);
    for datagram in recorded.iter().filter(|datagram| datagram.to == 5) {
        net.deliver(datagram.clone());
    }
    let before = net.false_deaths;
    assert!(net.run_until(Duration::from_secs(60), Net::agreed).is_some());
    assert!(net.everywhere(newest.key, newest.version));
    assert_eq!(net.false_deaths, before);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn damaged_and_arbitrary_datagrams_never_panic(
        damaged in prop::collection::vec(
            (any::<prop::sample::Index>(), any::<prop::sample::Index>(), any::<u8>()),
            0..200,
        ),
        cut in any::<prop::sample::Index>(),
        arbitrary in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        let recorded = recorded();
        let mut net = Net::new(3, 3, 1);
        let node = &mut net.nodes[0];
        let mut out = Vec::new();
        for (which, at, byte) in damaged {
            let mut payload = recorded[which.index(recorded.len())].payload.clone();
            let at = at.index(payload.len());
            payload[at] = byte;
            node.peers.handle_datagram(net.now, node.address, &payload, &mut out);
            payload.truncate(cut.index(payload.len()));
            node.peers.handle_datagram(net.now, node.address, &payload, &mut out);
        }
        node.peers.handle_datagram(net.now, node.address, &arbitrary, &mut out);
        for second in 0..30 {
            node.peers.tick(net.now + Duration::from_secs(second), &mut out);
        }
    }
}

/// Longest payload that fits an Ethernet frame with its seal and headers, in bytes.
const MAX_PAYLOAD: usize = 1_400;

#[test]
fn no_datagram_exceeds_an_ethernet_frame() {
    let name = |number: usize| format!("{:0>31}", number);
    let zone = |number: usize| ZoneName::new(&name(number)).unwrap();
    let address = |number: u16| SocketAddr::new("2001:db8:ffff:ffff::1".parse().unwrap(), number);
    let config = |number: u16| MemberConfig {
        node: NodeId(u64::MAX - u64::from(number)),
        zone: zone(usize::from(number)),
        steward: address(number),
        gate: Some(address(number)),
        incarnation: Incarnation(u64::MAX / 2),
        seed: u64::from(number),
    };
    let mut now = Time::from_millis(1);
    let numbers = 50_000..50_040;
    let mut nodes: BTreeMap<SocketAddr, Peers> =
        numbers.clone().map(|number| (address(number), Peers::new(config(number), now))).collect();
    let seeds: Vec<SeedNode> = numbers
        .map(|number| SeedNode { node: config(number).node, steward: address(number) })
        .collect();
    let mut sent = Vec::new();
    for (index, (from, node)) in nodes.iter_mut().enumerate() {
        node.set_seeds(&seeds);
        let version = ItemVersion { major: u64::MAX, minor: u64::MAX };
        let key = ItemKey::Zone(zone(index));
        let mut out = Vec::new();
        node.offer(now, Item { key, version, base: None, body: vec![1; 20] }, &mut out);
        sent.extend(out.into_iter().map(|output| (*from, output)));
    }
    for _ in 0..3_000 {
        now += Duration::from_millis(10);
        for (from, output) in std::mem::take(&mut sent) {
            let PeersOutput::Datagram { to, payload } = output else { continue };
            assert!(payload.len() <= MAX_PAYLOAD, "{} bytes", payload.len());
            let mut out = Vec::new();
            nodes.get_mut(&to).unwrap().handle_datagram(now, from, &payload, &mut out);
            sent.extend(out.into_iter().map(|output| (to, output)));
        }
        for (from, node) in &mut nodes {
            let mut out = Vec::new();
            if node.next_deadline() <= now {
                node.tick(now, &mut out);
            }
            sent.extend(out.into_iter().map(|output| (*from, output)));
        }
    }
    assert!(nodes.values().all(|node| node.membership().members().count() == 40));
}
