use bay_types::{HostName, ServerName, ServiceName, Term};
use serde::{Deserialize, Serialize};

use crate::OwnerMap;

/// A datagram between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From the granter to every router.
    Heartbeat(Heartbeat),
    /// From the granter to a router that has older owners.
    Owners(ServiceOwners),
    /// From every router to the granter.
    Report(Report),
    /// Asks the granter for the owners of a service's keys.
    Want(ServiceName),
}

/// Says that the granter is alive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The granter's host.
    pub host: HostName,
    /// The granter's term.
    pub term: Term,
    /// Counts the renewals of the granter's record.
    pub renewal: u64,
    /// Milliseconds since the store last confirmed the granter.
    pub unconfirmed_ms: u32,
    /// How many routers have reported lately.
    pub routers: u32,
    /// The versions of the services' owners.
    pub published: Vec<(ServiceName, u64)>,
}

/// The owners of a service's keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceOwners {
    /// The service.
    pub service: ServiceName,
    /// The owners.
    pub owners: OwnerMap,
}

/// What a router has seen since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The router's host.
    pub host: HostName,
    /// The term of the granter that it follows.
    pub term: Term,
    /// The services with keys.
    pub services: Vec<ServiceReport>,
}

/// What a router has seen of a service with keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Requests by key.
    pub keys: Vec<KeyCount>,
    /// Times by server.
    pub servers: Vec<ServerTime>,
}

/// Requests for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// The key.
    pub key: u16,
    /// The number of requests.
    pub requests: u32,
}

/// How long a request takes at a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerTime {
    /// The server.
    pub server: ServerName,
    /// Time without queueing, in milliseconds.
    pub service_ms: f32,
}
