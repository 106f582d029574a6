use std::time::Duration;

use bay_range::OwnerId;
use bay_time::Time;
use bay_types::ErrorKind;

use super::Router;
use crate::{
    AttemptResult, Counter, Crash, LoadReport, RequestState, RetryDecision, SelectedServer,
};

impl Router {
    /// Records that an attempt is about to be sent.
    pub fn record_sent(
        &mut self,
        now: Time,
        selected: &SelectedServer,
        request: &mut RequestState,
    ) {
        request.attempts += 1;
        request.permit = None;
        *self.counts.entry(Counter::Attempt).or_default() += 1;
        if let Some(server) = self.directory.get_mut(selected.server) {
            server.record_sent(now, selected.picked_at);
            server.record_connection_taken(now);
        }
    }

    /// Records that an attempt has ended, whatever its result.
    pub fn record_finished(&mut self, selected: &SelectedServer) {
        if let Some(server) = self.directory.get_mut(selected.server) {
            server.record_finished(selected.picked_at);
        }
    }

    /// Records the load report of a server's answer.
    pub fn record_load(&mut self, now: Time, selected: &SelectedServer, load: LoadReport) {
        if let Some(server) = self.directory.get_mut(selected.server) {
            server.record_load(now, load);
        }
    }

    /// Records the result of an attempt and decides whether the request is retried.
    ///
    /// `elapsed` is the time since the attempt began.
    /// A request of a route that isn't idempotent is never retried after it may have run.
    pub fn handle_result(
        &mut self,
        now: Time,
        request: &mut RequestState,
        selected: &SelectedServer,
        result: AttemptResult,
        elapsed: Duration,
    ) -> RetryDecision {
        self.record_result(now, request, selected, result, elapsed);
        match result {
            AttemptResult::Answered { not_run: true, .. } => self.retry_or_refuse(
                now,
                request,
                selected,
                Counter::RetryNotRun,
                ErrorKind::ServiceOverloaded,
            ),
            AttemptResult::Misdirected => {
                let kind = self.record_misdirected(now, request, selected);
                let reason = Counter::RetryMisdirected;
                self.retry_or_refuse(now, request, selected, reason, kind)
            }
            AttemptResult::Answered { status: 500.., .. } if request.route.is_idempotent() => {
                request.may_have_run = true;
                match self.plan_retry(now, request, Counter::RetryFailed) {
                    true => RetryDecision::Retry,
                    false => RetryDecision::Deliver,
                }
            }
            AttemptResult::Answered { .. } => RetryDecision::Deliver,
            AttemptResult::NotConnected => {
                request.failed_connects += 1;
                if request.key.is_none() {
                    request.excluded.push(selected.server);
                }
                *self.counts.entry(Counter::RetryNotConnected).or_default() += 1;
                if request.failed_connects < RequestState::MAX_FAILED_CONNECTS {
                    return RetryDecision::Retry;
                }
                let (kind, after) = self.refusal(now, request, ErrorKind::Unreachable);
                RetryDecision::Refuse(kind, after)
            }
            AttemptResult::Lost(kind) => {
                request.may_have_run = true;
                if !request.route.is_idempotent() {
                    return RetryDecision::Refuse(kind, None);
                }
                self.retry_or_refuse(now, request, selected, Counter::RetryLost, kind)
            }
            AttemptResult::TimedOut => {
                request.may_have_run = true;
                RetryDecision::Refuse(ErrorKind::DeadlineUnknown, None)
            }
        }
    }

    /// Records the result of an attempt whose answer was streamed to the caller, so that it cannot be
    /// retried.
    ///
    /// `elapsed` is the time up to the head: the rest also depends on the reader.
    pub fn record_streamed(
        &mut self,
        now: Time,
        request: &RequestState,
        selected: &SelectedServer,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        self.record_result(now, request, selected, result, elapsed);
    }

    /// Updates the statistics of the server and the record of crashes.
    fn record_result(
        &mut self,
        now: Time,
        request: &RequestState,
        selected: &SelectedServer,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        match result {
            AttemptResult::Answered { not_run: false, .. } => {
                self.crash_detector.record_completion(request.digest);
            }
            AttemptResult::Lost(ErrorKind::ConnectionLost) => {
                let SelectedServer { server, started, .. } = *selected;
                self.crash_detector
                    .record_lost_answer(now, Crash { digest: request.digest, server, started });
            }
            _ => {}
        }
        self.record_outcome(now, request, selected, result, elapsed);
        if matches!(result, AttemptResult::Answered { .. } | AttemptResult::Misdirected) {
            self.answered_at = now;
        }
        if let (AttemptResult::Answered { not_run: false, .. }, Some(key)) = (result, request.key)
            && let Some(pool) = self.pools.get_mut(&request.service)
            && !pool.rejections.is_empty()
            && let Some((range, _)) = pool.owners.holding(key)
        {
            pool.rejections.remove(range);
        }
        self.record_capacity_sample(now, selected, result, elapsed);
        let Some(server) = self.directory.get_mut(selected.server) else {
            return;
        };
        match result {
            AttemptResult::Answered { .. } => server.record_connection_idle(now),
            _ => server.record_connections_lost(),
        }
        match result {
            AttemptResult::Answered { not_run: true, .. } | AttemptResult::Lost(_) => {
                server.record_failure();
            }
            AttemptResult::Answered { status, .. } => {
                server.record_answer(elapsed, selected.occupancy, status >= 500);
                let service_ms = server.service_ms();
                if let (Some(pool), Some(ms)) = (self.pools.get_mut(&request.service), service_ms) {
                    pool.record_time(ms);
                }
            }
            AttemptResult::NotConnected => server.record_connect_failure(now),
            AttemptResult::Misdirected => {}
            AttemptResult::TimedOut => server.record_timeout(elapsed, selected.occupancy),
        }
    }

    /// Retries a request if that is allowed; otherwise refuses it with `kind`.
    fn retry_or_refuse(
        &mut self,
        now: Time,
        request: &mut RequestState,
        selected: &SelectedServer,
        reason: Counter,
        kind: ErrorKind,
    ) -> RetryDecision {
        if request.key.is_none() {
            request.excluded.push(selected.server);
        }
        if self.plan_retry(now, request, reason) {
            return RetryDecision::Retry;
        }
        if request.may_have_run {
            return RetryDecision::Refuse(error_for_lost(kind), None);
        }
        let (kind, after) = self.refusal(now, request, kind);
        RetryDecision::Refuse(kind, after)
    }

    /// Records that another server answered at a server's address, or that an owner doesn't hold a key.
    /// Returns the error for the request if it is not retried.
    fn record_misdirected(
        &mut self,
        now: Time,
        request: &mut RequestState,
        selected: &SelectedServer,
    ) -> ErrorKind {
        let Some(key) = request.key else {
            return ErrorKind::NoTarget;
        };
        let owner = OwnerId { server: selected.server, started: selected.started };
        if let Some(pool) = self.pools.get_mut(&request.service)
            && let Some((range, _)) = pool.owners.holding(key).filter(|(_, each)| *each == owner)
        {
            pool.rejections.record(now, range, owner);
            request.rejected_by = Some((range, owner));
        }
        ErrorKind::NoOwner
    }

    /// Plans a retry of a request if its attempts, its time and the budget allow one; returns whether
    /// they do. The budget is spent when the retry is sent.
    ///
    /// Counts `RetryDenied` if only the budget denies it.
    fn plan_retry(&mut self, now: Time, request: &mut RequestState, reason: Counter) -> bool {
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return false;
        };
        if request.attempts >= request.route.max_attempts {
            return false;
        }
        let needed_ms = pool.average_ms.min(request.route.objective.as_secs_f64() * 1000.0);
        if request.time_left(now).as_secs_f64() * 1000.0 < needed_ms {
            return false;
        }
        if self.settings.overload_control
            && !self.admission.admits_repeat(now, request.service, request.rank())
        {
            return false;
        }
        let is_allowed = pool.retry_budget.has_room(now);
        match is_allowed {
            true => request.pending_retry = Some(reason),
            false => *self.counts.entry(Counter::RetryDenied).or_default() += 1,
        }
        is_allowed
    }

    /// Spends the planned retry of a request that is about to be sent; returns whether the budget
    /// allows it. A request without one may be sent.
    pub(super) fn try_spend_retry(&mut self, now: Time, request: &mut RequestState) -> bool {
        let Some(reason) = request.pending_retry.take() else {
            return true;
        };
        let pool = self.pools.get_mut(&request.service);
        let is_granted = pool.is_some_and(|pool| pool.retry_budget.try_spend(now));
        let counter = if is_granted { reason } else { Counter::RetryDenied };
        *self.counts.entry(counter).or_default() += 1;
        is_granted
    }
}

/// Returns the error for a request that may have run.
///
/// `BadAnswer` and `AnswerCut` stay. Any other error might tell the caller that the request
/// wasn't run, and becomes `ConnectionLost`.
fn error_for_lost(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::BadAnswer | ErrorKind::AnswerCut => kind,
        _ => ErrorKind::ConnectionLost,
    }
}
