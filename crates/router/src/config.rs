use std::sync::Arc;
use std::time::Duration;

use bay_account::AccountTable;
use bay_types::ServiceName;

/// One version of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// Version; a process never goes back to a lower one.
    pub version: u64,
    /// Routes of callers' requests.
    pub routes: Vec<RouteSpec>,
    /// Services that routes refer to.
    pub services: Vec<ServiceSpec>,
    /// Client accounts; `None` if requests need no API key.
    pub accounts: Option<Arc<AccountTable>>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
}

/// Rules for the requests with a host name and a path prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    /// Name for logs.
    pub name: String,
    /// Host name, compared without regard to case.
    pub host: String,
    /// Path prefix; the longest matching one wins.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RouteKind,
    /// Longest time until a request is answered.
    pub timeout: Duration,
    /// Latency objective; requests that would take far longer in a queue are refused.
    pub objective: Duration,
    /// Upper bound of the attempts sent for one request.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether requests need no API key although there are client accounts.
    pub key_exempt: bool,
    /// Services that share the requests, with their weights.
    pub parts: Vec<(ServiceName, u32)>,
}

/// Whether a route's requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests may run at most once.
    Once,
    /// Requests may run more than once, and their responses are large.
    Download,
}

/// Properties of a service that the router needs.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check at the servers.
    pub health_path: String,
    /// Upper bound of the connections to one server, from all routers together.
    pub max_connections: u32,
    /// Time for which a server stays cold after its start.
    pub warm_up: Duration,
    /// Requests per second that a cold server can handle.
    pub warm_up_rate: f64,
    /// Whether each key has one owner among the servers.
    pub keyed: bool,
}

/// Limits on the size and the speed of a caller's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Upper bound of the head, in bytes.
    pub head_bytes: usize,
    /// Upper bound of the body, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl RouteSpec {
    /// Returns whether requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.kind, RouteKind::Idempotent | RouteKind::Download)
    }
}

impl Default for CallerLimits {
    fn default() -> CallerLimits {
        CallerLimits {
            head_bytes: 8 * 1024,
            body_bytes: 16 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
