use std::time::Duration;

/// Limit of an account's requests within a sliding window, over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaLimit {
    /// Requests within the window.
    pub requests: f64,
    /// Requests within the window that are never exceeded, whatever fails.
    pub bound: f64,
}

impl QuotaLimit {
    /// Computes the limit of a rate and burst; `None` if the rate is 0, which means no limit.
    pub fn new(
        rate: f64,
        burst: f64,
        window: Duration,
        overshoot: f64,
        slack: f64,
    ) -> Option<QuotaLimit> {
        let requests = rate * window.as_secs_f64() + burst;
        let bound = requests * (1.0 + overshoot) + slack;
        (rate > 0.0).then_some(QuotaLimit { requests, bound })
    }
}
