use std::collections::HashMap;
use std::time::Duration;

use bay_range::{Candidate, OptimalRates, Planner};
use bay_time::Time;
use bay_types::ServerName;

/// Shares of a service's servers in the requests of this router.
///
/// A router does not see the requests of the others. If all routers chose the servers that are
/// fastest when idle, they would overload them; so each follows the rates at which the mean time of all
/// requests is lowest.
#[derive(Debug, Default)]
pub(crate) struct SampleShares {
    shares: HashMap<ServerName, f64>,
    updated_at: Option<Time>,
    /// Moving average of the share of a server's concurrency that is in use when a request arrives.
    utilisation: f64,
}

impl SampleShares {
    /// Time between two calculations. Estimates arrive each 250 ms.
    const UPDATE_INTERVAL: Duration = Duration::from_millis(250);
    /// Weight of an answer in the moving average.
    const EWMA_WEIGHT: f64 = 0.03;
    /// Utilisation that is assumed at least. At a lower one nearly all requests would go to the
    /// fastest servers, and a burst would find the others unmeasured.
    const MIN_UTILISATION: f64 = 0.3;

    /// Records the utilisation of a server that has answered, without the answered request.
    pub(crate) fn record_utilisation(&mut self, utilisation: f64) {
        let utilisation = utilisation.clamp(0.0, 1.0);
        self.utilisation += SampleShares::EWMA_WEIGHT * (utilisation - self.utilisation);
    }

    /// Returns whether the shares have to be calculated anew.
    pub(crate) fn is_due(&self, now: Time) -> bool {
        self.updated_at.is_none_or(|at| now.since(at) >= SampleShares::UPDATE_INTERVAL)
    }

    /// Calculates the shares of the servers.
    pub(crate) fn update(&mut self, now: Time, candidates: &[Candidate]) {
        self.updated_at = Some(now);
        let eligible: Vec<&Candidate> = candidates.iter().filter(|each| each.eligible).collect();
        let mean_ms = Planner::mean_service_ms(candidates);
        let capacity: f64 = eligible.iter().map(|each| each.capacity(mean_ms)).sum();
        let utilisation = self.utilisation.max(SampleShares::MIN_UTILISATION);
        let rates = OptimalRates::new(capacity * utilisation, &eligible, mean_ms);
        self.shares =
            eligible.iter().map(|each| (each.owner.server, rates.rate(each.owner))).collect();
    }

    /// Returns the share of a server, in requests per second of all routers.
    pub(crate) fn share(&self, server: ServerName) -> f64 {
        self.shares.get(&server).copied().unwrap_or_default()
    }
}
