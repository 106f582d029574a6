use std::net::SocketAddr;
use std::time::Duration;

use bay_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// What a server says of itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// How much longer it stays cold.
    pub warm_up_left: Duration,
    /// When it started, in Unix milliseconds by its own clock; zero if it does not say.
    pub started: u64,
    /// Numbers its heartbeats since its start.
    pub heartbeat: u64,
}

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It is about to stop and is to get no new requests.
    Draining,
}
