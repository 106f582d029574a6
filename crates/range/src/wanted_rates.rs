use std::collections::BTreeMap;

use crate::{Candidate, OwnerId};

/// How a service's requests are best shared among its servers.
///
/// Fast servers answer sooner even when they are busier, so that they get more than their part of
/// the capacity as long as little queues at them. The shares minimise the mean time of a request,
/// where one at a server with utilisation `u` takes `1 / (1 - u^2)` times as long as alone.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct WantedRates(BTreeMap<OwnerId, f64>);

impl WantedRates {
    /// Part of the mean utilisation that each server gets at least, so that its time is known and
    /// it can take over from others.
    const LEAST_SHARE: f64 = 0.25;
    /// Steps of the search for the shares; each halves the error.
    const STEPS: u32 = 40;
    /// Utilisation that no share exceeds.
    const MOST: f64 = 0.95;

    /// The wanted rate of each server, in requests a second; `total` is that of all together.
    pub(crate) fn new(total: f64, servers: &[&Candidate], usual_ms: f64) -> WantedRates {
        let capacity: f64 = servers.iter().map(|each| each.capacity(usual_ms)).sum();
        let mean = (total / capacity).min(WantedRates::MOST);
        let time = |each: &Candidate| each.service_ms.unwrap_or(usual_ms).max(1.0);
        let rates = |level: f64| {
            let rate = |each: &&Candidate| {
                let least = mean * WantedRates::LEAST_SHARE;
                let share = utilisation(level / time(each)).max(least).min(WantedRates::MOST);
                (each.owner, share * each.capacity(usual_ms))
            };
            servers.iter().map(rate).collect::<BTreeMap<OwnerId, f64>>()
        };
        // The level is the time that one more request costs all, which is the same at each server.
        let (mut low, mut high) = (0.0, servers.iter().map(|each| time(each)).fold(1.0, f64::max));
        high *= 1_000.0;
        for _ in 0..WantedRates::STEPS {
            let level = (low + high) / 2.0;
            match rates(level).values().sum::<f64>() < mean * capacity {
                true => low = level,
                false => high = level,
            }
        }
        WantedRates(rates(high))
    }

    /// The wanted rate of a server, in requests a second.
    pub(crate) fn of(&self, owner: OwnerId) -> f64 {
        self.0.get(&owner).copied().unwrap_or_default()
    }
}

/// The utilisation `u` at which one more request costs `cost` times what it takes alone, which is
/// the solution of `(1 + u^2) / (1 - u^2)^2 = cost`.
fn utilisation(cost: f64) -> f64 {
    if cost <= 1.0 {
        return 0.0;
    }
    let square = (2.0 * cost + 1.0 - (8.0 * cost + 1.0).sqrt()) / (2.0 * cost);
    square.max(0.0).sqrt()
}
