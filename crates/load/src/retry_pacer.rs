use std::time::Duration;

use bay_time::Time;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Gives refused callers times to come back at, spaced as the service can take them (the virtual
/// scheduling of ITU-T I.371).
#[derive(Debug)]
pub(crate) struct RetryPacer {
    next: Time,
    window_start: Time,
    answered: u32,
    rate: f64,
}

impl RetryPacer {
    /// Shortest time to come back after.
    const MIN: Duration = Duration::from_secs(1);
    /// Longest time to come back after.
    const MAX: Duration = Duration::from_secs(60);
    /// The longest time given at a moment, as a multiple of the shortest.
    const SPREAD: u32 = 4;
    /// Time over which answers are counted.
    const WINDOW: Duration = Duration::from_secs(1);
    /// Share of the rate of answers that is left for callers who come back.
    const SHARE: f64 = 0.25;
    /// Lowest rate of callers who come back, in callers a second.
    const MIN_RATE: f64 = 1.0;

    pub(crate) fn new(now: Time) -> RetryPacer {
        let rate = RetryPacer::MIN_RATE;
        RetryPacer { next: now, window_start: now, answered: 0, rate }
    }

    /// Notes an answer.
    pub(crate) fn record_answer(&mut self, now: Time) {
        self.answered += 1;
        let span = now.since(self.window_start);
        if span < RetryPacer::WINDOW {
            return;
        }
        let rate = f64::from(self.answered) * RetryPacer::SHARE / span.as_secs_f64();
        self.rate = rate.max(RetryPacer::MIN_RATE);
        self.answered = 0;
        self.window_start = now;
    }

    /// The time after which the next refused caller may come back.
    pub(crate) fn next_delay(&mut self, now: Time, rng: &mut SmallRng) -> Duration {
        let earliest = now + RetryPacer::MIN;
        let latest = now + RetryPacer::MAX;
        let spacing = Duration::from_secs_f64(1.0 / self.rate);
        self.next = (self.next + spacing).clamp(earliest, latest);
        let latest = self.next.since(now).max(RetryPacer::MIN * 2);
        let earliest = (latest / RetryPacer::SPREAD).max(RetryPacer::MIN);
        rng.random_range(earliest..=latest)
    }
}
