use std::net::SocketAddr;

use bay_types::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Item, ItemKey, ItemVersion, ServiceRates};

/// A message on a TCP connection with a steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Opens the connection and lists the sender's items.
    Hello {
        /// The sender's host.
        node: NodeId,
        /// The sender's role.
        role: Role,
        /// The versions of the items that the sender has.
        versions: Vec<KeyVersion>,
    },
    /// Requests newer versions of items.
    ///
    /// Each entry has the sender's version. The lowest version requests a complete item rather
    /// than a delta.
    RequestItems(Vec<KeyVersion>),
    /// Delivers items.
    Items(Vec<Item>),
    /// Sends a gate the addresses of the live gates.
    Gates(Vec<GateAddress>),
    /// Reports the versions that the sender has in force.
    InForce(Vec<KeyVersion>),
    /// Reports a gate's request rates to a service.
    Rates(ServiceRates),
    /// Shows that the sender is alive.
    Heartbeat,
}

/// The address at which a gate receives datagrams from other gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateAddress {
    /// The gate's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// The address of the gate's UDP socket.
    pub address: SocketAddr,
}

/// The key of an item with one of its versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The item's key.
    pub key: ItemKey,
    /// A version of the item.
    pub version: ItemVersion,
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Receives requests from callers.
    Gate,
    /// Maintains membership, leases and configuration.
    Steward,
    /// A tool run by an operator.
    Operator,
}

/// The configuration that one process has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeVersions {
    /// The process's host.
    pub node: NodeId,
    /// The process's role.
    pub role: Role,
    /// The versions in force, or `None` if their hash equals the one in the query.
    pub versions: Option<Vec<KeyVersion>>,
}
