use std::time::Duration;

use bay_time::Time;

/// Whether the store answers; a circuit breaker for this router's calls.
///
/// While the store is lost, one call at a time and only now and then tries whether it is back.
/// Every call is charged for, and hundreds of routers meet an outage together.
#[derive(Debug, Default)]
pub struct StoreHealth {
    failing_since: Option<Time>,
    lost: bool,
    next_trial: Time,
}

impl StoreHealth {
    /// Time without an answered call after which the store counts as lost.
    const LOST_AFTER: Duration = Duration::from_millis(500);
    /// Time between two trials of a router that follows; below the three seconds after which a
    /// router that the store serves again is bound by what it says (platform bound).
    const TRIAL_INTERVAL: Duration = Duration::from_millis(1_200);
    /// The same for the granter, which tells the others.
    const GRANTER_TRIAL_INTERVAL: Duration = Duration::from_millis(500);

    /// Whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Whether a call may be made now.
    pub fn allow_call(&mut self, now: Time, granter: bool) -> bool {
        if !self.lost {
            return true;
        }
        if now < self.next_trial {
            return false;
        }
        self.next_trial = now
            + match granter {
                true => StoreHealth::GRANTER_TRIAL_INTERVAL,
                false => StoreHealth::TRIAL_INTERVAL,
            };
        true
    }

    /// Takes note of an answer; returns whether the store was lost.
    pub fn record_success(&mut self) -> bool {
        self.failing_since = None;
        std::mem::take(&mut self.lost)
    }

    /// Takes note of a call that failed; returns whether the store counts as lost from now on.
    pub fn record_failure(&mut self, now: Time) -> bool {
        let since = *self.failing_since.get_or_insert(now);
        let newly = !self.lost && now.since(since) >= StoreHealth::LOST_AFTER;
        self.lost |= newly;
        newly
    }
}
