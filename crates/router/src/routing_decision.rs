use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, ServerName};

use crate::{PermitRequest, ServerProcess};

/// Next step of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RoutingDecision {
    /// Send it to a server.
    Send(SelectedServer),
    /// Acquire a permit from the router that grants them, and pick again.
    Acquire(PermitRequest),
    /// Pick again at this time.
    Wait(Time),
    /// Refuse it with an error, and a `Retry-After` if the caller may repeat it.
    Refuse(ErrorKind, Option<Duration>),
}

/// A server that was picked for a request, with its state at that time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectedServer {
    /// When it was picked.
    pub picked_at: Time,
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the server's process, which tells its incarnations apart.
    pub started: u64,
    /// Address at which it takes requests.
    pub address: SocketAddr,
    /// Upper bound of this router's connections to the server.
    pub max_connections: usize,
    /// Estimated number of requests that ran or waited at the server.
    pub occupancy: f64,
    /// Whether the server is estimated to run the request at once.
    pub has_free_slot: bool,
    /// Estimated time of the request at the server, in milliseconds.
    pub expected_ms: f64,
}

impl SelectedServer {
    /// Returns the estimated time of the request at the server.
    pub fn expected_time(&self) -> Duration {
        Duration::try_from_secs_f64(self.expected_ms / 1000.0).unwrap_or_default()
    }

    /// Returns the process of the server.
    pub fn process(&self) -> ServerProcess {
        ServerProcess { server: self.server, started: self.started, address: self.address }
    }
}
