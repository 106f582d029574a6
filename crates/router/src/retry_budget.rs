use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

use crate::PlatformBounds;

/// This router's share of the retry budget of a service.
///
/// The budget limits the retries of all routers in a sliding window: a ratio of the requests plus
/// a fixed extra. Routers don't see each other's counts, so each spends the ratio of its own
/// requests and an equal part of the extra.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    window: Duration,
    extra: f64,
    buckets: VecDeque<Bucket>,
    /// Numbers of routers within the window, with the time of each change.
    router_counts: VecDeque<(Time, u32)>,
}

/// Counts of a part of the window.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    start: Time,
    requests: u32,
    retries: u32,
}

impl RetryBudget {
    /// Share of the budget that is spent; the rest covers windows that straddle buckets.
    const USED_SHARE: f64 = 0.85;
    /// Buckets in a window.
    const BUCKETS: u32 = 40;

    /// Creates an unspent budget under the platform's bounds.
    pub fn new(bounds: &PlatformBounds) -> RetryBudget {
        RetryBudget {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            extra: bounds.retry_extra,
            buckets: VecDeque::new(),
            router_counts: VecDeque::new(),
        }
    }

    /// Replaces the bounds; requests and retries counted so far still count.
    pub fn set_bounds(&mut self, bounds: &PlatformBounds) {
        self.ratio = bounds.retry_ratio;
        self.window = bounds.retry_window;
        self.extra = bounds.retry_extra;
    }

    /// Sets how many routers share the budget.
    ///
    /// The highest number within the window counts: routers that left may have spent their share.
    /// A larger number takes effect at once, a smaller one a window later.
    pub fn set_router_count(&mut self, now: Time, count: u32) {
        if self.router_counts.back().is_none_or(|(_, last)| *last != count) {
            self.router_counts.push_back((now, count));
        }
        while self.router_counts.len() > 1 && now.since(self.router_counts[1].0) > self.window {
            self.router_counts.pop_front();
        }
    }

    /// Records a request, which raises the budget.
    pub fn record_request(&mut self, now: Time) {
        self.current_bucket(now).requests += 1;
    }

    /// Spends a retry if the budget allows one; returns whether it does.
    pub fn try_spend(&mut self, now: Time) -> bool {
        let has_room = self.has_room(now);
        if has_room {
            self.current_bucket(now).retries += 1;
        }
        has_room
    }

    /// Returns whether the budget allows a retry.
    pub fn has_room(&mut self, now: Time) -> bool {
        self.current_bucket(now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let router_count =
            self.router_counts.iter().map(|(_, count)| *count).max().unwrap_or(1).max(1);
        let allowed = f64::from(requests) * self.ratio + self.extra / f64::from(router_count);
        f64::from(retries) + 1.0 <= allowed * RetryBudget::USED_SHARE
    }

    /// Returns the bucket of the current time; drops those that have left the window.
    fn current_bucket(&mut self, now: Time) -> &mut Bucket {
        let length = self.window / RetryBudget::BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > self.window) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= length) {
            self.buckets.push_back(Bucket { start: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
