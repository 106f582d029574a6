use std::time::Duration;

use bay_types::ServiceName;

/// The operator's configuration in one version.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The version; a process never goes back to a lower one.
    pub version: u64,
    /// Where requests go.
    pub routes: Vec<RouteSpec>,
    /// The services.
    pub services: Vec<ServiceSpec>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// Where requests with a host name and path go, and how.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteSpec {
    /// The route's name, for logs.
    pub name: String,
    /// The host name of its requests.
    pub host: String,
    /// The prefix of their paths.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request is kept waiting.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// Most servers that one request is sent to.
    pub max_attempts: u32,
    /// The rank; 0 is the highest.
    pub priority: u32,
    /// The services that share its requests, with their weights.
    pub parts: Vec<(ServiceName, u32)>,
}

/// What may be repeated of a route's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
}

/// What the router has to know of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSpec {
    /// The name.
    pub name: ServiceName,
    /// Path of the servers' health check.
    pub health_path: String,
    /// Most connections to one server, of all callers together.
    pub max_connections: u32,
    /// How long a server stays cold after its start.
    pub warm_up: Duration,
    /// Requests a second that a cold server can take.
    pub warm_up_rate: f64,
    /// Whether each key has one owning server.
    pub keyed: bool,
}

/// What a caller may send, and how slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

impl RouteSpec {
    /// Whether requests may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.kind == RouteKind::Idempotent
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
