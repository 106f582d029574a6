use bay_time::Time;

use crate::TargetLimits;

/// The number of requests that a target can run at once. It starts low after a cold start and
/// rises linearly over the warm-up.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    limits: TargetLimits,
    cold_since: Option<Time>,
}

impl Capacity {
    /// Creates the capacity of a target whose cold start begins now.
    pub(crate) fn cold_start(limits: TargetLimits, now: Time) -> Capacity {
        Capacity { limits, cold_since: Some(now) }
    }

    /// Replaces the limits; a warm-up in progress continues.
    pub(crate) fn set_limits(&mut self, limits: TargetLimits) {
        self.limits = limits;
    }

    /// Restarts the warm-up.
    pub(crate) fn restart(&mut self, now: Time) {
        self.cold_since = Some(now);
    }

    /// Raises the capacity to the one that another gate stated; a lower one is ignored. The warm-up
    /// continues from there.
    pub(crate) fn raise_to(&mut self, now: Time, capacity: u32) {
        if capacity >= self.limits.slots {
            self.cold_since = None;
            return;
        }
        if capacity <= self.slots(now) {
            return;
        }
        let steps = self.limits.slots - self.limits.cold_slots;
        let done = capacity - self.limits.cold_slots;
        let elapsed = self.limits.warmup * done / steps;
        self.cold_since = Some(now - elapsed);
    }

    /// Whether the capacity still rises with time.
    pub(crate) fn is_warming_up(&self, now: Time) -> bool {
        self.slots(now) < self.limits.slots
    }

    /// Returns the number of requests that the target can run at once.
    pub(crate) fn slots(&self, now: Time) -> u32 {
        let Some(since) = self.cold_since else {
            return self.limits.slots;
        };
        let elapsed = now.since(since);
        if elapsed >= self.limits.warmup {
            return self.limits.slots;
        }
        let part = elapsed.as_secs_f64() / self.limits.warmup.as_secs_f64();
        let steps = f64::from(self.limits.slots - self.limits.cold_slots);
        self.limits.cold_slots + (steps * part) as u32
    }
}
