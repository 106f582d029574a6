use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::{RankCounts, RankDemand, RankShare, ServiceCounts, allocate_shares};

/// Decides which share of each rank's requests a service can run, from counts of their results.
///
/// While the service is short, the admitted work is what the servers complete, corrected so that their
/// queues approach a target length. It does not need to know the servers' speeds.
#[derive(Debug)]
pub struct ShareController {
    /// Time constant of the averages.
    window: Duration,
    /// Waiting requests per slot that are aimed at while the service is short.
    target_queue: f64,
    ranks: BTreeMap<u8, RankAverages>,
    /// Decayed sums of the servers' load reports.
    waiting: f64,
    slots: f64,
    /// Admitted work per second, in seconds; `None` if all requests are admitted.
    capacity: Option<f64>,
    /// Since when the capacity covers the demand.
    sufficient_since: Option<Time>,
    updated_at: Option<Time>,
    /// Time that the averages cover, up to the window.
    covered: f64,
}

/// Decayed sums of the counts of a rank.
#[derive(Debug, Default, Clone, Copy)]
struct RankAverages {
    offered: f64,
    admitted: f64,
    refused: f64,
    late: f64,
    answered: f64,
    /// Time of work of a request in seconds, over [`ShareController::COST_SPAN`] requests.
    cost: f64,
    cost_requests: f64,
}

impl ShareController {
    /// Time constant of the averages at the granter: one and a half reports of each router.
    const FLEET_WINDOW: Duration = Duration::from_millis(450);
    /// Time constant of a router's own averages; it sees few requests of a service.
    const LOCAL_WINDOW: Duration = Duration::from_millis(3_000);
    /// Waiting requests per slot that are aimed at while the service is short.
    ///
    /// Longer queues serve little more, and urgent requests are rejected at servers whose queue is full.
    const FLEET_QUEUE: f64 = 0.5;
    /// The target of a router by itself. The demand that it sees varies more, so that it would use less of
    /// the servers with the same target.
    const LOCAL_QUEUE: f64 = 1.0;
    /// Waiting requests per slot from which the service can count as short. Below it there is room.
    const SHORT_QUEUE: f64 = 1.2;
    /// Time in which an excess of the queues over the target is worked off.
    const DRAIN_TIME: f64 = 0.5;
    /// Least ratio of the admitted work to what the servers complete, however long their queues are.
    const MIN_RATIO: f64 = 0.7;
    /// Greatest ratio, with short queues.
    const MAX_RATIO: f64 = 1.15;
    /// Time constant with which the capacity follows what the servers complete, in seconds.
    const FOLLOW_TIME: f64 = 0.5;
    /// Share of admitted work refused or late below which the capacity grows, however long queues are.
    const LOW_TROUBLE: f64 = 0.04;
    /// Growth of the capacity per second while hardly any request is refused or late.
    const GROWTH: f64 = 1.0;
    /// Share of work refused from which the service counts as short.
    const MIN_REFUSED: f64 = 0.03;
    /// Requests that the averages need to cover before the service can count as short.
    const MIN_REQUESTS: f64 = 20.0;
    /// Requests that the mean time of work covers.
    const COST_SPAN: f64 = 500.0;
    /// Time for which the capacity has to cover the demand until the shortage ends.
    const END_DELAY: Duration = Duration::from_millis(1_000);
    /// Averages below which a rank is no longer seen at the service.
    const MIN_OFFERED: f64 = 0.01;

    /// Creates the granter's controller, for the counts of all routers.
    pub fn for_fleet() -> ShareController {
        ShareController::new(ShareController::FLEET_WINDOW, ShareController::FLEET_QUEUE)
    }

    /// Creates the controller of a router that has only its own counts.
    pub fn for_router() -> ShareController {
        ShareController::new(ShareController::LOCAL_WINDOW, ShareController::LOCAL_QUEUE)
    }

    fn new(window: Duration, target_queue: f64) -> ShareController {
        ShareController {
            window,
            target_queue,
            ranks: BTreeMap::new(),
            waiting: 0.0,
            slots: 0.0,
            capacity: None,
            sufficient_since: None,
            updated_at: None,
            covered: 0.0,
        }
    }

    /// Adds counts of a router.
    pub fn add(&mut self, counts: &ServiceCounts) {
        self.waiting += f64::from(counts.waiting);
        self.slots += f64::from(counts.slots);
        counts.ranks.iter().for_each(|rank| self.ranks.entry(rank.rank).or_default().add(rank));
    }

    /// Returns whether requests of different ranks meet at the service.
    pub fn has_several_ranks(&self) -> bool {
        self.ranks.len() > 1
    }

    /// Adopts shares that another controller has decided, so that this one continues from them.
    pub fn adopt(&mut self, shares: &[RankShare]) {
        self.sufficient_since = None;
        self.capacity = (!shares.is_empty()).then(|| {
            let share = |rank| crate::overload_levels::share_of(shares, rank);
            self.ranks
                .iter()
                .map(|(rank, each)| each.offered * each.cost * share(*rank))
                .sum::<f64>()
                / self.covered.max(f64::MIN_POSITIVE)
        });
    }

    /// Updates the averages and the capacity; called at a steady interval.
    pub fn update(&mut self, now: Time) {
        let elapsed = self.updated_at.replace(now).map_or(0.0, |at| now.since(at).as_secs_f64());
        let window = self.window.as_secs_f64();
        let factor = (-elapsed / window).exp();
        // Counts arrive at the end of the interval that they cover.
        self.covered = self.covered * factor + window * (1.0 - factor);
        if self.covered > 0.0 && self.has_several_ranks() {
            self.update_capacity(now, elapsed);
        } else {
            self.capacity = None;
        }
        self.waiting *= factor;
        self.slots *= factor;
        self.ranks.values_mut().for_each(|rank| rank.scale(factor));
        self.ranks.retain(|_, rank| rank.offered > ShareController::MIN_OFFERED);
    }

    fn update_capacity(&mut self, now: Time, elapsed: f64) {
        let sum = |value: fn(&RankAverages) -> f64| {
            self.ranks.values().map(|rank| value(rank) * rank.cost).sum::<f64>() / self.covered
        };
        let (offered, admitted) = (sum(|rank| rank.offered), sum(|rank| rank.admitted));
        let (refused, answered) = (sum(|rank| rank.refused), sum(|rank| rank.answered));
        let requests: f64 = self.ranks.values().map(|rank| rank.admitted).sum();
        let queue = self.waiting / self.slots.max(1.0);
        let is_short = requests >= ShareController::MIN_REQUESTS
            && refused > admitted * ShareController::MIN_REFUSED
            && queue > ShareController::SHORT_QUEUE;
        let Some(capacity) = self.capacity else {
            // A new granter continues from what the routers admit.
            if is_short || admitted < offered * (1.0 - ShareController::MIN_REFUSED) {
                self.capacity = Some(answered);
            }
            return;
        };
        let count: f64 = self.ranks.values().map(|rank| rank.answered).sum();
        let mean_cost = answered * self.covered / count.max(1.0);
        let excess = (queue - self.target_queue) * mean_cost;
        let ratio = (1.0 - excess / ShareController::DRAIN_TIME)
            .clamp(ShareController::MIN_RATIO, ShareController::MAX_RATIO);
        let weight = (elapsed / ShareController::FOLLOW_TIME).min(1.0);
        let followed = capacity + weight * (answered * ratio - capacity);
        let troubled = refused + sum(|rank| rank.late);
        let capacity = match troubled > admitted * ShareController::LOW_TROUBLE {
            true => followed,
            // The completed work lags behind, so that the growth does not depend on it.
            false => followed.max(capacity * (1.0 + ShareController::GROWTH * elapsed)),
        };
        self.capacity = Some(capacity);
        if capacity < offered {
            self.sufficient_since = None;
        } else if now.since(*self.sufficient_since.get_or_insert(now)) >= ShareController::END_DELAY
        {
            self.sufficient_since = None;
            self.capacity = None;
        }
    }

    /// Returns the share of each rank to admit; empty if all requests are admitted.
    pub fn shares(&self) -> Vec<RankShare> {
        let Some(capacity) = self.capacity.filter(|_| self.has_several_ranks()) else {
            return Vec::new();
        };
        let demand = |rank: &RankAverages| {
            let requests = rank.offered / self.covered;
            RankDemand { requests, work: requests * rank.cost }
        };
        let demands: Vec<RankDemand> = self.ranks.values().map(demand).collect();
        let shares = allocate_shares(capacity, &demands).into_iter();
        let ranks = self.ranks.keys().zip(shares);
        ranks.map(|(rank, share)| RankShare { rank: *rank, share: share as f32 }).collect()
    }
}

impl RankAverages {
    fn add(&mut self, counts: &RankCounts) {
        self.offered += f64::from(counts.offered);
        self.admitted += f64::from(counts.admitted);
        self.refused += f64::from(counts.refused);
        self.late += f64::from(counts.late);
        let answered = f64::from(counts.answered);
        self.answered += answered;
        if answered > 0.0 {
            let sample = f64::from(counts.work_ms) / 1000.0 / answered;
            self.cost_requests += answered;
            self.cost += (sample - self.cost) * answered / self.cost_requests;
            self.cost_requests = self.cost_requests.min(ShareController::COST_SPAN);
        }
    }

    fn scale(&mut self, factor: f64) {
        self.offered *= factor;
        self.admitted *= factor;
        self.refused *= factor;
        self.late *= factor;
        self.answered *= factor;
    }
}
