use std::net::SocketAddr;
use std::time::Duration;

use bay_types::{HostName, ZoneName};

/// What a router process is told at its start.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// The machine's name.
    pub host: HostName,
    /// The machine's zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the router is ready.
    pub ready: SocketAddr,
    /// Where other routers send datagrams.
    pub peer: SocketAddr,
    /// Where counters are served.
    pub metrics: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Share of a core that the process has.
    pub cores: f64,
    /// Bandwidth of the machine's link, in megabits a second.
    pub link_mbps: f64,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may use.
    pub descriptors: u64,
    /// Time between two heartbeats of a server.
    pub server_heartbeat: Duration,
    /// What the platform demands and allows.
    pub bounds: PlatformBounds,
}

/// What the platform demands and allows; over all routers together where it counts requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// Further attempts a window for each request in it.
    pub retry_ratio: f64,
    /// The window of the retry budget.
    pub retry_window: Duration,
    /// Further attempts a window beside those by ratio.
    pub retry_extra: f64,
    /// Longest hold on keys.
    pub longest_hold: Duration,
}

impl Default for PlatformBounds {
    fn default() -> PlatformBounds {
        PlatformBounds {
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            longest_hold: Duration::from_secs(10),
        }
    }
}
