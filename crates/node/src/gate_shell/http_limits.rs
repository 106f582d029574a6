use std::time::Duration;

use crate::http1::watchdog::IoTimeout;

/// Bounds on what one connection or request may cost the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest head of a request or an answer, in bytes; the HTTP library takes less than 8 KiB.
    pub max_head_bytes: usize,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Time that a caller has for a request's head, from its first byte on.
    pub head_timeout: Duration,
    /// Time that a caller's connection may stay open between requests.
    pub idle_timeout: Duration,
    /// Time without any progress after which a peer in the middle of a body has gone silent.
    pub stall_timeout: Duration,
    /// Lowest average rate of a caller's body after the first [`HttpLimits::stall_timeout`], in bytes a
    /// second.
    pub min_body_rate: u64,
    /// Longest part of a body that is kept in memory, in bytes.
    pub max_body_prefix: usize,
    /// Most connections of this gate to one target.
    pub max_connections_per_target: usize,
    /// Most idle connections of this gate to one target.
    pub max_idle_per_target: usize,
    /// Connections that are kept idle although as many as allowed are open.
    pub extra_idle_connections: usize,
    /// Time after which an idle connection to a target is not used again.
    pub reuse_timeout: Duration,
    /// Time without an answer's first byte after which a cancelled attempt speaks against the
    /// target's other idle connections.
    pub invalidate_after: Duration,
    /// Time that is given to a caller to read a refusal before its connection is closed.
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
    /// How long a caller may take over a body.
    pub(crate) fn body_timeout(&self) -> IoTimeout {
        IoTimeout::Progress { max_silence: self.stall_timeout, min_rate: self.min_body_rate }
    }
}
