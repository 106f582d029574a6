use std::cmp::Reverse;
use std::collections::BTreeMap;

use bay_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// Stewards of each zone that watch the store's configuration.
const WATCHERS_PER_ZONE: usize = 2;
/// Stewards of each zone that may keep leases or plan, and watch terms and assignments.
const CANDIDATES_PER_ZONE: usize = 8;

/// Whether a node is among the few of its zone that watch the store.
///
/// The choice is by rendezvous hash over the zone's live nodes (Thaler and Ravishankar 1998), so
/// that nodes that see the same members choose the same watchers. A node that is not among the
/// members watches.
pub fn is_watcher<I>(node: NodeId, members: I) -> bool
where
    I: IntoIterator<Item = Member>,
{
    let members: Vec<Member> = members.into_iter().collect();
    let known = members.iter().any(|member| member.node == node);
    let candidate = |other: &Member| other.node == node || is_live(other);
    !known
        || choose_per_zone(members.into_iter().filter(candidate), WATCHERS_PER_ZONE).contains(&node)
}

/// The live nodes of each zone that watch the store.
pub fn watchers<I>(members: I) -> Vec<NodeId>
where
    I: IntoIterator<Item = Member>,
{
    choose_per_zone(members.into_iter().filter(is_live), WATCHERS_PER_ZONE)
}

/// The live nodes of each zone that may keep leases or plan.
///
/// They are few, so that the store's calls for terms and assignments do not grow with the nodes.
pub fn candidates<I>(members: I) -> Vec<NodeId>
where
    I: IntoIterator<Item = Member>,
{
    choose_per_zone(members.into_iter().filter(is_live), CANDIDATES_PER_ZONE)
}

fn choose_per_zone<I>(members: I, per_zone: usize) -> Vec<NodeId>
where
    I: Iterator<Item = Member>,
{
    let mut zones: BTreeMap<ZoneName, Vec<NodeId>> = BTreeMap::new();
    for member in members {
        zones.entry(member.zone).or_default().push(member.node);
    }
    let mut chosen = Vec::new();
    for mut nodes in zones.into_values() {
        nodes.sort_by_key(|node| Reverse(rendezvous_weight(*node)));
        chosen.extend(nodes.into_iter().take(per_zone));
    }
    chosen
}

fn is_live(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn rendezvous_weight(node: NodeId) -> (u64, NodeId) {
    (xxh3_64(&node.0.to_le_bytes()), node)
}
