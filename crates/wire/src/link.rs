use std::net::SocketAddr;

use bay_types::{NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Item, ItemKey, ItemVersion, ServiceRates};

/// A message on a TCP connection to a steward.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LinkMessage {
    /// Opens the connection and says what the sender already has.
    Hello {
        /// The sender's host.
        node: NodeId,
        /// The sender's role.
        role: Role,
        /// The items that the sender has.
        have: Vec<KeyVersion>,
    },
    /// Asks for items; each version is the one that the sender has, or the lowest one if it has
    /// none or needs the whole.
    RequestItems(Vec<KeyVersion>),
    /// Carries items to the receiver.
    Items(Vec<Item>),
    /// Lists the gates that are up, for a gate.
    Gates(Vec<GateAddress>),
    /// Says which versions the sender has in force.
    InForce(Vec<KeyVersion>),
    /// Says what a gate sends to a service.
    Rates(ServiceRates),
    /// Shows that the sender is there.
    Heartbeat,
}

/// Where a gate takes the datagrams of other gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateAddress {
    /// The gate's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// The address.
    pub address: SocketAddr,
}

/// An item and the version of it that a node has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyVersion {
    /// The item.
    pub key: ItemKey,
    /// The version.
    pub version: ItemVersion,
}

/// The role of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Gate,
    /// Keeps membership, leases and configuration.
    Steward,
    /// An operator's tool.
    Operator,
}

/// The configuration that one process has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeVersions {
    /// The process's host.
    pub node: NodeId,
    /// The process's role.
    pub role: Role,
    /// The versions, or `None` if they are those that were asked about.
    pub versions: Option<Vec<KeyVersion>>,
}
