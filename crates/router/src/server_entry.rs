use std::net::SocketAddr;
use std::time::Duration;

use bay_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A server's registration in the store, written by the server itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address at which the server takes requests.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: ZoneName,
    /// Number of requests that the server runs at once.
    pub slots: u32,
    /// Whether the server takes requests.
    pub state: ServerState,
    /// Remaining warm-up time.
    pub warm_up_left: Duration,
    /// Start time by the server's own clock, in Unix milliseconds; zero if unknown.
    pub started: u64,
    /// Number of heartbeats since the start.
    pub heartbeat: u64,
}

/// Whether a server takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// The server takes requests.
    Ready,
    /// The server is about to stop and must get no new requests.
    Draining,
}
