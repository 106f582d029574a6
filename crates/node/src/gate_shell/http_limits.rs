use std::time::Duration;

use crate::http1::watchdog::ReadTimeout;

/// Bounds on what one connection or request may cost the gate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest head of a request or an answer, in bytes; the HTTP library takes less than 8 KiB.
    pub head_bytes: usize,
    /// Most headers of a request.
    pub headers: usize,
    /// Time that a caller has for a request's head, from its first byte on.
    pub head_time: Duration,
    /// Time that a caller's connection may stay open between requests.
    pub idle_time: Duration,
    /// Time without any progress after which a peer in the middle of a body has gone silent.
    pub silence: Duration,
    /// Lowest average rate of a caller's body after the first [`HttpLimits::silence`], in bytes a
    /// second.
    pub body_rate: u64,
    /// Longest part of a body that is kept in memory, in bytes.
    pub kept_body: usize,
    /// Most connections of this gate to one target.
    pub connections_per_target: usize,
    /// Most idle connections of this gate to one target.
    pub idle_per_target: usize,
    /// Connections that are kept idle although as many as allowed are open.
    pub idle_beyond_cap: usize,
    /// Time after which an idle connection to a target is not used again.
    pub reuse_time: Duration,
    /// Time without an answer's first byte after which a cancelled attempt speaks against the
    /// target's other idle connections.
    pub suspect_after: Duration,
    /// Time that is given to a caller to read a refusal before its connection is closed.
    pub linger: Duration,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            head_bytes: 8 * 1024 - 1,
            headers: 64,
            head_time: Duration::from_secs(10),
            idle_time: Duration::from_secs(60),
            silence: Duration::from_secs(5),
            body_rate: 1_024,
            kept_body: 64 * 1024,
            connections_per_target: 12,
            idle_per_target: 4,
            idle_beyond_cap: 0,
            reuse_time: Duration::from_secs(4),
            suspect_after: Duration::from_millis(250),
            linger: Duration::from_secs(1),
        }
    }
}

impl HttpLimits {
    /// How long a caller may take over a body.
    pub(crate) fn body_timeout(&self) -> ReadTimeout {
        ReadTimeout::Progress { silence: self.silence, rate: self.body_rate }
    }
}
