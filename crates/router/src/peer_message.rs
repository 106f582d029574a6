use std::net::SocketAddr;

use bay_admission::{OverloadLevels, OverloadReport};
use bay_quota::{AccountUsage, QuotaShares};
use bay_types::{HostName, Revision, ServerName, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

use bay_capacity::{CapacitySample, ServerCapacity};
use bay_range::{KeyLimit, KeyRange, OwnerLimit, ServerOccupancy};

use crate::{
    Crash, OwnerChanges, OwnerMap, Permit, PermitRequest, RateLimitNotice, ServerEntry,
    ServerNotice,
};

/// A datagram between routers, encoded with `postcard`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Announces the granter to every router.
    Heartbeat(Heartbeat),
    /// Sends changes of a service's owners from the granter to every router.
    OwnerChanges(ServiceName, OwnerChanges),
    /// Sends a part of a service's owners from the granter to a router that requested them.
    Owners(ServiceOwners),
    /// Reports key counts and service times from every router to the granter.
    Report(Report),
    /// Requests the owners of a service's keys from the granter.
    RequestOwners(ServiceName),
    /// Sends changed servers, or a part of the full list, from the granter.
    Servers(ServerUpdate),
    /// Requests the full list of servers from the granter.
    RequestServers,
    /// Sends the crashes that a router has found to every other router.
    Crashes(Vec<Crash>),
    /// Asks a relay to handle the granter's message and to pass it on.
    Relay(RelayOrder),
    /// Passes a message of the granter on to a router.
    Relayed(RelayedMessage),
    /// Asks the granter for its messages without a relay, as none arrive.
    RequestDirect,
    /// Requests the hosts that run routers from the granter or a relay.
    RequestHosts,
    /// Sends the hosts that run routers, with their addresses for datagrams.
    Hosts(Vec<(HostName, SocketAddr)>),
    /// Sends a part of the configuration from the granter to every router.
    Config(ConfigPart),
    /// Sends the limits of a service's overloaded keys from the granter to every router.
    KeyLimits(ServiceName, Vec<KeyLimit>),
    /// Sends the rate limits that a router has learned to every other router.
    RateLimits(Vec<RateLimitNotice>),
    /// Asks the router that grants a server's permits for one, under a number for the answer.
    RequestPermit(u64, PermitRequest),
    /// Answers the request for a permit with this number.
    Permit(u64, Permit),
    /// Tells every router which keys have no holder when a granter resigns.
    EndedHolds(EndedHolds),
    /// Asks the router that passed on the last heartbeat for the age of its configuration. The stamp
    /// is a reading of the sender's clock, in nanoseconds.
    RequestVouch(u64),
    /// Answers the request with this stamp.
    Vouch(Vouch),
    /// Reports the use of accounts with a quota from every router to the granter.
    AccountUsage(AccountUsage),
    /// Sends the shares of accounts that are near their quota from the granter to every router.
    QuotaShares(QuotaShares),
    /// Reports a router's counts by service and rank to the granter.
    OverloadReport(OverloadReport),
    /// Sends the shares of requests to admit by rank from the granter to every router.
    OverloadLevels(OverloadLevels),
    /// Reports answers of servers from every router to the granter, where capacities are learned.
    CapacityReport(Vec<CapacitySample>),
    /// Sends learned capacities of servers, mostly changed ones, from the granter to every router.
    ServerCapacities(Vec<ServerCapacity>),
    /// Reports the requests at a service's owners of keys from every router to the granter.
    Occupancies(ServiceName, Vec<ServerOccupancy>),
    /// Sends the limits of a service's overloaded owners from the granter to every router.
    OwnerLimits(ServiceName, Vec<OwnerLimit>),
    /// Sends what a router has learned of servers from their answers to every other router.
    ServerNotices(Vec<ServerNotice>),
    /// Sends entries of servers whose names are digests, before the [`PeerMessage::Servers`] that
    /// withholds them.
    IdentifiedServers(Vec<IdentifiedServer>),
    /// Requests the withheld entries of these servers from the granter.
    RequestIdentified(Vec<ServerName>),
}

/// Entry of a server whose name is a digest of its identifier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentifiedServer {
    /// Identifier that the server has chosen.
    pub identifier: String,
    /// Revision of the entry.
    pub revision: Revision,
    /// The entry.
    pub entry: ServerEntry,
}

/// Ranges that no server holds, as a granter knows it when it resigns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedHolds {
    /// Term of the granter.
    pub term: Term,
    /// Ranges of each service.
    pub services: Vec<(ServiceName, Vec<KeyRange>)>,
}

/// Statement of a router that its configuration was the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vouch {
    /// Stamp of the request.
    pub stamp: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Milliseconds, rounded up, since that version was certainly the newest, when this answer was
    /// sent.
    pub age_ms: u32,
}

/// A message that a relay passes on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOrder {
    /// Routers that get the message from the relay.
    pub to: Vec<SocketAddr>,
    /// The encoded message. It is not nested, so that decoding it cannot recurse without bound.
    pub payload: Vec<u8>,
}

/// A message of the granter that a relay has passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedMessage {
    /// Address of the granter.
    pub origin: SocketAddr,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// A part of the configuration as the store has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPart {
    /// Version of the configuration.
    pub version: u64,
    /// Index of the part and number of parts.
    pub part: (u16, u16),
    /// Text of the part.
    pub text: String,
}

/// Changes of servers, or a part of the full list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerUpdate {
    /// Term of the granter.
    pub term: Term,
    /// Number of the update within the term; it rises by one with each change, and a full list has
    /// that of the last change.
    pub sequence: u64,
    /// Index of the part and number of parts of a full list; `None` for changes.
    pub part: Option<(u16, u16)>,
    /// Servers with the revision of each; a server without an entry was removed. Where a name is a
    /// digest, the entry only withholds the server from earlier builds, which would use the digest as its
    /// identifier; see
    /// [`crate::IdentifiedServers`].
    pub servers: Vec<(ServerName, Revision, Option<ServerEntry>)>,
}

/// Heartbeat of the granter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Host of the granter.
    pub host: HostName,
    /// Term of the granter.
    pub term: Term,
    /// Number of the last renewal of the granter's record in the store.
    pub renewal: u64,
    /// Milliseconds since the store last confirmed the granter.
    pub unconfirmed_ms: u32,
    /// Number of live routers, by their recent reports.
    pub routers: u32,
    /// Sequence of each service's owner map.
    pub owner_sequences: Vec<(ServiceName, u64)>,
    /// State of the documents that the granter reads, once it has read them all.
    pub feed_state: Option<FeedState>,
}

/// State of the documents that the granter has read from the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FeedState {
    /// Milliseconds since the granter last read the changes of servers.
    pub age_ms: u32,
    /// Sequence of the last [`ServerUpdate`] that the granter has sent.
    pub server_sequence: u64,
    /// Version of the configuration.
    pub config_version: u64,
    /// Zones taken out of service.
    pub zones_out: Vec<ZoneName>,
    /// Number of hosts that run routers.
    pub host_count: u32,
}

/// A part of the owners of a service's keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceOwners {
    /// Name of the service.
    pub service: ServiceName,
    /// Index of the part and number of parts.
    pub part: (u16, u16),
    /// Owners of the ranges in the part.
    pub owners: OwnerMap,
}

/// A router's measurements since its last report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Host of the router.
    pub host: HostName,
    /// Term of the granter that the router follows.
    pub term: Term,
    /// Measurements for each keyed service.
    pub services: Vec<ServiceReport>,
}

/// A router's measurements for a keyed service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Requests by key.
    pub keys: Vec<KeyCount>,
    /// Service times by server.
    pub servers: Vec<ServerTiming>,
}

/// Number of requests for a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Key of the requests.
    pub key: u16,
    /// Number of requests since the last report.
    pub requests: u32,
}

/// Mean time of a request at a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerTiming {
    /// Name of the server.
    pub server: ServerName,
    /// Mean time without queueing, in milliseconds.
    pub service_ms: f32,
    /// Number of requests that the mean covers.
    pub requests: u16,
}
