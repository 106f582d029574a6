use std::time::Duration;

use bay_time::Time;

/// Clock of one process, with an offset and a drift from virtual time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkewedClock {
    /// Difference from virtual time at virtual time zero.
    pub(crate) offset: Duration,
    /// Drift in parts per million; positive if the clock runs fast.
    pub(crate) parts_per_million: i64,
}

impl SkewedClock {
    /// Returns the reading of the clock at a virtual time.
    pub(crate) fn reading(&self, now: Time) -> Time {
        let nanos = now.as_nanos() as i64;
        let skew = nanos / 1_000_000 * self.parts_per_million;
        Time::from_nanos((nanos + skew) as u64) + self.offset
    }

    /// Returns a virtual time, not before `now`, at which the clock has reached `reading`.
    pub(crate) fn virtual_time(&self, now: Time, reading: Time) -> Time {
        let wait = reading.since(self.reading(now));
        // The extra thousandth covers the drift of a slow clock, which is at most 500 ppm.
        now + wait + wait / 1_000 + Duration::from_micros(1)
    }
}
