use std::collections::BTreeMap;
use std::time::Duration;

use bay_admission::{OverloadLevels, OverloadReport, RankShare, RefusalReason, RequestOutcome};
use bay_time::Time;
use bay_types::{ErrorKind, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::{AttemptResult, Counter, RequestState, RoutingDecision, SelectedServer};

/// Admission by rank. Without overload control, nothing is recorded and all requests are admitted.
impl Router {
    /// Returns whether a request is admitted by its rank. This is decided once for each request.
    pub(super) fn admits_by_rank(&mut self, now: Time, request: &mut RequestState) -> bool {
        if !self.settings.overload_control || std::mem::replace(&mut request.passed_rank, true) {
            return true;
        }
        let phase = self.phase(u64::from(request.rank()));
        let objective = request.route.objective;
        self.admission.admits(now, request.service, request.rank(), objective, phase)
    }

    /// Returns whether a request for a limited key is within the share that is admitted.
    pub(super) fn admits_exact_share(
        &mut self,
        now: Time,
        request: &RequestState,
        key: u16,
        share: f32,
    ) -> bool {
        let phase = self.phase(u64::from(key));
        let pool = self.pools.get_mut(&request.service);
        pool.is_none_or(|pool| {
            pool.key_shares.admits(now, key, request.rank(), f64::from(share), phase)
        })
    }

    /// Returns the phase from 0 to 1 with which this router starts a sequence of requests. It is not
    /// drawn from the random choices of servers, which are the same with and without overload control.
    fn phase(&self, sequence: u64) -> f64 {
        let hash = xxh3_64_with_seed(self.settings.host.as_str().as_bytes(), sequence);
        hash as f64 / u64::MAX as f64
    }

    /// Returns whether a request would wait at a server so long that a more urgent one could no longer
    /// be answered there within its objective.
    pub(super) fn would_delay_urgent(
        &self,
        now: Time,
        request: &RequestState,
        selected: &SelectedServer,
    ) -> bool {
        if !self.settings.overload_control || selected.has_free_slot {
            return false;
        }
        let urgent = self.admission.urgent_objective(now, request.service, request.rank());
        urgent.is_some_and(|objective| selected.expected_ms > objective.as_secs_f64() * 1000.0)
    }

    /// Refuses a request that would delay more urgent ones.
    pub(super) fn refuse_for_urgent(
        &mut self,
        now: Time,
        request: &RequestState,
    ) -> RoutingDecision {
        if request.may_have_run {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        let outcome = RequestOutcome::Refused(RefusalReason::Urgent);
        self.admission.record_outcome(request.service, request.rank(), outcome);
        self.refuse_until_later(now, request, Counter::RankLimited)
    }

    /// Records a request that is not sent, if that is for lack of capacity.
    pub(super) fn record_refusal(&mut self, request: &RequestState, kind: ErrorKind) {
        if self.settings.overload_control && kind == ErrorKind::ServiceOverloaded {
            let outcome = RequestOutcome::Refused(RefusalReason::Capacity);
            self.admission.record_outcome(request.service, request.rank(), outcome);
        }
    }

    /// Records the result of an attempt, if it tells how long work takes at the servers.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        request: &RequestState,
        selected: &SelectedServer,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        if !self.settings.overload_control {
            return;
        }
        let outcome = match (result, self.directory.get(selected.server)) {
            (AttemptResult::Answered { status: ..500, not_run: false }, Some(server)) => {
                if let Some(load) = server.recent_load(now) {
                    self.admission.record_load(request.service, load.waiting, load.slots);
                }
                let work = server.time_without_queueing(elapsed, selected.occupancy);
                RequestOutcome::Answered { work }
            }
            (AttemptResult::Answered { not_run: true, .. } | AttemptResult::TimedOut, _) => {
                RequestOutcome::Refused(RefusalReason::Capacity)
            }
            _ => return,
        };
        self.admission.record_outcome(request.service, request.rank(), outcome);
    }

    /// Drains the counts by service and rank since the last report; `None` if there are none.
    pub fn drain_overload_report(&mut self, now: Time) -> Option<OverloadReport> {
        if !self.settings.overload_control {
            return None;
        }
        let report = self.admission.drain_report(now);
        (!report.services.is_empty()).then_some(report)
    }

    /// Applies the granter's shares; returns whether they are newer than the last ones.
    pub fn apply_overload_levels(&mut self, now: Time, levels: &OverloadLevels) -> bool {
        self.settings.overload_control && self.admission.apply(now, levels)
    }

    /// Returns the shares of requests that are admitted now, by service and rank.
    pub fn admitted_shares(&self, now: Time) -> Vec<(ServiceName, Vec<RankShare>)> {
        self.admission.shares(now)
    }

    /// Returns the requests refused under overload since the start, by reason and rank.
    pub fn overload_refusals(&self) -> &BTreeMap<(RefusalReason, u8), u64> {
        self.admission.refusals()
    }
}
