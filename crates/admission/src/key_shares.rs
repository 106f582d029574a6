use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::local_admission::narrow;
use crate::{RankDemand, ShareAccumulator, allocate_shares};

/// Admits the exact shares of a service's limited keys at a router, urgent requests first.
#[derive(Debug, Default)]
pub struct KeyShares {
    /// Accumulators by key and rank.
    accumulators: BTreeMap<(u16, u8), ShareAccumulator>,
    /// Decayed numbers of requests for limited keys by rank.
    demands: BTreeMap<u8, f64>,
    decayed_at: Time,
}

impl KeyShares {
    /// Time constant of the numbers of requests by rank; a router sees a few a second for each key.
    const WINDOW: Duration = Duration::from_millis(2_000);
    /// Number of requests below which a rank is no longer told apart.
    const MIN_REQUESTS: f64 = 0.1;

    /// Counts a request for a key of whose requests `share` is admitted; returns whether it is.
    ///
    /// `phase` is a number from 0 to 1 that differs between routers, with which the sequence of a key and
    /// rank starts.
    pub fn admits(&mut self, now: Time, key: u16, rank: u32, share: f64, phase: f64) -> bool {
        let rank = narrow(rank);
        let elapsed = now.since(std::mem::replace(&mut self.decayed_at, now)).as_secs_f64();
        let factor = (-elapsed / KeyShares::WINDOW.as_secs_f64()).exp();
        self.demands.values_mut().for_each(|requests| *requests *= factor);
        self.demands.retain(|_, requests| *requests >= KeyShares::MIN_REQUESTS);
        *self.demands.entry(rank).or_default() += 1.0;
        let demand = |requests: &f64| RankDemand { requests: *requests, work: *requests };
        let demands: Vec<RankDemand> = self.demands.values().map(demand).collect();
        let capacity = share * self.demands.values().sum::<f64>();
        let shares = self.demands.keys().zip(allocate_shares(capacity, &demands));
        let own = shares.filter(|(each, _)| **each == rank).map(|(_, share)| share).next();
        let accumulator = self.accumulators.entry((key, rank));
        accumulator.or_insert_with(|| ShareAccumulator::new(phase)).admits(own.unwrap_or(share))
    }

    /// Forgets the keys that are not limited; `is_limited` tells which are.
    pub fn retain<F>(&mut self, is_limited: F)
    where
        F: Fn(u16) -> bool,
    {
        self.accumulators.retain(|(key, _), _| is_limited(*key));
    }
}
