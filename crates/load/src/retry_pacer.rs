use std::time::Duration;

use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Computes `retry-after` times for refused callers, spaced to the rate that the service can
/// serve (the virtual scheduling algorithm of ITU-T I.371).
#[derive(Debug)]
pub(crate) struct RetryPacer {
    /// When the last refused caller is scheduled to return.
    next: Time,
    window_start: Time,
    responses: u32,
    /// Rate at which callers are scheduled to return, per second.
    rate: f64,
}

impl RetryPacer {
    /// Shortest delay.
    const MIN_DELAY: Duration = Duration::from_secs(1);
    /// Longest delay.
    const MAX_DELAY: Duration = Duration::from_secs(60);
    /// Ratio of the longest to the shortest delay drawn at one moment.
    const DELAY_SPREAD: u32 = 4;
    /// Interval over which responses are counted.
    const WINDOW: Duration = Duration::from_secs(1);
    /// Share of the response rate that is reserved for returning callers.
    const RETURNING_SHARE: f64 = 0.25;
    /// Lowest assumed rate of returning callers, per second.
    const MIN_RATE: f64 = 1.0;

    pub(crate) fn new(now: Time) -> RetryPacer {
        let rate = RetryPacer::MIN_RATE;
        RetryPacer { next: now, window_start: now, responses: 0, rate }
    }

    /// Records a response and updates the rate once per window.
    pub(crate) fn record_response(&mut self, now: Time) {
        self.responses += 1;
        let span = now.since(self.window_start);
        if span < RetryPacer::WINDOW {
            return;
        }
        let rate = f64::from(self.responses) * RetryPacer::RETURNING_SHARE / span.as_secs_f64();
        self.rate = rate.max(RetryPacer::MIN_RATE);
        self.responses = 0;
        self.window_start = now;
    }

    /// Returns a random delay for the next refused caller, and reserves its place in the schedule.
    pub(crate) fn next_delay(&mut self, now: Time, rng: &mut SmallRng) -> Duration {
        let earliest = now + RetryPacer::MIN_DELAY;
        let latest = now + RetryPacer::MAX_DELAY;
        let spacing = Duration::from_secs_f64(1.0 / self.rate);
        self.next = (self.next + spacing).clamp(earliest, latest);
        let latest = self.next.since(now).max(RetryPacer::MIN_DELAY * 2);
        let earliest = (latest / RetryPacer::DELAY_SPREAD).max(RetryPacer::MIN_DELAY);
        rng.random_range(earliest..=latest)
    }
}
