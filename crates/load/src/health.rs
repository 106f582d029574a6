use std::time::Duration;

use bay_time::Time;

/// What this gate has seen of a target's speed.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Health {
    avoid_until: Time,
    pause: Duration,
}

impl Health {
    /// Time for which a target is left alone after its first slow answer.
    const MIN_PAUSE: Duration = Duration::from_millis(500);
    /// Longest time for which a slow target is left alone between two tries.
    const MAX_PAUSE: Duration = Duration::from_secs(4);

    /// Notes an answer that came much later than others'; says whether that is news.
    pub(crate) fn slow(&mut self, now: Time) -> bool {
        if now < self.avoid_until {
            return false;
        }
        self.pause = (self.pause * 2).clamp(Health::MIN_PAUSE, Health::MAX_PAUSE);
        self.avoid_until = now + self.pause;
        true
    }

    /// Notes an answer in good time.
    pub(crate) fn fast(&mut self) {
        *self = Health::default();
    }

    /// Whether the target's last answer was slow.
    pub(crate) fn is_slow(&self) -> bool {
        !self.pause.is_zero()
    }

    /// Whether the target may get a request while it has this many of the gate's in flight; a
    /// target that was slow gets one at a time.
    pub(crate) fn usable(&self, now: Time, in_flight: usize) -> bool {
        now >= self.avoid_until && (self.pause.is_zero() || in_flight == 0)
    }
}
