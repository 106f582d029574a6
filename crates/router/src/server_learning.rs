use std::time::Duration;

use bay_capacity::{LearnedCapacity, PendingSamples};
use bay_time::Time;

/// What a router has learned of a server's capacity, and what it has yet to report.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServerLearning {
    /// Answers since the last report to the granter.
    pub(crate) pending: PendingSamples,
    /// The granter's last estimate, and when it arrived.
    shared: Option<(LearnedCapacity, Time)>,
    /// When this router last sent the server a request.
    last_sent_at: Time,
}

impl ServerLearning {
    /// Age after which an estimate is ignored. The granter repeats those of 252 servers within
    /// 32 s.
    const MAX_AGE: Duration = Duration::from_secs(70);
    /// Ratio of the base time to the service's average from which a server is probed.
    const SLOW_RATIO: f64 = 3.0;
    /// Probes of a slow server per second, by all routers together. Five answers show that it has
    /// recovered.
    const PROBES_PER_SECOND: f64 = 2.5;

    /// Replaces the estimate.
    pub(crate) fn set_shared(&mut self, now: Time, learned: LearnedCapacity) {
        self.shared = Some((learned, now));
    }

    /// Returns the estimate, unless it is too old.
    pub(crate) fn shared(&self, now: Time) -> Option<LearnedCapacity> {
        let (learned, at) = self.shared?;
        (now.since(at) < ServerLearning::MAX_AGE).then_some(learned)
    }

    /// Records that this router sends the server a request.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent_at = now;
    }

    /// Returns whether the server looks so slow that it gets few requests, and this router's turn
    /// has come to check that.
    pub(crate) fn is_probe_due(&self, now: Time, average_ms: f64, routers: u32) -> bool {
        let is_slow = self
            .shared(now)
            .is_some_and(|learned| learned.base_ms > average_ms * ServerLearning::SLOW_RATIO);
        let interval = f64::from(routers) / ServerLearning::PROBES_PER_SECOND;
        is_slow && now.since(self.last_sent_at).as_secs_f64() >= interval
    }
}
