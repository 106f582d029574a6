use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

use crate::AdoptedGates;

/// What is known of one node, as it spreads.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Record {
    pub(crate) node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) steward: SocketAddr,
    pub(crate) gate: Option<SocketAddr>,
    pub(crate) leaving: bool,
    /// Hosts without a live steward whose gates follow this node's steward.
    pub(crate) adopted: AdoptedGates,
    pub(crate) status: NodeStatus,
}

/// How a node stands; a higher one replaces a lower one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct NodeStatus {
    pub(crate) incarnation: Incarnation,
    /// Raised by the node itself to change its record or to refute a suspicion.
    pub(crate) revision: u32,
    pub(crate) health: Health,
}

/// What others think of a node's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum Health {
    Alive,
    Suspect,
    Dead,
}

/// News of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Rumor {
    /// The node's whole record.
    Record(Record),
    /// The standing of a node whose record the receiver has.
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
    pub(crate) fn with(self, health: Health) -> NodeStatus {
        NodeStatus { health, ..self }
    }
}
