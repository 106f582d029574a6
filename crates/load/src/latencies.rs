use std::time::Duration;

use bay_time::Time;
use hdrhistogram::Histogram;

use crate::ReportedLoad;

/// A histogram of a service's recent response latencies.
#[derive(Debug)]
pub(crate) struct Latencies {
    current: Histogram<u32>,
    hedge_delay: Option<Duration>,
    refresh_at: Time,
    clear_at: Time,
}

impl Latencies {
    /// Largest latency recorded, in microseconds; longer ones count as this.
    const MAX_MICROS: u64 = 60_000_000;
    /// Responses needed before percentiles are used.
    const MIN_RESPONSES: u64 = 50;
    /// Interval between computations of the percentile.
    const REFRESH_INTERVAL: Duration = Duration::from_millis(100);
    /// Interval after which the histogram is cleared.
    const WINDOW: Duration = Duration::from_secs(10);
    /// An attempt slower than this percentile is hedged.
    const HEDGE_PERCENTILE: f64 = 95.0;
    /// An attempt slower than this many times the hedge delay counts as slow.
    const SLOW_FACTOR: u32 = 3;

    /// Lower bound of the threshold for a late attempt. Stragglers take hundreds of milliseconds;
    /// among short responses, a few times the usual latency means nothing.
    const LATE_FLOOR: Duration = Duration::from_millis(30);
    /// Lower bound of the threshold for a slow attempt. It does not apply if the target reports
    /// itself full.
    const SLOW_FLOOR: Duration = Duration::from_millis(100);

    /// Creates an empty histogram.
    pub(crate) fn new() -> Latencies {
        let current = Histogram::new_with_bounds(1, Latencies::MAX_MICROS, 2);
        Latencies {
            current: current.expect("the bounds and the precision are constants that fit"),
            hedge_delay: None,
            refresh_at: Time::ZERO,
            clear_at: Time::ZERO,
        }
    }

    /// Records the latency of a response.
    pub(crate) fn record(&mut self, now: Time, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
        if now < self.refresh_at || self.current.len() < Latencies::MIN_RESPONSES {
            return;
        }
        self.refresh_at = now + Latencies::REFRESH_INTERVAL;
        let micros = self.current.value_at_percentile(Latencies::HEDGE_PERCENTILE);
        self.hedge_delay = Some(Duration::from_micros(micros));
        if now >= self.clear_at {
            self.current.reset();
            self.clear_at = now + Latencies::WINDOW;
        }
    }

    /// Returns the time after which an attempt is hedged; `None` until enough latencies are
    /// recorded.
    pub(crate) fn hedge_delay(&self) -> Option<Duration> {
        self.hedge_delay
    }

    /// Classifies an attempt by its latency. A late attempt at a target that reports itself full is
    /// slow. The report alone has no effect, since reports may be late or wrong.
    pub(crate) fn classify(&self, latency: Duration, reported: Option<ReportedLoad>) -> Pace {
        let Some(hedge_delay) = self.hedge_delay else {
            return Pace::InTime;
        };
        let full = reported.is_some_and(|load| load.in_flight >= load.slots);
        let slow = (hedge_delay * Latencies::SLOW_FACTOR).max(Latencies::SLOW_FLOOR);
        if latency > slow {
            return Pace::Slow;
        }
        match latency > hedge_delay.max(Latencies::LATE_FLOOR) {
            true if full => Pace::Slow,
            true => Pace::Late,
            false => Pace::InTime,
        }
    }
}

/// An attempt's latency relative to others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pace {
    /// The attempt is no slower than most.
    InTime,
    /// The attempt is slow enough to be hedged.
    Late,
    /// The attempt is so slow that its target counts as slow.
    Slow,
}
