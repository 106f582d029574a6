use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::AdoptedGates;

/// One node's state, as gossiped between stewards.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) steward: SocketAddr,
    pub(crate) gate: Option<SocketAddr>,
    pub(crate) leaving: bool,
    /// Hosts without a live steward whose gates are connected to this node's steward.
    pub(crate) adopted: AdoptedGates,
    pub(crate) status: NodeStatus,
}

/// A node's health and its version. The fields are compared in order; a higher status replaces a
/// lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    pub(crate) incarnation: Incarnation,
    /// Incremented by the node itself to change its record or to refute a suspicion.
    pub(crate) revision: u32,
    pub(crate) health: Health,
}

/// A node's health in the view of others, ordered by precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Health {
    Alive,
    Suspect,
    Dead,
}

/// An update about a node, piggybacked on datagrams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Rumor {
    /// The node's full record.
    Record(Record),
    /// A node's status; ignored by a receiver without the node's record.
    Status(NodeId, NodeStatus),
}

impl Record {
    pub(crate) fn rumor(&self) -> Rumor {
        match self.status.health {
            Health::Alive => Rumor::Record(*self),
            Health::Suspect | Health::Dead => Rumor::Status(self.node, self.status),
        }
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.status.health == Health::Dead
    }
}

impl NodeStatus {
    pub(crate) fn with_health(self, health: Health) -> NodeStatus {
        NodeStatus { health, ..self }
    }
}
