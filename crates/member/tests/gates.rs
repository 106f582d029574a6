//! Tests the list of gates while stewards are lost.

mod driver;

use std::time::Duration;

use driver::Net;
use test_case::test_case;

/// Time within which all of nine stewards declare a lost one dead.
const DETECTION_LIMIT: Duration = Duration::from_secs(25);

const LOST: usize = 0;
const SECOND: usize = 1;

fn joined(seed: u64) -> Net {
    let mut net = Net::new(9, 3, seed);
    net.link_gates();
    net.link_guest(LOST, SECOND);
    assert!(
        net.run_until(DETECTION_LIMIT, Net::agreed).is_some(),
        "the nodes did not find each other"
    );
    net.run(Duration::from_secs(1));
    net
}

/// Whether the gates of all live stewards list the gate of the lost one.
fn listed_by_all(net: &Net) -> bool {
    let lost = net.nodes[LOST].id;
    net.nodes.iter().filter(|node| node.up).all(|node| node.gates.contains(&lost))
}

fn listed_by_none(net: &Net) -> bool {
    let lost = net.nodes[LOST].id;
    net.nodes.iter().filter(|node| node.up).all(|node| !node.gates.contains(&lost))
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_gate_without_its_steward_stays_listed_while_connected_to_another(seed: u64) {
    let mut net = joined(seed);
    net.kill(LOST);
    let mut found = false;
    for _ in 0..250 {
        net.run(Duration::from_millis(100));
        assert!(listed_by_all(&net), "dropped {:?} after the loss", net.now);
        found |= net.agreed();
    }
    assert!(found, "the lost steward was not found dead");
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_gate_that_stops_after_its_steward_is_removed_from_the_list(seed: u64) {
    let mut net = joined(seed);
    net.kill(LOST);
    assert!(net.run_until(DETECTION_LIMIT, Net::agreed).is_some());
    net.close_guest(SECOND);
    assert!(net.run_until(Duration::from_secs(10), listed_by_none).is_some());
}

#[test]
fn a_gate_that_stops_with_its_steward_is_removed_from_the_list() {
    let mut net = joined(1);
    net.close_guest(SECOND);
    net.kill(LOST);
    assert!(net.run_until(DETECTION_LIMIT, listed_by_none).is_some());
}
