use std::time::Duration;

use bay_load::Rejection;
use bay_time::Time;

use super::Site;

/// A target of the model: a few slots, no queue, and fewer slots during its warm-up.
#[derive(Debug)]
pub(super) struct FakeTarget {
    pub(super) zone: usize,
    /// Whether its zone is in service.
    pub(super) in_service: bool,
    /// Running attempts.
    pub(super) running: Vec<usize>,
    /// Longest extra service time while the target is a straggler.
    pub(super) straggler_delay: Option<Duration>,
    /// Start of the last warm-up, which may be over.
    pub(super) cold_since: Option<Time>,
    /// Whether refusals name the cold start as the reason.
    is_announced: bool,
    /// Refused attempts since the last restart or start of a warm-up.
    excess: u32,
    /// Time at which a gate received the first refusal or failure of this cold start.
    pub(super) first_refusal_at: Option<Time>,
}

impl FakeTarget {
    /// Refused attempts at which a cold target crashes.
    const CRASH_EXCESS: u32 = 20;

    pub(super) fn new(zone: usize) -> FakeTarget {
        FakeTarget {
            zone,
            in_service: true,
            running: Vec::new(),
            straggler_delay: None,
            cold_since: None,
            is_announced: false,
            excess: 0,
            first_refusal_at: None,
        }
    }

    /// Restarts the target cold and returns the lost attempts.
    pub(super) fn restart(&mut self, now: Time, announced: bool) -> Vec<usize> {
        self.cold_since = Some(now);
        self.is_announced = announced;
        self.excess = 0;
        self.first_refusal_at = None;
        std::mem::take(&mut self.running)
    }

    /// Starts a warm-up without losing the running attempts.
    pub(super) fn start_warm_up(&mut self, now: Time, announced: bool) {
        let running = self.restart(now, announced);
        self.running = running;
    }

    /// Returns the number of attempts that the target can run at once.
    pub(super) fn capacity(&self, now: Time) -> usize {
        let Some(since) = self.cold_since else {
            return Site::SLOTS as usize;
        };
        let part = now.since(since).as_secs_f64() / Site::WARMUP.as_secs_f64();
        let steps = f64::from(Site::SLOTS - Site::COLD_SLOTS);
        Site::COLD_SLOTS as usize + (steps * part.min(1.0)) as usize
    }

    /// Returns whether a warm-up limits the capacity.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        self.capacity(now) < Site::SLOTS as usize
    }

    /// Starts an attempt, or returns the reason for its rejection.
    pub(super) fn admit(&mut self, now: Time, attempt: usize) -> Result<(), Rejection> {
        if self.running.len() < self.capacity(now) {
            self.running.push(attempt);
            return Ok(());
        }
        self.excess += 1;
        let cold = self.is_cold(now) && self.is_announced;
        Err(if cold { Rejection::Cold } else { Rejection::Shed })
    }

    /// Returns whether the refused attempts crash the target.
    pub(super) fn must_crash(&self, now: Time) -> bool {
        self.is_cold(now) && self.excess >= FakeTarget::CRASH_EXCESS
    }
}
