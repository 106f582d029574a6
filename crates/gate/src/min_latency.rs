use std::time::Duration;

use bay_time::Time;

/// Minimum latency of a service's answers over the current and the previous window.
#[derive(Debug, Default)]
pub(crate) struct MinLatency {
    current: Option<Duration>,
    previous: Option<Duration>,
    current_since: Time,
}

impl MinLatency {
    /// Length of a window.
    const WINDOW: Duration = Duration::from_secs(10);

    /// Records the latency of an answer.
    pub(crate) fn record(&mut self, now: Time, latency: Duration) {
        if now.since(self.current_since) >= MinLatency::WINDOW {
            self.previous = self.current.take();
            self.current_since = now;
        }
        self.current = Some(self.current.map_or(latency, |least| least.min(latency)));
    }

    /// Returns the minimum latency of recent answers, or zero if there were none.
    pub(crate) fn lower_bound(&self, now: Time) -> Duration {
        let age = now.since(self.current_since);
        if age >= MinLatency::WINDOW * 2 {
            return Duration::ZERO;
        }
        let previous = if age < MinLatency::WINDOW { self.previous } else { None };
        let least = self.current.into_iter().chain(previous).min();
        least.unwrap_or(Duration::ZERO)
    }
}
