//! Datagrams that are damaged, arbitrary or recorded long ago.

mod driver;

use std::sync::OnceLock;
use std::time::Duration;

use driver::{Net, Recorded, document};
use proptest::prelude::*;
use test_case::test_case;

/// What two minutes of life with changes, a loss and a survey bring to every node.
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
fn a_restarted_node_is_not_misled_by_a_recording(seed: u64) {
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
            node.peers.on_datagram(net.now, node.address, &payload, &mut out);
            payload.truncate(cut.index(payload.len()));
            node.peers.on_datagram(net.now, node.address, &payload, &mut out);
        }
        node.peers.on_datagram(net.now, node.address, &arbitrary, &mut out);
        for second in 0..30 {
            node.peers.tick(net.now + Duration::from_secs(second), &mut out);
        }
    }
}
