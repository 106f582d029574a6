use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServiceName, Term};

use crate::service_admission::ServiceAdmission;
use crate::{OverloadLevels, OverloadReport, RankShare, RefusalReason, RequestOutcome};

/// Admission by rank at a router.
///
/// It applies the granter's levels while they are valid. Without them, it continues from the last ones
/// by its own counts.
#[derive(Debug, Default)]
pub struct LocalAdmission {
    services: BTreeMap<ServiceName, ServiceAdmission>,
    /// Term and sequence of the last levels.
    version: (Term, u64),
    /// Refusals since the start of the process.
    refusals: BTreeMap<(RefusalReason, u8), u64>,
}

impl LocalAdmission {
    /// Counts a new request; returns whether it is admitted.
    ///
    /// `phase` is a number from 0 to 1 that differs between routers, with which the sequence of a rank
    /// starts.
    pub fn admits(
        &mut self,
        now: Time,
        service: ServiceName,
        rank: u32,
        objective: Duration,
        phase: f64,
    ) -> bool {
        let admission = self.services.entry(service).or_insert_with(ServiceAdmission::new);
        let admitted = admission.admits(now, narrow(rank), objective, phase);
        if !admitted {
            *self.refusals.entry((RefusalReason::Share, narrow(rank))).or_default() += 1;
        }
        admitted
    }

    /// Returns whether a request that was sent already may be repeated: only if no first attempts of its
    /// rank are refused.
    pub fn admits_repeat(&self, now: Time, service: ServiceName, rank: u32) -> bool {
        let admission = self.services.get(&service);
        admission.is_none_or(|admission| admission.share(now, narrow(rank)) >= 1.0)
    }

    /// Returns the shortest objective of the more urgent requests at a service, if there are any.
    pub fn urgent_objective(&self, now: Time, service: ServiceName, rank: u32) -> Option<Duration> {
        self.services.get(&service)?.urgent_objective(now, narrow(rank))
    }

    /// Records how an attempt of an admitted request ended.
    pub fn record_outcome(&mut self, service: ServiceName, rank: u32, outcome: RequestOutcome) {
        if let RequestOutcome::Refused(reason) = outcome {
            *self.refusals.entry((reason, narrow(rank))).or_default() += 1;
        }
        if let Some(admission) = self.services.get_mut(&service) {
            admission.record_outcome(narrow(rank), outcome);
        }
    }

    /// Records the load report in a server's answer to a request that it ran.
    pub fn record_load(&mut self, service: ServiceName, waiting: u32, slots: u32) {
        if let Some(admission) = self.services.get_mut(&service) {
            admission.record_load(waiting, slots);
        }
    }

    /// Applies the granter's levels; returns whether they are newer than the last ones.
    pub fn apply(&mut self, now: Time, levels: &OverloadLevels) -> bool {
        let version = (levels.term, levels.sequence);
        if version <= self.version {
            return false;
        }
        self.version = version;
        let valid = Duration::from_millis(u64::from(levels.valid_ms));
        let until = now + valid.min(OverloadLevels::VALIDITY);
        for level in &levels.services {
            if let Some(admission) = self.services.get_mut(&level.service) {
                admission.apply(until, level.shares.clone());
            }
        }
        true
    }

    /// Drains the counts since the last report, at a steady interval; also advances the fallback.
    pub fn drain_report(&mut self, now: Time) -> OverloadReport {
        let drain = |(service, admission): (&ServiceName, &mut ServiceAdmission)| {
            admission.drain(now, *service)
        };
        OverloadReport { services: self.services.iter_mut().filter_map(drain).collect() }
    }

    /// Returns the refusals since the start of the process, by reason and rank.
    pub fn refusals(&self) -> &BTreeMap<(RefusalReason, u8), u64> {
        &self.refusals
    }

    /// Returns the shares in force by service and rank, for metrics.
    pub fn shares(&self, now: Time) -> Vec<(ServiceName, Vec<RankShare>)> {
        self.services.iter().map(|(name, each)| (*name, each.shares(now))).collect()
    }
}

/// Returns a rank as sent in messages. Higher ranks count as one, so that their number is bounded.
pub(crate) fn narrow(rank: u32) -> u8 {
    /// Ranks that are told apart.
    const MAX_RANK: u32 = 7;
    rank.min(MAX_RANK) as u8
}
