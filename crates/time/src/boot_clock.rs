use rustix::time::{ClockId, clock_gettime};

use crate::{Clock, Time};

/// The operating system's boot-time clock (`CLOCK_BOOTTIME`). It advances while the machine is
/// suspended.
#[derive(Debug, Clone, Copy)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Time {
        let reading = clock_gettime(ClockId::Boottime);
        Time::from_nanos(reading.tv_sec as u64 * 1_000_000_000 + reading.tv_nsec as u64)
    }
}
