use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

/// What a router knows of the rate limit that a server names in its answers.
///
/// The limit holds for all routers together, so they tell each other what they learn.
#[derive(Debug, Default, Clone, Copy)]
pub struct RateLimitState {
    /// Requests per second; `None` while the server names no limit.
    per_second: Option<f64>,
    /// When the limit last began or ended.
    switched_at: Time,
    /// When an answer or another router last confirmed the limit.
    confirmed_at: Time,
    /// When the routers were last told of the limit, by this router or another one.
    announced_at: Time,
}

/// Rate limit of a server, as one router tells the others.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateLimitNotice {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the server's process.
    pub started: u64,
    /// Requests per second; `None` if the server no longer names a limit.
    pub per_second: Option<f64>,
}

impl RateLimitState {
    /// Lowest rate in requests per second. A server that names less still gets a request now and
    /// then, as only its answers tell that the limit has ended.
    pub(crate) const MIN_RATE: f64 = 0.05;
    /// Time after which a limit that nothing confirms has ended.
    const TIMEOUT: Duration = Duration::from_secs(30);
    /// Interval at which the other routers are told of a limit that lasts.
    const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);
    /// Relative change of the rate of which the other routers are told at once.
    const SIGNIFICANT_CHANGE: f64 = 0.1;

    /// Returns the limit in requests per second, if there is one.
    pub fn per_second(&self, now: Time) -> Option<f64> {
        self.per_second.filter(|_| now.since(self.confirmed_at) < RateLimitState::TIMEOUT)
    }

    /// Records what the answer to a request says; returns whether the other routers are to be told.
    ///
    /// `sent_at` is when the request was sent. An earlier request's answer may be older than the
    /// last begin or end of the limit and doesn't reverse it.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        sent_at: Time,
        per_second: Option<f64>,
    ) -> bool {
        let per_second = per_second.map(|rate| rate.max(RateLimitState::MIN_RATE));
        let before = self.per_second(now);
        let is_switch = per_second.is_some() != before.is_some();
        if is_switch && sent_at < self.switched_at {
            return false;
        }
        self.set(now, per_second, is_switch);
        let is_news = match (before, per_second) {
            (None, None) => false,
            (Some(old), Some(new)) => {
                (new - old).abs() > old * RateLimitState::SIGNIFICANT_CHANGE
                    || now.since(self.announced_at) >= RateLimitState::ANNOUNCE_INTERVAL
            }
            _ => true,
        };
        if is_news {
            self.announced_at = now;
        }
        is_news
    }

    /// Applies what another router has learned; returns whether the limit begins or ends by it.
    pub(crate) fn apply_notice(&mut self, now: Time, per_second: Option<f64>) -> bool {
        let is_switch = per_second.is_some() != self.per_second(now).is_some();
        self.set(now, per_second, is_switch);
        self.announced_at = now;
        is_switch
    }

    fn set(&mut self, now: Time, per_second: Option<f64>, is_switch: bool) {
        self.per_second = per_second;
        self.confirmed_at = now;
        if is_switch {
            self.switched_at = now;
        }
    }
}
