use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};

/// What a steward is told at its start.
#[derive(Debug, Clone)]
pub struct StewardConfig {
    /// The steward's host.
    pub node: NodeId,
    /// Numbers this start of the steward.
    pub incarnation: Incarnation,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where the steward takes datagrams and connections.
    pub address: SocketAddr,
    /// Where the host's gate takes datagrams of other gates.
    pub gate: SocketAddr,
    /// Seeds the steward's random choices.
    pub seed: u64,
}
