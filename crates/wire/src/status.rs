use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{ItemKey, ItemVersion, Role};

/// What a steward tells operators in `GET /status`, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The steward's host.
    pub node: NodeId,
    /// Whether the nodes were asked just now; if not, the rest may be old.
    pub fresh: bool,
    /// The configuration that the steward knows.
    pub items: Vec<ItemStatus>,
    /// The nodes that the steward knows.
    pub members: Vec<MemberStatus>,
    /// The processes that have older configuration in force.
    pub lagging: Vec<LaggingProcess>,
    /// The nodes whose steward did not say what it has in force.
    pub silent: Vec<NodeId>,
    /// The nodes whose gate no steward can ask.
    pub silent_gates: Vec<NodeId>,
    /// Who keeps the leases of which servers.
    pub terms: Vec<TermStatus>,
}

/// One item of configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemStatus {
    /// The item.
    pub key: ItemKey,
    /// The version that the steward knows.
    pub version: ItemVersion,
    /// How many processes have it in force.
    pub in_force: u32,
    /// How many processes said what they have in force.
    pub asked: u32,
}

/// One node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where its steward listens.
    pub steward: SocketAddr,
    /// Where its gate takes datagrams, while it runs.
    pub gate: Option<SocketAddr>,
    /// Numbers the latest start of its steward.
    pub incarnation: Incarnation,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
}

/// A process that has older configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// The process's host.
    pub node: NodeId,
    /// The process's role.
    pub role: Role,
    /// What it has in force of each item in which it lags; the lowest version if nothing.
    pub items: Vec<LaggingItem>,
}

/// An item in which a process lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingItem {
    /// The item.
    pub key: ItemKey,
    /// The version that the process has in force.
    pub in_force: ItemVersion,
    /// The version that the steward knows.
    pub expected: ItemVersion,
}

/// Who keeps the leases of a service's servers in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStatus {
    /// The service.
    pub service: ServiceName,
    /// The servers' zone.
    pub zone: ZoneName,
    /// The term's number.
    pub term: Term,
    /// The keeper's host.
    pub keeper: NodeId,
    /// The deputy's host.
    pub deputy: Option<NodeId>,
}
