use std::ops::{Add, AddAssign, Sub};
use std::time::Duration;

/// A reading of a host's clock. Readings from different hosts must not be compared.
///
/// Adding or subtracting a duration saturates at [`Time::MAX`] or [`Time::ZERO`].
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Time {
    nanos: u64,
}

impl Time {
    /// The origin of the clock.
    pub const ZERO: Time = Time { nanos: 0 };
    /// The latest possible reading.
    pub const MAX: Time = Time { nanos: u64::MAX };

    /// Creates a reading from nanoseconds since the clock's origin.
    pub fn from_nanos(nanos: u64) -> Time {
        Time { nanos }
    }

    /// Creates a reading from milliseconds since the clock's origin.
    pub fn from_millis(millis: u64) -> Time {
        Time { nanos: millis * 1_000_000 }
    }

    /// Returns the nanoseconds since the clock's origin.
    pub fn as_nanos(self) -> u64 {
        self.nanos
    }

    /// Returns the time elapsed since another reading, or zero if that reading is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.nanos.saturating_sub(earlier.nanos))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time { nanos: self.nanos.saturating_add(nanos) }
    }
}

impl AddAssign<Duration> for Time {
    fn add_assign(&mut self, duration: Duration) {
        *self = *self + duration;
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, duration: Duration) -> Time {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Time { nanos: self.nanos.saturating_sub(nanos) }
    }
}
