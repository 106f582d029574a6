use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServiceName;

use crate::overload_levels::share_of;
use crate::{
    RankCounts, RankShare, RequestOutcome, ServiceCounts, ShareAccumulator, ShareController,
};

/// A router's admission to one service.
#[derive(Debug)]
pub(crate) struct ServiceAdmission {
    ranks: BTreeMap<u8, RankState>,
    /// Sums of the servers' load reports since the last report.
    waiting: u32,
    slots: u32,
    /// Shares of the granter, and until when they hold.
    level: Option<(Vec<RankShare>, Time)>,
    /// Decides while there is no level of the granter.
    fallback: ShareController,
}

#[derive(Debug)]
struct RankState {
    counts: RankCounts,
    accumulator: ShareAccumulator,
    /// Shortest objective of the rank's requests, and when the last one arrived.
    objective: Duration,
    seen_at: Time,
}

impl ServiceAdmission {
    /// Time after the last request of a rank for which it counts as present at the service.
    const PRESENCE: Duration = Duration::from_secs(10);

    pub(crate) fn new() -> ServiceAdmission {
        ServiceAdmission {
            ranks: BTreeMap::new(),
            waiting: 0,
            slots: 0,
            level: None,
            fallback: ShareController::for_router(),
        }
    }

    pub(crate) fn admits(&mut self, now: Time, rank: u8, objective: Duration, phase: f64) -> bool {
        let share = self.share(now, rank);
        let state = self.ranks.entry(rank).or_insert_with(|| RankState {
            counts: RankCounts { rank, ..RankCounts::default() },
            accumulator: ShareAccumulator::new(phase),
            objective,
            seen_at: now,
        });
        state.seen_at = now;
        state.objective = state.objective.min(objective);
        state.counts.offered += 1;
        let admitted = state.accumulator.admits(share);
        state.counts.admitted += u32::from(admitted);
        admitted
    }

    pub(crate) fn share(&self, now: Time, rank: u8) -> f64 {
        match &self.level {
            Some((shares, until)) if now < *until => share_of(shares, rank),
            _ => share_of(&self.fallback.shares(), rank),
        }
    }

    pub(crate) fn shares(&self, now: Time) -> Vec<RankShare> {
        let ranks = self.ranks.keys();
        ranks.map(|rank| RankShare { rank: *rank, share: self.share(now, *rank) as f32 }).collect()
    }

    /// Returns the shortest objective of the more urgent requests that are present.
    pub(crate) fn urgent_objective(&self, now: Time, rank: u8) -> Option<Duration> {
        let urgent = self.ranks.range(..rank).map(|(_, state)| state);
        let present = urgent.filter(|state| now.since(state.seen_at) < ServiceAdmission::PRESENCE);
        present.map(|state| state.objective).min()
    }

    pub(crate) fn record_outcome(&mut self, rank: u8, outcome: RequestOutcome) {
        let Some(RankState { counts, .. }) = self.ranks.get_mut(&rank) else {
            return;
        };
        match outcome {
            RequestOutcome::Answered { work } => {
                counts.answered += 1;
                counts.work_ms = counts.work_ms.saturating_add(work.as_millis() as u32);
            }
            RequestOutcome::Refused(_) => counts.refused += 1,
        }
    }

    pub(crate) fn record_load(&mut self, waiting: u32, slots: u32) {
        self.waiting = self.waiting.saturating_add(waiting);
        self.slots = self.slots.saturating_add(slots);
    }

    pub(crate) fn apply(&mut self, until: Time, shares: Vec<RankShare>) {
        self.fallback.adopt(&shares);
        self.level = Some((shares, until));
    }

    /// Drains the counts for a report; `None` unless requests of different ranks meet here.
    pub(crate) fn drain(&mut self, now: Time, service: ServiceName) -> Option<ServiceCounts> {
        self.ranks.retain(|_, state| now.since(state.seen_at) < ServiceAdmission::PRESENCE);
        let drain = |(rank, state): (&u8, &mut RankState)| {
            std::mem::replace(&mut state.counts, RankCounts { rank: *rank, ..Default::default() })
        };
        let counts = ServiceCounts {
            service,
            waiting: std::mem::take(&mut self.waiting),
            slots: std::mem::take(&mut self.slots),
            ranks: self.ranks.iter_mut().map(drain).collect(),
        };
        self.fallback.add(&counts);
        self.fallback.update(now);
        if let Some((shares, _)) = self.level.as_ref().filter(|(_, until)| now < *until) {
            // The demand has changed, so that the same shares are a different capacity.
            self.fallback.adopt(shares);
        }
        (counts.ranks.len() > 1).then_some(counts)
    }
}
