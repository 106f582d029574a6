use bay_types::{NodeId, SliceId, Term, Token};
use serde::{Deserialize, Serialize};

/// An order of a keeper to one server, sent as JSON in `POST /bay/order`.
///
/// A server takes an order only if its term is the highest seen, and within a term only if its
/// sequence number is higher than the last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The keeper that sends it.
    pub keeper: NodeId,
    /// The keeper's term.
    pub term: Term,
    /// Counts the keeper's orders within the term.
    pub sequence: u64,
    /// How long the server's lease runs from its receipt of the order, in milliseconds.
    pub lease_ms: u64,
    /// The slices that the server owns from now on, besides those that it has.
    pub grant: Vec<SliceGrant>,
    /// The slices that the server gives up.
    pub revoke: Vec<SliceGrant>,
}

/// A slice and its fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceGrant {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token.
    pub token: Token,
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
    /// How many slices the server owns.
    pub owned: u32,
}

/// Whether a server took an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderVerdict {
    /// The order is in force.
    Taken,
    /// A higher term or a later order came first.
    Stale,
}
