use std::cmp::Reverse;
use std::collections::BTreeMap;

use bay_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// Stewards per zone that watch the configuration in the store.
const WATCHERS_PER_ZONE: usize = 2;
/// Stewards per zone that may keep leases or plan assignments, and that watch both in the store.
const CANDIDATES_PER_ZONE: usize = 8;

/// Whether a node is among the few in its zone that watch the store.
///
/// The choice is by rendezvous hashing over the zone's live nodes (Thaler and Ravishankar 1998).
/// Nodes with the same view of the membership therefore choose the same watchers. A node that is
/// not a member itself watches.
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

/// Returns the live nodes of each zone that watch the store.
pub fn watchers<I>(members: I) -> Vec<NodeId>
where
    I: IntoIterator<Item = Member>,
{
    choose_per_zone(members.into_iter().filter(is_live), WATCHERS_PER_ZONE)
}

/// Returns the live nodes of each zone that may keep leases or plan assignments.
///
/// Their number is bounded, so the load on the store from terms and assignments does not grow with
/// the number of nodes.
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
