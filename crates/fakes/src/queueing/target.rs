use std::time::Duration;

use bay_load::Rejection;
use bay_time::Time;

use super::Site;

/// A target of the model: a few slots, no queue, little borne after a cold start.
#[derive(Debug)]
pub(super) struct FakeTarget {
    pub(super) zone: usize,
    /// Whether its zone is in.
    pub(super) in_service: bool,
    /// The attempts that it runs.
    pub(super) running: Vec<usize>,
    /// Longest extra time of a request, while it is a straggler.
    pub(super) delay: Option<Duration>,
    pub(super) cold_since: Option<Time>,
    announced: bool,
    /// Requests above its capacity since its cold start.
    excess: u32,
    /// When a gate got the first refusal of this cold start.
    pub(super) revealed: Option<Time>,
}

impl FakeTarget {
    /// Requests above its capacity after which a cold target falls over.
    const FALLS_OVER_AT: u32 = 20;

    pub(super) fn new(zone: usize) -> FakeTarget {
        FakeTarget {
            zone,
            in_service: true,
            running: Vec::new(),
            delay: None,
            cold_since: None,
            announced: false,
            excess: 0,
            revealed: None,
        }
    }

    /// Starts cold; the attempts that ran are lost.
    pub(super) fn restart(&mut self, now: Time, announced: bool) -> Vec<usize> {
        self.cold_since = Some(now);
        self.announced = announced;
        self.excess = 0;
        self.revealed = None;
        std::mem::take(&mut self.running)
    }

    /// Falls back into a cold start without losing what it runs.
    pub(super) fn turn_cold(&mut self, now: Time, announced: bool) {
        let running = self.restart(now, announced);
        self.running = running;
    }

    /// Requests that it runs at once.
    pub(super) fn capacity(&self, now: Time) -> usize {
        let Some(since) = self.cold_since else {
            return Site::SLOTS as usize;
        };
        let part = now.since(since).as_secs_f64() / Site::WARMUP.as_secs_f64();
        let steps = f64::from(Site::SLOTS - Site::COLD_SLOTS);
        Site::COLD_SLOTS as usize + (steps * part.min(1.0)) as usize
    }

    /// Whether a cold start limits it now.
    pub(super) fn cold(&self, now: Time) -> bool {
        self.capacity(now) < Site::SLOTS as usize
    }

    /// Takes an attempt or says why not.
    pub(super) fn admit(&mut self, now: Time, attempt: usize) -> Result<(), Rejection> {
        if self.running.len() < self.capacity(now) {
            self.running.push(attempt);
            return Ok(());
        }
        self.excess += 1;
        let cold = self.cold(now) && self.announced;
        Err(if cold { Rejection::Cold } else { Rejection::Shed })
    }

    /// Whether it has got more than a cold target survives.
    pub(super) fn falls_over(&self, now: Time) -> bool {
        self.cold(now) && self.excess >= FakeTarget::FALLS_OVER_AT
    }
}
