use bay_time::Time;

use crate::TargetLimits;

/// How many requests a target can take at once: few after a cold start, more as time passes.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Capacity {
    limits: TargetLimits,
    cold_since: Option<Time>,
}

impl Capacity {
    /// The capacity of a target that is taken to be in a cold start.
    pub(crate) fn cold_start(limits: TargetLimits, now: Time) -> Capacity {
        Capacity { limits, cold_since: Some(now) }
    }

    /// Takes other limits; a cold start goes on.
    pub(crate) fn set_limits(&mut self, limits: TargetLimits) {
        self.limits = limits;
    }

    /// Takes the target to be in a cold start that began just now.
    pub(crate) fn restart(&mut self, now: Time) {
        self.cold_since = Some(now);
    }

    /// Takes another gate's word that the target can take this many requests at once.
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

    /// Whether the capacity rises as time passes.
    pub(crate) fn is_warming_up(&self, now: Time) -> bool {
        self.slots(now) < self.limits.slots
    }

    /// Requests that the target can take at once.
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
