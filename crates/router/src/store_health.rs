use std::time::Duration;

use bay_time::Time;

/// Circuit breaker for this router's calls to the store.
///
/// While the store is lost, one probe call is allowed per interval. The platform charges for every
/// call, and an outage would make hundreds of routers repeat their calls at once.
#[derive(Debug, Default)]
pub struct StoreHealth {
    /// Time of the first failure since the last answer.
    failing_since: Option<Time>,
    lost: bool,
    next_probe: Time,
    last_failure: Option<Time>,
}

impl StoreHealth {
    /// Time of uninterrupted failures after which the store counts as lost.
    const LOST_AFTER: Duration = Duration::from_millis(500);
    /// Time between two probes of a router that isn't the granter.
    ///
    /// It stays below the three seconds within which a router must follow the store again after
    /// an outage (platform bound).
    const PROBE_INTERVAL: Duration = Duration::from_millis(1_200);
    /// Time between two probes of the granter, which informs the other routers.
    const GRANTER_PROBE_INTERVAL: Duration = Duration::from_millis(500);

    /// Returns whether the store counts as lost.
    pub fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns when a call last failed.
    pub fn last_failure(&self) -> Option<Time> {
        self.last_failure
    }

    /// Returns whether a call may be made now; while the store is lost, reserves the probe.
    pub fn allow_call(&mut self, now: Time, granter: bool) -> bool {
        if !self.lost {
            return true;
        }
        if now < self.next_probe {
            return false;
        }
        self.next_probe = now
            + match granter {
                true => StoreHealth::GRANTER_PROBE_INTERVAL,
                false => StoreHealth::PROBE_INTERVAL,
            };
        true
    }

    /// Records an answered call; returns whether the store was lost.
    pub fn record_success(&mut self) -> bool {
        self.failing_since = None;
        std::mem::take(&mut self.lost)
    }

    /// Records a failed call; returns whether the store counts as lost from now on.
    pub fn record_failure(&mut self, now: Time) -> bool {
        self.last_failure = Some(now);
        let since = *self.failing_since.get_or_insert(now);
        let newly_lost = !self.lost && now.since(since) >= StoreHealth::LOST_AFTER;
        self.lost |= newly_lost;
        newly_lost
    }
}
