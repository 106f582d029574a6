use std::collections::HashMap;
use std::time::Duration;

use bay_capacity::{CapacitySample, LearnedCapacity, ServerCapacity, ServerId};
use bay_time::Time;
use bay_types::{ServerName, ServiceName};
use rand::RngExt;
use rand::rngs::SmallRng;

use super::Router;
use crate::{AttemptResult, LearnedServerCounts, SelectedServer};

impl Router {
    /// Samples that all routers together report to the granter per interval. With eight bytes each
    /// and an interval of 300 ms that is 17 KB/s at the granter.
    const MAX_REPORTED_SAMPLES: u32 = 640;
    /// Adds the result of an attempt to the samples for the granter.
    pub(super) fn record_capacity_sample(
        &mut self,
        now: Time,
        selected: &SelectedServer,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        if !self.settings.learn_capacities {
            return;
        }
        let Some(server) = self.directory.get_mut(selected.server) else {
            return;
        };
        // The owner of a key is no choice, and the planner has times of its own for keyed services.
        if self.pools.get(&server.entry.service).is_none_or(|pool| pool.spec.keyed) {
            return;
        }
        match result {
            AttemptResult::Answered { not_run: true, .. } => {
                server.record_capacity_refusal(now, selected.occupancy);
            }
            // A failed request often ends early, so its time would make the server look fast.
            AttemptResult::Answered { status: 500.., .. } => {}
            AttemptResult::Answered { .. } | AttemptResult::TimedOut => {
                let utilisation = server.record_capacity_answer(now, elapsed, selected.occupancy);
                let service = server.entry.service;
                if let Some(pool) = self.pools.get_mut(&service) {
                    pool.sample_shares.record_utilisation(utilisation);
                }
            }
            AttemptResult::Misdirected | AttemptResult::Lost(_) | AttemptResult::NotConnected => {}
        }
    }

    /// Drains samples of servers for the granter; empty if capacities are not learned.
    ///
    /// Their number is limited, and servers take turns. Samples that don't fit stay and are averaged
    /// with later ones.
    pub fn drain_capacity_samples(&mut self) -> Vec<CapacitySample> {
        if !self.settings.learn_capacities {
            return Vec::new();
        }
        let max = (Router::MAX_REPORTED_SAMPLES / self.router_count).max(1) as usize;
        let mut names: Vec<ServerName> = self
            .directory
            .iter()
            .filter(|(_, server)| server.has_capacity_samples())
            .map(|(name, _)| name)
            .collect();
        if let Some(last) = self.last_reported_server {
            let next = names.partition_point(|name| *name <= last);
            names.rotate_left(next);
        }
        names.truncate(max);
        self.last_reported_server = names.last().copied().or(self.last_reported_server);
        let drain = |name: &ServerName| {
            self.directory.get_mut(*name)?.drain_capacity_samples(ServerId::new(*name))
        };
        names.iter().filter_map(drain).collect()
    }

    /// Applies estimates of the granter; ignored if capacities are not learned.
    pub fn apply_capacities(&mut self, now: Time, capacities: &[ServerCapacity]) {
        if !self.settings.learn_capacities {
            return;
        }
        let learned: HashMap<ServerId, LearnedCapacity> =
            capacities.iter().map(|each| (each.server, each.learned())).collect();
        let names: Vec<ServerName> = self.directory.iter().map(|(name, _)| name).collect();
        for name in names {
            if let Some(learned) = learned.get(&ServerId::new(name))
                && let Some(server) = self.directory.get_mut(name)
            {
                server.set_learned_capacity(now, *learned);
            }
        }
    }

    /// Returns the identifiers of the registered servers with the slots of each.
    pub fn server_slots(&self) -> Vec<(ServerId, u32)> {
        let slots = self.directory.iter().map(|(name, server)| (ServerId::new(name), server));
        slots.map(|(id, server)| (id, server.entry.slots)).collect()
    }

    /// Counts the servers with an estimate, those of them that are slow, and those that sustain
    /// fewer concurrent requests than they have slots.
    pub fn learned_server_counts(&self, now: Time) -> LearnedServerCounts {
        let mut counts = LearnedServerCounts::default();
        for (_, server) in self.directory.iter() {
            let Some(learned) = server.learned_capacity(now) else {
                continue;
            };
            let average_ms = self.pools.get(&server.entry.service).map(|pool| pool.average_ms);
            counts.known += 1;
            counts.slow += usize::from(average_ms.is_some_and(|ms| server.is_slow(now, ms)));
            counts.limited += usize::from(learned.concurrency < f64::from(server.entry.slots));
        }
        counts
    }

    /// Calculates the servers' shares in the sample of a service, if that is due.
    pub(super) fn update_sample_shares(&mut self, now: Time, service: ServiceName) {
        if !self.settings.learn_capacities {
            return;
        }
        let is_due = self.pools.get(&service).is_some_and(|pool| pool.sample_shares.is_due(now));
        if !is_due {
            return;
        }
        let candidates = self.candidates(now, service);
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.sample_shares.update(now, &candidates);
        }
    }
}

/// Returns up to `count` different random servers, each with a probability by its weight.
pub(super) fn sample_by_weight(
    rng: &mut SmallRng,
    names: &[ServerName],
    count: usize,
    weight: impl Fn(ServerName) -> f64,
) -> Vec<ServerName> {
    let mut weights: Vec<f64> = names.iter().map(|name| weight(*name)).collect();
    let mut sampled = Vec::with_capacity(count);
    while sampled.len() < count.min(names.len()) {
        let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
        let at = weights.iter().position(|weight| {
            left -= weight;
            *weight > 0.0 && left <= 0.0
        });
        // Rounding may leave a remainder after the last weight.
        let Some(at) = at.or_else(|| weights.iter().rposition(|weight| *weight > 0.0)) else {
            break;
        };
        weights[at] = 0.0;
        sampled.push(names[at]);
    }
    sampled
}
