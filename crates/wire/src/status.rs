use std::net::SocketAddr;

use bay_types::{Incarnation, NodeId, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{ItemKey, ItemVersion, Role};

/// A steward's answer to `GET /status`, as JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterStatus {
    /// The steward's host.
    pub node: NodeId,
    /// Whether the nodes were queried for this answer. If not, the answer may be outdated.
    pub fresh: bool,
    /// The configuration items that the steward knows.
    pub items: Vec<ItemStatus>,
    /// The nodes that the steward knows.
    pub members: Vec<MemberStatus>,
    /// The processes with older configuration in force.
    pub lagging: Vec<LaggingProcess>,
    /// The nodes whose steward did not answer the query.
    pub silent: Vec<NodeId>,
    /// The nodes whose gate no steward could query.
    pub silent_gates: Vec<NodeId>,
    /// The current term for each service and zone.
    pub terms: Vec<TermStatus>,
}

/// The number of processes that have a configuration item in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemStatus {
    /// The item's key.
    pub key: ItemKey,
    /// The latest version that the steward knows.
    pub version: ItemVersion,
    /// Number of processes that have this version or a later one in force.
    pub in_force: u32,
    /// Number of processes that answered the query.
    pub asked: u32,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// The address of the member's steward.
    pub steward: SocketAddr,
    /// The address at which the member's gate receives datagrams, while the gate is running.
    pub gate: Option<SocketAddr>,
    /// The number of the latest start of the member's steward.
    pub incarnation: Incarnation,
    /// `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
}

/// A process with older configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// The process's host.
    pub node: NodeId,
    /// The process's role.
    pub role: Role,
    /// The items for which the process lags.
    pub items: Vec<LaggingItem>,
}

/// An item for which a process lags.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LaggingItem {
    /// The item's key.
    pub key: ItemKey,
    /// The version that the process has in force, or the lowest version if it has none.
    pub in_force: ItemVersion,
    /// The latest version that the steward knows.
    pub expected: ItemVersion,
}

/// The term of the keeper that grants leases to a service's servers in a zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TermStatus {
    /// The service to which the servers belong.
    pub service: ServiceName,
    /// The servers' zone.
    pub zone: ZoneName,
    /// The number of the term.
    pub term: Term,
    /// The keeper's host.
    pub keeper: NodeId,
    /// The deputy's host, or `None` if the term has no deputy.
    pub deputy: Option<NodeId>,
}
