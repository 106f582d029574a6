use std::time::Duration;

use crate::http1::watchdog::IoTimeout;

/// Limits on the resources that connections and requests use in a gate or router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum length of a request's or response's head, in bytes; the HTTP library requires less
    /// than 8 KiB.
    pub max_head_bytes: usize,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum time to receive a request's head, from its first byte on.
    pub head_timeout: Duration,
    /// Maximum time that a caller's connection stays open between requests.
    pub idle_timeout: Duration,
    /// Maximum time without progress while a caller sends a body or reads a response.
    pub stall_timeout: Duration,
    /// Minimum average rate of a caller's body after the first [`HttpLimits::stall_timeout`], in
    /// bytes per second.
    pub min_body_rate: u64,
    /// Maximum length of the start of a body that is buffered in memory, in bytes. Bodies up to
    /// this length can be sent again.
    pub max_body_prefix: usize,
    /// Maximum number of connections from this gate to one target.
    pub max_connections_per_target: usize,
    /// Maximum number of idle connections from this gate to one target.
    pub max_idle_per_target: usize,
    /// Number of idle connections that are kept beyond the current limit for a target.
    pub extra_idle_connections: usize,
    /// Maximum time that a connection to a target is idle before it is closed instead of reused.
    pub reuse_timeout: Duration,
    /// Running time from which a cancelled attempt also invalidates the other connections to its
    /// target.
    pub invalidate_after: Duration,
    /// Maximum time to wait for a caller to read a final response before its connection is closed.
    pub linger_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            max_head_bytes: 8 * 1024 - 1,
            max_headers: 64,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
            stall_timeout: Duration::from_secs(5),
            min_body_rate: 1_024,
            max_body_prefix: 64 * 1024,
            max_connections_per_target: 12,
            max_idle_per_target: 4,
            extra_idle_connections: 0,
            reuse_timeout: Duration::from_secs(4),
            invalidate_after: Duration::from_millis(250),
            linger_timeout: Duration::from_secs(1),
        }
    }
}

impl HttpLimits {
    /// Returns the timeout for transfers of bodies from and to callers.
    pub(crate) fn body_timeout(&self) -> IoTimeout {
        IoTimeout::Progress { max_silence: self.stall_timeout, min_rate: self.min_body_rate }
    }
}
