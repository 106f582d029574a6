use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, ServerName};

/// Where a request goes next.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingDecision {
    /// To a server.
    Send(SelectedServer),
    /// Nowhere yet; to be asked again at this time.
    Wait(Time),
    /// Back to the caller.
    Refuse(ErrorKind, Option<Duration>),
}

/// A server that was picked for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectedServer {
    /// The server.
    pub server: ServerName,
    /// Its life.
    pub started: u64,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Connections that this router may have to it.
    pub max_connections: usize,
    /// Requests at the server when it was picked, as far as is known.
    pub occupancy: f64,
    /// Whether the server has a slot for the request, as far as is known.
    pub has_free_slot: bool,
    /// The time that the request is expected to take, in milliseconds.
    pub expected_ms: f64,
}
