use std::time::Duration;

use bay_time::Time;

/// A process's clock beside the driver's time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SkewedClock {
    pub(crate) offset: Duration,
    /// Parts per million by which it runs fast or slow.
    pub(crate) parts_per_million: i64,
}

impl SkewedClock {
    /// The clock's reading at a moment of the driver's time.
    pub(crate) fn reading(&self, now: Time) -> Time {
        let nanos = now.as_nanos() as i64;
        let skew = nanos / 1_000_000 * self.parts_per_million;
        Time::from_nanos((nanos + skew) as u64) + self.offset
    }

    /// The moment of the driver's time, at or just after which the clock shows a reading.
    pub(crate) fn moment(&self, now: Time, reading: Time) -> Time {
        let wait = reading.since(self.reading(now));
        now + wait + wait / 1_000 + Duration::from_micros(1)
    }
}
