use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A reading of one host's clock; readings of two hosts are never compared.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    nanos: u64,
}

impl Time {
    /// The start of the clock.
    pub const ZERO: Time = Time { nanos: 0 };
    /// A reading later than any other.
    pub const MAX: Time = Time { nanos: u64::MAX };

    /// The reading this many nanoseconds after the start of the clock.
    pub fn from_nanos(nanos: u64) -> Time {
        Time { nanos }
    }

    /// The reading this many milliseconds after the start of the clock.
    pub fn from_millis(millis: u64) -> Time {
        Time { nanos: millis * 1_000_000 }
    }

    /// Nanoseconds since the start of the clock.
    pub fn as_nanos(self) -> u64 {
        self.nanos
    }

    /// The time since an earlier reading, or zero if that reading is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.nanos.saturating_sub(earlier.nanos))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Time { nanos: self.nanos.saturating_add(nanos) }
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, span: Duration) {
        *self = *self + span;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Time { nanos: self.nanos.saturating_sub(nanos) }
    }
}
