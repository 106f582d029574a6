use std::time::Duration;

use bay_time::Time;
use hdrhistogram::Histogram;

use crate::ReportedLoad;

/// The latencies of a service's answers over the last seconds.
#[derive(Debug)]
pub(crate) struct Latencies {
    current: Histogram<u32>,
    hedge_after: Option<Duration>,
    refresh_at: Time,
    clear_at: Time,
}

impl Latencies {
    /// Largest latency told apart, in microseconds.
    const MAX_MICROS: u64 = 60_000_000;
    /// Answers needed before percentiles are used.
    const MIN_ANSWERS: u64 = 50;
    /// Time between two readings of the percentiles.
    const REFRESH: Duration = Duration::from_millis(100);
    /// Time after which old answers count for nothing.
    const WINDOW: Duration = Duration::from_secs(10);
    /// An attempt slower than this percentile is hedged.
    const HEDGE_PERCENTILE: f64 = 95.0;
    /// An attempt slower than this many times the hedge time shows a slow target.
    const SLOW_FACTOR: u32 = 3;

    /// An attempt shorter than this is never late: stragglers are slow for hundreds of
    /// milliseconds, and among short answers a few times the usual length shows nothing.
    const LATE_FLOOR: Duration = Duration::from_millis(30);
    /// An attempt shorter than this never shows a slow target by itself.
    const SLOW_FLOOR: Duration = Duration::from_millis(100);

    /// No latencies yet.
    pub(crate) fn new() -> Latencies {
        let current = Histogram::new_with_bounds(1, Latencies::MAX_MICROS, 2);
        Latencies {
            current: current.expect("the bounds and the precision are constants that fit"),
            hedge_after: None,
            refresh_at: Time::ZERO,
            clear_at: Time::ZERO,
        }
    }

    /// Notes the latency of an answer.
    pub(crate) fn record(&mut self, now: Time, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros.max(1));
        if now < self.refresh_at || self.current.len() < Latencies::MIN_ANSWERS {
            return;
        }
        self.refresh_at = now + Latencies::REFRESH;
        let micros = self.current.value_at_percentile(Latencies::HEDGE_PERCENTILE);
        self.hedge_after = Some(Duration::from_micros(micros));
        if now >= self.clear_at {
            self.current.reset();
            self.clear_at = now + Latencies::WINDOW;
        }
    }

    /// Time after which an attempt is hedged, once latencies are known.
    pub(crate) fn hedge_after(&self) -> Option<Duration> {
        self.hedge_after
    }

    /// How an attempt of this length compares with the others. A target's report that it is full
    /// makes a late attempt a slow one, but shows nothing by itself, as reports are late or wrong.
    pub(crate) fn pace(&self, latency: Duration, reported: Option<ReportedLoad>) -> Pace {
        let Some(hedge_after) = self.hedge_after else {
            return Pace::InTime;
        };
        let full = reported.is_some_and(|load| load.in_flight >= load.slots);
        let slow = (hedge_after * Latencies::SLOW_FACTOR).max(Latencies::SLOW_FLOOR);
        if latency > slow {
            return Pace::Slow;
        }
        match latency > hedge_after.max(Latencies::LATE_FLOOR) {
            true if full => Pace::Slow,
            true => Pace::Late,
            false => Pace::InTime,
        }
    }
}

/// How long an attempt took, beside the others of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Pace {
    /// As long as most.
    InTime,
    /// So long that it is hedged.
    Late,
    /// So long that its target must be slow.
    Slow,
}
