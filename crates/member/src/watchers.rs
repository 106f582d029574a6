use bay_types::NodeId;
use xxhash_rust::xxh3::xxh3_64;

use crate::{Member, MemberState};

/// Stewards of each zone that watch the store.
const WATCHERS_PER_ZONE: usize = 2;

/// Whether a node is among the few of its zone that watch the store.
///
/// The choice is by rendezvous hash over the zone's live nodes (Thaler and Ravishankar 1998), so
/// that nodes that see the same members choose the same watchers.
pub fn is_watcher<I>(node: NodeId, members: I) -> bool
where
    I: IntoIterator<Item = Member>,
{
    let live = |member: &Member| {
        matches!(member.state, MemberState::Alive | MemberState::Suspect) || member.node == node
    };
    let live: Vec<Member> = members.into_iter().filter(live).collect();
    let Some(own) = live.iter().find(|member| member.node == node) else {
        return true;
    };
    let rank = weight(node);
    let ahead = live.iter().filter(|other| other.zone == own.zone && weight(other.node) > rank);
    ahead.count() < WATCHERS_PER_ZONE
}

fn weight(node: NodeId) -> (u64, NodeId) {
    (xxh3_64(&node.0.to_le_bytes()), node)
}
