use bay_time::Time;

/// Token bucket for this router's requests to a cold server.
///
/// The server's rate holds for all routers together. A few routers, chosen for each server by a
/// hash, send to it while it is cold, each at an equal part of the rate.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpLimiter {
    tokens: f64,
    refilled_at: Time,
}

impl WarmUpLimiter {
    /// Share of the server's rate that is used.
    ///
    /// The rest is a margin for routers that disagree on which of them are alive.
    const USED_SHARE: f64 = 0.8;
    /// Capacity of the bucket, in requests.
    const BURST: f64 = 1.0;

    /// Creates a full bucket.
    pub fn new(now: Time) -> WarmUpLimiter {
        WarmUpLimiter { tokens: WarmUpLimiter::BURST, refilled_at: now }
    }

    /// Returns how many of `routers` send to a cold server: at most one for each request per second
    /// of `rate`, and at least one.
    pub fn sender_count(rate: f64, routers: u32) -> u32 {
        (rate.floor().max(1.0) as u32).min(routers.max(1))
    }

    /// Takes a token; returns whether there was one.
    ///
    /// `rate` is the server's rate in requests per second, which `senders` routers share.
    pub fn try_acquire(&mut self, now: Time, rate: f64, senders: u32) -> bool {
        self.refill(now, rate, senders);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns whether a token is available.
    pub fn has_token(&mut self, now: Time, rate: f64, senders: u32) -> bool {
        self.refill(now, rate, senders);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Time, rate: f64, senders: u32) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let rate = rate * WarmUpLimiter::USED_SHARE / f64::from(senders.max(1));
        self.tokens = (self.tokens + passed * rate).min(WarmUpLimiter::BURST);
        self.refilled_at = now;
    }
}
