use std::collections::BTreeMap;

use crate::{Candidate, OwnerId};

/// Request rates of a service's servers at which the mean time of a request is lowest.
///
/// A request at a server with utilisation `u` is assumed to take `1 / (1 - u^2)` times as long as
/// on an idle server. Fast servers get more than their share of the capacity at light load, as they
/// answer sooner even when they are busier.
#[derive(Debug, Clone, PartialEq)]
pub struct OptimalRates(BTreeMap<OwnerId, f64>);

impl OptimalRates {
    /// Least utilisation of a server, relative to the mean. Each server gets some requests, so that
    /// its service time is measured and it can take over keys of others.
    const MIN_SHARE: f64 = 0.25;
    /// Steps of the bisection; each halves the error.
    const BISECTION_STEPS: u32 = 40;
    /// Utilisation that no server's rate exceeds.
    const MAX_UTILISATION: f64 = 0.95;

    /// Distributes `total` requests per second among the servers.
    pub fn new(total: f64, servers: &[&Candidate], mean_service_ms: f64) -> OptimalRates {
        let capacity: f64 = servers.iter().map(|each| each.capacity(mean_service_ms)).sum();
        let mean = (total / capacity).min(OptimalRates::MAX_UTILISATION);
        let service_ms = |each: &Candidate| each.service_ms.unwrap_or(mean_service_ms).max(1.0);
        let rates = |marginal_ms: f64| {
            let rate = |each: &&Candidate| {
                let min_share = mean * OptimalRates::MIN_SHARE;
                let share = utilisation_for_marginal_cost(marginal_ms / service_ms(each))
                    .max(min_share)
                    .min(OptimalRates::MAX_UTILISATION);
                (each.owner, share * each.capacity(mean_service_ms))
            };
            servers.iter().map(rate).collect::<BTreeMap<OwnerId, f64>>()
        };
        // At the optimum, one more request adds the same time to all requests at every server.
        let (mut low, mut high) =
            (0.0, servers.iter().map(|each| service_ms(each)).fold(1.0, f64::max));
        high *= 1_000.0;
        for _ in 0..OptimalRates::BISECTION_STEPS {
            let marginal_ms = (low + high) / 2.0;
            match rates(marginal_ms).values().sum::<f64>() < mean * capacity {
                true => low = marginal_ms,
                false => high = marginal_ms,
            }
        }
        OptimalRates(rates(high))
    }

    /// Returns the rate of a server, in requests per second; zero for an unknown one.
    pub fn rate(&self, owner: OwnerId) -> f64 {
        self.0.get(&owner).copied().unwrap_or_default()
    }
}

/// Returns the utilisation `u` at which one more request costs `cost` times its time on an idle
/// server. Solves `(1 + u^2) / (1 - u^2)^2 = cost`.
fn utilisation_for_marginal_cost(cost: f64) -> f64 {
    if cost <= 1.0 {
        return 0.0;
    }
    let square = (2.0 * cost + 1.0 - (8.0 * cost + 1.0).sqrt()) / (2.0 * cost);
    square.max(0.0).sqrt()
}
