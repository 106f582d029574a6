use std::collections::BTreeMap;

use crate::{KeyRates, OwnerId};

/// Request rates by key with their precision.
#[derive(Debug, Default, Clone)]
pub struct RateEstimate {
    /// The rates.
    pub rates: KeyRates,
    /// Seconds over which each server's requests were counted; a server without an entry has exact
    /// rates.
    pub windows: BTreeMap<OwnerId, f64>,
}

impl RateEstimate {
    /// Returns rates that are known exactly.
    pub fn exact(rates: KeyRates) -> RateEstimate {
        RateEstimate { rates, windows: BTreeMap::new() }
    }

    /// Returns the seconds over which a server's requests were counted.
    pub(crate) fn window(&self, owner: OwnerId) -> f64 {
        self.windows.get(&owner).copied().unwrap_or(f64::INFINITY)
    }
}
