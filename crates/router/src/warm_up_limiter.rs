use bay_time::Time;

/// This router's share of the requests that a cold server can take.
///
/// The bound holds for all routers together. A few routers, chosen by hash for each server, send
/// to it while it is cold, each an equal part of its rate.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpLimiter {
    tokens: f64,
    refilled_at: Time,
}

impl WarmUpLimiter {
    /// Share of the server's rate that is used, so that routers with different views of each
    /// other stay within it.
    const USED_SHARE: f64 = 0.8;
    /// Requests that may go at once.
    const BURST: f64 = 1.0;

    /// A share from which a request may be taken at once.
    pub fn new(now: Time) -> WarmUpLimiter {
        WarmUpLimiter { tokens: WarmUpLimiter::BURST, refilled_at: now }
    }

    /// How many routers send to a cold server that can take this rate.
    pub fn sender_count(rate: f64, routers: u32) -> u32 {
        (rate.floor().max(1.0) as u32).min(routers.max(1))
    }

    /// Takes a request from the share; `rate` is the server's and `senders` share it.
    pub fn try_acquire(&mut self, now: Time, rate: f64, senders: u32) -> bool {
        self.refill(now, rate, senders);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Whether a request could be taken.
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
