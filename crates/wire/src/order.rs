use bay_types::{NodeId, SliceId, Term, Token};
use serde::{Deserialize, Serialize};

/// An order of a keeper or its deputy to a server, sent as JSON in `POST /bay/order`.
///
/// The keeper is the steward that grants leases to a service's servers in a zone. A server accepts
/// an order only if it has seen no higher term and, within the term, no order of the same role with
/// an equal or higher sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The steward that sends the order.
    pub keeper: NodeId,
    /// Whether the sender is the keeper or its deputy.
    pub role: OrderRole,
    /// The keeper's term.
    pub term: Term,
    /// The sequence number of the order among the sender's orders in this term.
    pub sequence: u64,
    /// The reading of the server's clock from which the lease runs, or `None` if the sender has no
    /// recent reply of the server. Without it, the order neither extends a lease nor changes
    /// slices.
    pub proof: Option<LeaseProof>,
    /// Duration of the server's lease from the reading in the proof, in milliseconds.
    pub lease_ms: u64,
    /// Whether the granted slices replace all slices that the server owns.
    pub replace: bool,
    /// The slices granted to the server.
    pub grant: Vec<SliceGrant>,
    /// The slices revoked from the server.
    pub revoke: Vec<SliceGrant>,
}

/// The role of an order's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderRole {
    /// Renews leases, grants slices and revokes them.
    Keeper,
    /// Renews leases only.
    Deputy,
}

/// A reading of the server's clock, taken from one of its replies.
///
/// The lease runs from this reading, and the sender counts it from the receipt of the reply. An
/// order that is delayed in the network therefore never extends a lease beyond the sender's count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseProof {
    /// The server's start number, as in [`OrderReply::boot`].
    pub boot: u64,
    /// The reading in nanoseconds, as in [`OrderReply::stamp`].
    pub stamp: u64,
}

/// A slice and its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SliceGrant {
    /// The granted or revoked slice.
    pub slice: SliceId,
    /// The token under which the server owns the slice.
    pub token: Token,
}

impl SliceGrant {
    /// Computes a digest of a set of grants that is independent of their order: the wrapping sum
    /// of the grants' SplitMix64 hashes (Steele, Lea and Flood, 2014).
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
    /// Whether the server accepted the order.
    pub verdict: OrderVerdict,
    /// The highest term that the server has seen in an order.
    pub term: Term,
    /// The server's start number. It changes when the server restarts, which loses its slices.
    pub boot: u64,
    /// The reading of the server's clock at the reply, in nanoseconds.
    pub stamp: u64,
    /// Number of slices that the server owns.
    pub owned: u32,
    /// The [`SliceGrant::digest`] of the slices that the server owns.
    pub digest: u64,
}

/// Whether a server accepted an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerdict {
    /// The order is in force.
    #[serde(rename = "taken")]
    Accepted,
    /// The server has seen a higher term or a later order.
    Stale,
    /// The proof is from an earlier start of the server, or its lease has already expired.
    Late,
}
