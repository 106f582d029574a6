use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::{RankCounts, RankDemand, RankShare, ServiceCounts, allocate_shares};

/// Decides which share of each rank's requests a service can run, from counts of their results.
///
/// While the service is short, the admitted work is what the servers complete, corrected so that they
/// reject a target share of attempts. It does not need to know the servers' speeds.
#[derive(Debug)]
pub struct ShareController {
    /// Time constant of the averages.
    window: Duration,
    ranks: BTreeMap<u8, RankAverages>,
    /// Decayed sums of the servers' load reports.
    waiting: f64,
    slots: f64,
    /// Admitted work per second, in seconds; `None` if all requests are admitted.
    capacity: Option<f64>,
    /// Since when the capacity covers the demand.
    sufficient_since: Option<Time>,
    updated_at: Option<Time>,
    /// When the first counts were known.
    started_at: Option<Time>,
    /// Share of a full average that the time since the first update covers, up to 1.
    covered: f64,
}

/// Averages of a rank.
#[derive(Debug, Default, Clone, Copy)]
struct RankAverages {
    /// Counts since the last update.
    fresh: RankSums,
    /// Moving averages of the counts per second, times [`ShareController::covered`].
    average: RankSums,
    /// Time of work of a request in seconds, over [`ShareController::COST_SPAN`] requests.
    cost: f64,
    cost_requests: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct RankSums {
    offered: f64,
    admitted: f64,
    refused: f64,
    answered: f64,
}

impl ShareController {
    /// Time constant of the averages at the granter: one and a half reports of each router.
    const FLEET_WINDOW: Duration = Duration::from_millis(450);
    /// Time constant of a router's own averages; it sees few requests of a service.
    const LOCAL_WINDOW: Duration = Duration::from_millis(3_000);
    /// Share of attempts that servers reject which is aimed at while the service is short.
    ///
    /// An urgent request has two attempts, and its caller returns. Fewer rejections would leave more
    /// slots idle.
    const TARGET_REFUSAL: f64 = 0.22;
    /// Share of attempts rejected from which the service counts as short.
    const SHORT_REFUSAL: f64 = 0.4;
    /// Waiting requests per slot from which the service counts as short. With fewer there is room at most
    /// servers, even if those of some keys reject requests.
    const SHORT_QUEUE: f64 = 0.8;
    /// Share of requests admitted below which some router limits them.
    const FULL_SHARE: f64 = 0.97;
    /// Time constant with which the capacity follows what the servers complete, in seconds.
    const FOLLOW_TIME: f64 = 0.5;
    /// Correction of the capacity for each share of attempts rejected above or below the target. With 1,
    /// reports that are half a second old make it swing.
    const GAIN: f64 = 0.5;
    /// Growth of the capacity per second while few attempts are rejected.
    const GROWTH: f64 = 1.0;
    /// Requests that the averages need to cover before the service can count as short.
    const MIN_REQUESTS: f64 = 20.0;
    /// Requests that the mean time of work covers.
    const COST_SPAN: f64 = 500.0;
    /// Time for which the capacity has to cover the demand until the shortage ends.
    const END_DELAY: Duration = Duration::from_millis(1_000);
    /// Time after the first counts in which each router reports twice.
    const START_DELAY: Duration = Duration::from_millis(600);
    /// Averages below which a rank is no longer seen at the service.
    const MIN_OFFERED: f64 = 0.01;

    /// Creates the granter's controller, for the counts of all routers.
    pub fn for_fleet() -> ShareController {
        ShareController::new(ShareController::FLEET_WINDOW)
    }

    /// Creates the controller of a router that has only its own counts.
    pub fn for_router() -> ShareController {
        ShareController::new(ShareController::LOCAL_WINDOW)
    }

    fn new(window: Duration) -> ShareController {
        ShareController {
            window,
            ranks: BTreeMap::new(),
            waiting: 0.0,
            slots: 0.0,
            capacity: None,
            sufficient_since: None,
            updated_at: None,
            started_at: None,
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

    /// Returns whether the counts cover enough time to decide on them.
    ///
    /// A new granter knows no shortage at first. Its shares would end that of the routers.
    pub fn is_informed(&self, now: Time) -> bool {
        let started = self.started_at.filter(|_| self.has_several_ranks());
        started.is_some_and(|at| now.since(at) >= ShareController::START_DELAY)
    }

    /// Adopts shares that another controller has decided, so that this one continues from them.
    pub fn adopt(&mut self, shares: &[RankShare]) {
        self.sufficient_since = None;
        self.capacity = (!shares.is_empty()).then(|| {
            let share = |rank| crate::overload_levels::share_of(shares, rank);
            let admitted = |(rank, each): (&u8, &RankAverages)| {
                each.average.offered * each.cost * share(*rank)
            };
            self.ranks.iter().map(admitted).sum::<f64>() / self.covered.max(f64::MIN_POSITIVE)
        });
    }

    /// Updates the averages and the capacity; called at a steady interval.
    pub fn update(&mut self, now: Time) {
        let elapsed = self.updated_at.replace(now).map_or(0.0, |at| now.since(at).as_secs_f64());
        let factor = (-elapsed / self.window.as_secs_f64()).exp();
        // It is unknown which time the first counts cover, so that they are dropped.
        let weight = if elapsed > 0.0 { (1.0 - factor) / elapsed } else { 0.0 };
        self.covered = self.covered * factor + (1.0 - factor);
        self.ranks.values_mut().for_each(|rank| rank.update(factor, weight));
        if self.covered > 0.0 {
            self.ranks.retain(|_, rank| rank.average.offered > ShareController::MIN_OFFERED);
        }
        if self.covered > 0.0 && self.has_several_ranks() {
            self.started_at.get_or_insert(now);
            self.update_capacity(now, elapsed);
        } else {
            self.capacity = None;
        }
        self.waiting *= factor;
        self.slots *= factor;
    }

    fn update_capacity(&mut self, now: Time, elapsed: f64) {
        let sum = |value: fn(&RankSums) -> f64| {
            let work = self.ranks.values().map(|rank| value(&rank.average) * rank.cost);
            work.sum::<f64>() / self.covered
        };
        let (offered, admitted) = (sum(|sums| sums.offered), sum(|sums| sums.admitted));
        let (refused, answered) = (sum(|sums| sums.refused), sum(|sums| sums.answered));
        let window = self.window.as_secs_f64();
        let count = |rank: &RankAverages| rank.average.admitted * window / self.covered;
        let requests: f64 = self.ranks.values().map(count).sum();
        let refusal = refused / (refused + answered).max(f64::MIN_POSITIVE);
        let Some(capacity) = self.capacity else {
            let is_short = requests >= ShareController::MIN_REQUESTS
                && refusal > ShareController::SHORT_REFUSAL
                && self.waiting > self.slots * ShareController::SHORT_QUEUE;
            // A new granter continues from what the routers admit.
            if is_short || admitted < offered * ShareController::FULL_SHARE {
                // Answers lag behind at the start of a burst; accepted requests do not.
                self.capacity = Some(answered.max(admitted - refused));
            }
            return;
        };
        let target = ShareController::TARGET_REFUSAL;
        let correction = 1.0 + ShareController::GAIN * (target - refusal);
        let sustained = answered * correction / (1.0 - target);
        let weight = (elapsed / ShareController::FOLLOW_TIME).min(1.0);
        let followed = capacity + weight * (sustained - capacity);
        let capacity = match refusal < target / 2.0 {
            // The completed work lags behind, so that the growth does not depend on it.
            true => followed.max(capacity * (1.0 + ShareController::GROWTH * elapsed)),
            false => followed,
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
            let requests = rank.average.offered / self.covered.max(f64::MIN_POSITIVE);
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
        let answered = f64::from(counts.answered);
        self.fresh.offered += f64::from(counts.offered);
        self.fresh.admitted += f64::from(counts.admitted);
        self.fresh.refused += f64::from(counts.refused);
        self.fresh.answered += answered;
        if answered > 0.0 {
            let sample = f64::from(counts.work_ms) / 1000.0 / answered;
            self.cost_requests += answered;
            self.cost += (sample - self.cost) * answered / self.cost_requests;
            self.cost_requests = self.cost_requests.min(ShareController::COST_SPAN);
        }
    }

    /// Moves the averages towards the counts since the last update, with a weight per count.
    fn update(&mut self, factor: f64, weight: f64) {
        let fresh = std::mem::take(&mut self.fresh);
        let update = |average: &mut f64, count: f64| *average = *average * factor + count * weight;
        update(&mut self.average.offered, fresh.offered);
        update(&mut self.average.admitted, fresh.admitted);
        update(&mut self.average.refused, fresh.refused);
        update(&mut self.average.answered, fresh.answered);
    }
}
