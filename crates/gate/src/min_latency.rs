use std::time::Duration;

use bay_time::Time;

/// The least time that an answer of a service took lately, over two windows.
#[derive(Debug, Default)]
pub(crate) struct MinLatency {
    current: Option<Duration>,
    previous: Option<Duration>,
    current_since: Time,
}

impl MinLatency {
    /// How long a window lasts.
    const WINDOW: Duration = Duration::from_secs(10);

    /// Takes the time that an answer took.
    pub(crate) fn record(&mut self, now: Time, latency: Duration) {
        if now.since(self.current_since) >= MinLatency::WINDOW {
            self.previous = self.current.take();
            self.current_since = now;
        }
        self.current = Some(self.current.map_or(latency, |least| least.min(latency)));
    }

    /// Time below which no answer came lately; zero if nothing is known.
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
