use std::net::SocketAddr;

use bay_types::ZoneName;

slotmap::new_key_type! {
    /// Identifies a target of a pool.
    pub struct TargetId;
}

/// A target as the service's document and the zones' state describe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target's address.
    pub address: SocketAddr,
    /// The target's zone.
    pub zone: ZoneName,
    /// Whether it takes new work: it is not about to leave, and its zone is in.
    pub accepts: bool,
}

/// A target as the pool sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    pub(crate) in_flight: u32,
}
