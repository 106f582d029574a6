use std::time::Duration;

use crate::{Leadership, TakeoverDelay};

/// What a router knows about its own ability to be the granter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fitness {
    /// Size of the machine relative to one that is large enough for a large fleet; 1 at most.
    pub size: f64,
    /// Whether the zone of the machine is out of service.
    pub is_zone_out: bool,
    /// Whether the router has not read, since the last outage of the store that it has met, whether its
    /// zone is in service.
    pub is_zone_unknown: bool,
    /// Whether the process is being stopped.
    pub is_stopping: bool,
    /// Whether the store does not answer this router.
    pub is_store_lost: bool,
    /// Whether the router reaches servers only through other routers.
    pub is_cut_off: bool,
}

impl Fitness {
    /// Additional takeover delay of the smallest machine; it falls to zero as the size grows.
    const SMALL_MACHINE_DELAY: Duration = Duration::from_millis(700);
    /// Additional takeover delay of a router that could not work as the granter, or not for long.
    const UNFIT_DELAY: Duration = Duration::from_millis(1_000);
    /// Head start that ineligible routers leave eligible ones after an outage of the store. A router
    /// finds out up to 1.2 s after another one that the store is back (the interval between probes of
    /// its circuit breaker), and needs a step of 150 ms, the spread of 300 ms and two calls to win.
    const OUTAGE_HEAD_START: Duration = Duration::from_millis(1_800);

    /// Returns the fitness of a machine of this size that works and reaches everything.
    pub fn of_size(size: f64) -> Fitness {
        Fitness {
            size,
            is_zone_out: false,
            is_zone_unknown: false,
            is_stopping: false,
            is_store_lost: false,
            is_cut_off: false,
        }
    }

    /// Returns whether the router is to be preferred as the granter.
    pub fn is_eligible(&self) -> bool {
        self.size >= 1.0 && !self.is_unfit() && !self.is_zone_unknown && !self.is_store_lost
    }

    /// Returns how long the router leaves the role to others before it takes over.
    ///
    /// `spread`, from 0 to 1, keeps routers of the same fitness from trying at the same moment.
    pub fn takeover_delay(&self, spread: f64) -> TakeoverDelay {
        let small = Fitness::SMALL_MACHINE_DELAY.mul_f64(1.0 - self.size.clamp(0.0, 1.0));
        let unfit = if self.is_unfit() { Fitness::UNFIT_DELAY } else { Duration::ZERO };
        let usual = small + Leadership::MAX_IMMEDIATE_DELAY.mul_f64(spread) + unfit;
        let head_start =
            if self.is_eligible() { Duration::ZERO } else { Fitness::OUTAGE_HEAD_START };
        TakeoverDelay { usual, after_outage: usual + head_start }
    }

    fn is_unfit(&self) -> bool {
        self.is_zone_out || self.is_stopping || self.is_cut_off
    }
}
