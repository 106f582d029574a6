use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};

/// Configuration of a [`crate::Steward`].
#[derive(Debug, Clone)]
pub struct StewardConfig {
    /// The steward's host.
    pub node: NodeId,
    /// Identifies this start of the steward's process.
    pub incarnation: Incarnation,
    /// The host's zone.
    pub zone: ZoneName,
    /// Address on which the steward receives datagrams and accepts connections.
    pub address: SocketAddr,
    /// Address on which the host's gate receives datagrams of other gates.
    pub gate: SocketAddr,
    /// Seed of the steward's random number generators.
    pub seed: u64,
}
