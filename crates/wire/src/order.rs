use bay_types::{NodeId, SliceId, Term, Token};
use serde::{Deserialize, Serialize};

/// An order of a keeper or its deputy to one server, sent as JSON in `POST /bay/order`.
///
/// A server takes an order only if its term is the highest seen, and within a term only if its
/// sequence number is higher than the last of the same role.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The steward that sends it.
    pub keeper: NodeId,
    /// Whether the keeper or its deputy sends it.
    pub role: OrderRole,
    /// The keeper's term.
    pub term: Term,
    /// Counts the sender's orders within the term.
    pub sequence: u64,
    /// The reading of the server's clock from which the lease runs, or `None` in a first contact,
    /// which extends no lease and changes no slice.
    pub proof: Option<LeaseProof>,
    /// How long the server's lease runs from the reading in the proof, in milliseconds.
    pub lease_ms: u64,
    /// Whether the granted slices replace all that the server has.
    pub replace: bool,
    /// The slices that the server owns from now on.
    pub grant: Vec<SliceGrant>,
    /// The slices that the server gives up.
    pub revoke: Vec<SliceGrant>,
}

/// The role of an order's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRole {
    /// Renews, grants and revokes.
    Keeper,
    /// Renews only.
    Deputy,
}

/// A reading of the server's clock out of one of its replies.
///
/// The lease runs from this reading, so an order that was delayed on its way extends no lease
/// beyond what the sender counts from its receipt of the reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseProof {
    /// The server's start number.
    pub boot: u64,
    /// The reading, in nanoseconds.
    pub stamp: u64,
}

/// A slice and its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SliceGrant {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token.
    pub token: Token,
}

impl SliceGrant {
    /// A digest of a set of grants that does not depend on their order: the sum of the members'
    /// SplitMix64 hashes (Steele, Lea and Flood, 2014).
    pub fn digest<I>(grants: I) -> u64
    where
        I: IntoIterator<Item = SliceGrant>,
    {
        let hashes = grants.into_iter().map(|grant| {
            let first = split_mix(u64::from(grant.slice.0));
            split_mix(first ^ grant.token.0)
        });
        hashes.fold(0, u64::wrapping_add)
    }
}

fn split_mix(state: u64) -> u64 {
    let mut mixed = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A server's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the server took the order.
    pub verdict: OrderVerdict,
    /// The highest term that the server has seen.
    pub term: Term,
    /// The server's start number; it changes when the server restarts and forgets its slices.
    pub boot: u64,
    /// The server's clock when it made the reply, in nanoseconds.
    pub stamp: u64,
    /// How many slices the server owns.
    pub owned: u32,
    /// The digest of the slices that the server owns, as in [`SliceGrant::digest`].
    pub digest: u64,
}

/// Whether a server took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerdict {
    /// The order is in force.
    #[serde(rename = "taken")]
    Accepted,
    /// A higher term or a later order came first.
    Stale,
    /// The proof is of an earlier start, or the lease that it gives has already run out.
    Late,
}
