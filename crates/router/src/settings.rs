use std::net::SocketAddr;
use std::time::Duration;

use bay_types::{HostName, ZoneName};

/// Settings of a router process.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// Name of the machine.
    pub host: HostName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for the readiness check of the platform's load balancer.
    pub ready: SocketAddr,
    /// Address for datagrams from other routers.
    pub peer: SocketAddr,
    /// Address at which counters are exported.
    pub metrics: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// CPU share of the process, in cores.
    pub cores: f64,
    /// Bandwidth of the machine's link, in megabits per second.
    pub link_mbps: f64,
    /// Memory of the machine, in bytes.
    pub memory_bytes: u64,
    /// File descriptors that the process may use.
    pub descriptors: u64,
    /// Time between two heartbeats of a server.
    pub server_heartbeat: Duration,
    /// Whether the process is started with the whole system, which has never run before.
    pub is_first_start: bool,
    /// Bounds that the platform sets.
    pub bounds: PlatformBounds,
    /// Whether requests are admitted by rank while a service is short of capacity.
    pub overload_control: bool,
    /// Whether servers of services without keys are chosen by what they were seen to take well.
    pub learn_capacities: bool,
}

impl RouterSettings {
    /// CPU cores from which a machine is large enough to serve a large fleet as the granter.
    const SUFFICIENT_CORES: f64 = 0.2;
    /// Divisor of the machine's memory that gives the longest head that it can take.
    const HEAD_MEMORY_SHARE: u64 = 64;
    /// Link rate from which a machine is large enough, in megabits per second.
    const SUFFICIENT_LINK_MBPS: f64 = 100.0;

    /// Returns the length of the longest head of a request that the machine can take, in bytes.
    pub fn max_head_bytes(&self) -> usize {
        (self.memory_bytes / RouterSettings::HEAD_MEMORY_SHARE) as usize
    }

    /// Returns the size of the machine relative to one that is large enough to serve a large fleet
    /// as the granter; 1 at most.
    pub fn relative_size(&self) -> f64 {
        let cores = self.cores / RouterSettings::SUFFICIENT_CORES;
        cores.min(self.link_mbps / RouterSettings::SUFFICIENT_LINK_MBPS).min(1.0)
    }
}

/// Bounds that the platform sets; those on requests hold for all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlatformBounds {
    /// Time from SIGTERM to SIGKILL.
    pub stop_grace: Duration,
    /// Retries allowed for each request within the window.
    pub retry_ratio: f64,
    /// Length of the sliding window of the retry budget.
    pub retry_window: Duration,
    /// Retries allowed within the window in addition to those by ratio.
    pub retry_extra: f64,
    /// Upper bound of the time for which a server holds keys.
    pub longest_hold: Duration,
    /// Time from the withdrawal of an API key until no router uses it, whatever it can reach; `None`
    /// if routers that are cut off may go on.
    pub key_withdrawal: Option<Duration>,
    /// Bounds on the quotas of client accounts.
    pub quota: Option<QuotaBounds>,
}

/// How exactly the quotas of client accounts are kept over all routers.
///
/// In any window an account has at most `(rate * window + burst) * (1 + overshoot) + slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share by which the limit may be exceeded.
    pub overshoot: f64,
    /// Requests by which the limit may be exceeded in addition.
    pub slack: f64,
}

impl Default for PlatformBounds {
    fn default() -> PlatformBounds {
        PlatformBounds {
            stop_grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_extra: 10.0,
            longest_hold: Duration::from_secs(10),
            key_withdrawal: None,
            quota: None,
        }
    }
}
