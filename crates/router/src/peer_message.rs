use bay_types::{HostName, Revision, ServerName, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

use crate::{Crash, OwnerChanges, OwnerMap, ServerEntry};

/// A datagram between routers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// From the granter to every router.
    Heartbeat(Heartbeat),
    /// From the granter to every router: what has changed of a service's owners.
    OwnerChanges(ServiceName, OwnerChanges),
    /// From the granter to a router that has older owners.
    Owners(ServiceOwners),
    /// From every router to the granter.
    Report(Report),
    /// Asks the granter for the owners of a service's keys.
    RequestOwners(ServiceName),
    /// From the granter: servers that have changed.
    Servers(ServerUpdate),
    /// Asks the granter for all servers.
    RequestServers,
    /// From a router to every other: servers that crashed while they ran a request.
    Crashes(Vec<Crash>),
}

/// Changes of servers, or a part of all of them.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// The granter's term.
    pub term: Term,
    /// Numbers the changes within the term; these lead to this number.
    pub sequence: u64,
    /// For all servers: the part's index and how many there are.
    pub part: Option<(u16, u16)>,
    /// The servers with the revision of each; without an entry, a server was removed.
    pub servers: Vec<(ServerName, Revision, Option<ServerEntry>)>,
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
    pub owner_versions: Vec<(ServiceName, u64)>,
    /// What the granter has read from the store.
    pub feed_state: Option<FeedState>,
}

/// How far the granter has followed the documents in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedState {
    /// Milliseconds since it last read the servers' changes.
    pub age_ms: u32,
    /// Numbers the changes of servers that it has told.
    pub server_sequence: u64,
    /// The configuration's version.
    pub config_version: u64,
    /// The zones that are out.
    pub evacuated_zones: Vec<ZoneName>,
    /// How many routers are listed.
    pub host_count: u32,
}

/// A part of the owners of a service's keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceOwners {
    /// The service.
    pub service: ServiceName,
    /// The part's index and how many there are.
    pub part: (u16, u16),
    /// The owners of the part's ranges.
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
    pub servers: Vec<ServerTiming>,
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
pub struct ServerTiming {
    /// The server.
    pub server: ServerName,
    /// Mean time without queueing, in milliseconds.
    pub service_ms: f32,
    /// Requests over which the mean was taken.
    pub requests: u16,
}
