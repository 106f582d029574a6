//! Tests membership under message loss, partitions, pauses and restarts.

mod driver;

use std::time::Duration;

use bay_member::{MemberState, is_watcher, watchers};
use driver::Net;
use test_case::test_case;

fn secs(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn joined(count: usize, zones: usize, seed: u64) -> Net {
    let mut net = Net::new(count, zones, seed);
    assert!(net.run_until(secs(30), Net::agreed).is_some(), "the nodes did not find each other");
    net
}

#[test_case(9, 3, 1)]
#[test_case(40, 6, 2)]
#[test_case(100, 8, 3)]
fn nodes_discover_each_other_from_the_seed_list(count: usize, zones: usize, seed: u64) {
    joined(count, zones, seed);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_lost_node_is_declared_dead_by_all(seed: u64) {
    let mut net = joined(40, 6, seed);
    net.kill(5);
    assert!(net.run_until(secs(25), Net::agreed).is_some());
    assert_eq!(net.false_deaths, 0);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn five_percent_loss_declares_no_live_node_dead(seed: u64) {
    let mut net = joined(40, 6, seed);
    net.loss = 0.05;
    net.duplicated = 0.05;
    net.run(secs(600));
    assert_eq!(net.false_deaths, 0);
    net.loss = 0.0;
    assert!(net.run_until(secs(30), Net::agreed).is_some());
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_one_way_cut_between_two_nodes_declares_neither_dead(seed: u64) {
    let mut net = joined(20, 4, seed);
    let (a, b) = (net.nodes[3].id, net.nodes[8].id);
    net.cut = Box::new(move |from, to| from.id == a && to.id == b);
    net.run(secs(120));
    assert_eq!(net.false_deaths, 0);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_node_that_receives_nothing_does_not_get_others_declared_dead(seed: u64) {
    let mut net = joined(30, 6, seed);
    let isolated = net.nodes[4].id;
    net.cut = Box::new(move |_, to| to.id == isolated);
    net.run(secs(90));
    // Its probe period grows to 8 s, which limits the suspicions it raises.
    assert!(net.nodes[4].peers.counts().suspected <= 16);
    let others = net.nodes.iter().filter(|node| node.id != isolated);
    for node in others {
        for member in node.peers.membership().members() {
            assert_eq!(member.state == MemberState::Dead, member.node == isolated, "{member:?}");
        }
    }
    net.cut = Box::new(|_, _| false);
    assert!(net.run_until(secs(60), Net::agreed).is_some());
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_paused_node_rejoins_and_declares_no_live_node_dead(seed: u64) {
    let mut net = joined(30, 6, seed);
    net.pause(7);
    net.run(secs(60));
    let id = net.nodes[7].id;
    assert_eq!(net.nodes[0].peers.membership().member(id).unwrap().state, MemberState::Dead);
    let before = net.false_deaths;
    net.resume(7);
    assert!(net.run_until(secs(60), Net::agreed).is_some());
    net.run(secs(60));
    assert_eq!(net.false_deaths, before);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn a_suspicion_that_expires_during_a_pause_is_restarted(seed: u64) {
    let mut net = joined(30, 6, seed);
    let (mute, id) = (4, net.nodes[4].id);
    net.cut = Box::new(move |from, _| from.id == id);
    let suspects = |node: &driver::Node| {
        node.peers.membership().member(id).is_some_and(|m| m.state == MemberState::Suspect)
    };
    let suspected = net.run_until(secs(8), move |net| net.nodes.iter().any(suspects));
    assert!(suspected.is_some());
    net.cut = Box::new(|_, _| false);
    let paused: Vec<usize> =
        (0..30).filter(|index| *index != mute && suspects(&net.nodes[*index])).collect();
    paused.iter().for_each(|index| net.pause(*index));
    net.run(secs(30));
    for index in paused {
        net.drop_held_back(index);
        net.resume(index);
    }
    // The paused nodes are rightly declared dead by the others. Node 4 was never paused.
    net.run(secs(3));
    for node in &net.nodes {
        let state = node.peers.membership().member(id).map(|member| member.state);
        assert_ne!(state, Some(MemberState::Dead), "as {} sees it", node.id);
    }
    assert!(net.run_until(secs(60), Net::agreed).is_some());
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn a_restarted_node_is_listed_with_its_higher_incarnation(seed: u64) {
    let mut net = joined(30, 6, seed);
    net.restart(7);
    let id = net.nodes[7].id;
    let renewed = net.run_until(secs(30), move |net| {
        let incarnation =
            |node: &driver::Node| node.peers.membership().member(id).map(|m| m.incarnation.0);
        net.agreed() && net.nodes.iter().all(|node| incarnation(node) == Some(2))
    });
    assert!(renewed.is_some());
    assert_eq!(net.false_deaths, 0);
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn regions_rejoin_after_a_partition_of_an_hour(seed: u64) {
    let mut net = joined(24, 6, seed);
    let first = |node: &driver::Node| node.zone.as_str() < "zone-3";
    net.cut = Box::new(move |from, to| first(from) != first(to));
    net.run(secs(3_600));
    let alive = |node: &driver::Node| {
        let members = node.peers.membership().members();
        members.filter(|member| member.state == MemberState::Alive).count()
    };
    assert!(net.nodes.iter().all(|node| alive(node) == 12));
    net.cut = Box::new(|_, _| false);
    assert!(net.run_until(secs(60), Net::agreed).is_some());
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
fn the_loss_of_a_whole_zone_is_detected_by_all(seed: u64) {
    let mut net = joined(80, 8, seed);
    for index in (0..80).filter(|index| index % 8 == 2) {
        net.kill(index);
    }
    assert!(net.run_until(secs(40), Net::agreed).is_some());
    assert_eq!(net.false_deaths, 0);
}

#[test]
fn a_leaving_node_is_listed_as_leaving_within_five_seconds() {
    let mut net = joined(40, 6, 1);
    net.leave(9);
    let id = net.nodes[9].id;
    let known = net.run_until(secs(5), move |net| {
        let state = |node: &driver::Node| node.peers.membership().member(id).map(|m| m.state);
        net.nodes.iter().all(|node| state(node) == Some(MemberState::Leaving))
    });
    assert!(known.is_some());
}

#[test]
fn two_live_nodes_per_zone_watch_the_store_and_all_nodes_agree_which() {
    let mut net = joined(40, 5, 1);
    let chosen = |net: &Net, index: usize| {
        let mut chosen = watchers(net.nodes[index].peers.membership().members());
        chosen.sort();
        chosen
    };
    let before = chosen(&net, 0);
    assert_eq!(before.len(), 10);
    assert!((0..40).all(|index| chosen(&net, index) == before));
    let lost = net.nodes.iter().position(|node| node.id == before[0]).unwrap();
    net.kill(lost);
    assert!(net.run_until(secs(25), Net::agreed).is_some());
    let after = chosen(&net, (lost + 1) % 40);
    assert_eq!(after.len(), 10);
    assert_eq!(after.iter().filter(|node| before.contains(node)).count(), 9);
    for node in net.nodes.iter().filter(|node| node.up) {
        let watches = is_watcher(node.id, node.peers.membership().members());
        assert_eq!(watches, after.contains(&node.id));
    }
}
