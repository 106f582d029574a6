use std::cmp::Reverse;
use std::collections::BTreeMap;

use bay_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// Stewards of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;

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
    !known || choose(members.into_iter().filter(candidate)).contains(&node)
}

/// The live nodes of each zone that watch the store.
pub fn watchers<I>(members: I) -> Vec<NodeId>
where
    I: IntoIterator<Item = Member>,
{
    choose(members.into_iter().filter(is_live))
}

fn choose<I>(members: I) -> Vec<NodeId>
where
    I: Iterator<Item = Member>,
{
    let mut zones: BTreeMap<ZoneName, Vec<NodeId>> = BTreeMap::new();
    for member in members {
        zones.entry(member.zone).or_default().push(member.node);
    }
    let mut chosen = Vec::new();
    for mut nodes in zones.into_values() {
        nodes.sort_by_key(|node| Reverse(weight(*node)));
        chosen.extend(nodes.into_iter().take(WATCHERS_PER_ZONE));
    }
    chosen
}

fn is_live(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

fn weight(node: NodeId) -> (u64, NodeId) {
    (xxh3_64(&node.0.to_le_bytes()), node)
}
