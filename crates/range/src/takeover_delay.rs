use std::time::Duration;

/// Time for which a router leaves the granter's role to others before it takes over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeoverDelay {
    /// Added to the heartbeat timeout. All routers notice a granter's silence together.
    pub usual: Duration,
    /// Counted from the first read of the record after an outage of the store, which routers notice
    /// at different times.
    pub after_outage: Duration,
}

impl From<Duration> for TakeoverDelay {
    fn from(delay: Duration) -> TakeoverDelay {
        TakeoverDelay { usual: delay, after_outage: delay }
    }
}
