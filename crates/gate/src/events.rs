use std::time::Duration;

use bay_call::{
    Action, AttemptEnd, AttemptFailure, AttemptId, CallId, Counter, EndedAttempt, Event,
    LoadReport, NotRunReason, RetryReason, Step,
};
use bay_load::{AttemptOutcome, Observation, Rejection, ReportedLoad};
use bay_time::Time;
use bay_types::ErrorKind;

use crate::Gate;
use crate::bounds::{LOST_RETRY_DELAY, MAX_ATTEMPTS, OWNER_RETRY_DELAY};
use crate::gate::{call_key, retry_after};
use crate::pending_call::Phase;

impl Gate {
    /// Handles an event of a request. An event of a request that has ended is only counted.
    pub fn handle_event(&mut self, now: Time, id: CallId, event: Event, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(call_key(id)) else {
            self.count(Counter::LateEvents);
            return;
        };
        let load = match event {
            Event::Answered { load, .. } => load,
            _ => None,
        };
        let decision = pending.call.handle_event(event);
        self.touched_services.push(pending.service);
        if let Some(ended) = decision.ended {
            self.record_attempt_end(now, id, ended, load);
        }
        match decision.step {
            Step::Ignore => self.count(Counter::LateEvents),
            Step::Wait => {}
            Step::Retry(reason) => self.retry(now, id, reason, out),
            Step::Forward(attempt) => self.forward(now, id, attempt, load, out),
            Step::Finish => {
                self.count(Counter::Completed);
                self.remove_call(now, id, out);
            }
            Step::Abort => self.abort(now, id, out),
            Step::Refuse(kind) => self.refuse(now, id, kind, None, out),
            Step::Discard => self.handle_caller_gone(now, id, out),
        }
        self.run_pending_work(now, out);
    }

    /// Handles the timer of a request: its deadline, a hedge, a claim or another placement.
    pub(crate) fn handle_call_timer(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(call_key(id)) else {
            return;
        };
        if now >= pending.call.deadline() {
            return self.handle_deadline(now, id, out);
        }
        if pending.hedge_at.is_some_and(|at| at <= now) {
            self.start_hedge(now, id, out);
        } else if let Phase::Claiming(claim) = pending.phase {
            self.handle_claim_timer(now, id, claim, out);
        } else {
            self.place(now, id, out);
        }
        self.reset_timer(id);
    }

    /// Ends a request with an error.
    ///
    /// If the request may have run, an error with outcome `not-run` is replaced by another kind.
    pub(crate) fn refuse(
        &mut self,
        now: Time,
        id: CallId,
        kind: ErrorKind,
        span: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.get_mut(call_key(id)) else {
            return;
        };
        let kind = pending.call.resolve_error_kind(kind);
        self.cancel_unforwarded_attempts(now, id, out);
        self.counters.count_refusal(kind);
        out.push(Action::Refuse { call: id, kind, retry_after: retry_after(kind, span) });
        self.remove_call(now, id, out);
    }

    /// Ends a request whose deadline has passed; the error depends on its phase.
    fn handle_deadline(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let pending = &self.calls[call_key(id)];
        if pending.call.is_forwarding() {
            return self.abort(now, id, out);
        }
        let kind = match pending.phase {
            Phase::Claiming(_) => ErrorKind::ClaimUnanswered,
            Phase::Ownerless { .. } => ErrorKind::NoOwner,
            Phase::Queued { .. } if pending.call.attempts_started() == 0 => {
                ErrorKind::ServiceOverloaded
            }
            Phase::Queued { .. } | Phase::Placing => pending.fallback_error,
            Phase::Running => ErrorKind::Unreachable,
        };
        self.refuse(now, id, kind, None, out);
    }

    /// Sends a request again, at once or after a delay, if attempts and retry budget allow it.
    fn retry(&mut self, now: Time, id: CallId, reason: RetryReason, out: &mut Vec<Action>) {
        let pending = &mut self.calls[call_key(id)];
        pending.fallback_error = reason.error_kind();
        pending.hedge_at = None;
        let keyed = pending.key.is_some();
        let attempts = pending.call.attempts_started();
        if attempts >= MAX_ATTEMPTS {
            return self.refuse(now, id, reason.error_kind(), None, out);
        }
        self.set_phase(id, Phase::Placing);
        let pending = &mut self.calls[call_key(id)];
        if reason == RetryReason::NotRun(NotRunReason::NotOwner) && keyed {
            pending.rejected_token = pending.rejected_token.max(pending.sent_token);
            self.count(reason.counter());
            return self.place(now, id, out);
        }
        let service = self.services.get_mut(pending.service);
        let allowed = service.is_some_and(|service| service.pool.try_spend_retry(now));
        if !allowed {
            self.count(Counter::RetryDenied);
            return self.refuse(now, id, reason.error_kind(), None, out);
        }
        pending.retry_paid = true;
        self.count(reason.counter());
        let is_loss =
            matches!(reason, RetryReason::Failed(AttemptFailure::Lost | AttemptFailure::Cut));
        let delay = match (keyed, is_loss) {
            (true, _) => OWNER_RETRY_DELAY * attempts,
            (false, true) => LOST_RETRY_DELAY,
            (false, false) => return self.place(now, id, out),
        };
        self.start_waiting(now, id, Phase::Queued { until: now + delay }, out);
    }

    /// Forwards an attempt's answer and cancels the other attempts.
    fn forward(
        &mut self,
        now: Time,
        id: CallId,
        attempt: AttemptId,
        load: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[call_key(id)];
        pending.hedge_at = None;
        let started =
            pending.call.live_attempts().find(|live| live.id == attempt).map(|live| live.started);
        let latency = now.since(started.unwrap_or(now));
        let is_hedge = pending.call.live_attempts().any(|live| live.id < attempt);
        let target = pending.target_of(attempt);
        if let (Some(target), Some(service)) = (target, self.services.get_mut(pending.service)) {
            let reported = load.map(convert_load);
            let outcome = AttemptOutcome::Answered;
            service.pool.observe(now, target, Observation { latency, outcome, reported });
            service.min_latency.record(now, latency);
        }
        if is_hedge {
            self.count(Counter::HedgeWins);
        }
        out.push(Action::Forward { call: id, attempt });
        self.cancel_unforwarded_attempts(now, id, out);
        self.reset_timer(id);
    }

    fn abort(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.cancel_forwarded_attempt(now, id, out);
        self.count(Counter::Aborted);
        out.push(Action::Abort { call: id });
        self.remove_call(now, id, out);
    }

    fn handle_caller_gone(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.cancel_unforwarded_attempts(now, id, out);
        self.cancel_forwarded_attempt(now, id, out);
        self.count(Counter::CallerGone);
        self.remove_call(now, id, out);
    }

    /// Cancels all attempts except the one whose answer is being forwarded.
    fn cancel_unforwarded_attempts(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        while let Some(ended) = self.calls[call_key(id)].call.cancel_next_attempt() {
            self.cancel_attempt(now, id, ended, out);
        }
    }

    fn cancel_forwarded_attempt(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        if let Some(ended) = self.calls[call_key(id)].call.cancel_forwarded_attempt() {
            self.cancel_attempt(now, id, ended, out);
        }
    }

    fn cancel_attempt(
        &mut self,
        now: Time,
        id: CallId,
        ended: EndedAttempt,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::CancelAttempt { call: id, attempt: ended.attempt.id });
        self.count(Counter::Cancelled);
        self.record_attempt_end(now, id, ended, None);
    }

    /// Reports the end of an attempt to the pool and the quarantine, and releases its slot.
    fn record_attempt_end(
        &mut self,
        now: Time,
        id: CallId,
        ended: EndedAttempt,
        load: Option<LoadReport>,
    ) {
        let pending = &mut self.calls[call_key(id)];
        let fingerprint = pending.fingerprint;
        let service_id = pending.service;
        let as_suspect = pending.is_suspect;
        let permit = pending.take_permit(ended.attempt.id);
        if let Some(permit) = &permit {
            if let Some(service) = self.services.get_mut(service_id)
                && let Some(outcome) = attempt_outcome(ended.end)
            {
                let latency = now.since(ended.attempt.started);
                let reported = load.map(convert_load);
                let observation = Observation { latency, outcome, reported };
                service.pool.observe(now, permit.target(), observation);
            }
            if !matches!(ended.end, AttemptEnd::Completed | AttemptEnd::Cancelled) {
                pending.excluded_targets.push(permit.target());
            }
        }
        drop(permit);
        match ended.end {
            AttemptEnd::Failed(AttemptFailure::Lost | AttemptFailure::Cut) => {
                self.record_loss(now, fingerprint, ended.attempt.to, as_suspect);
            }
            AttemptEnd::Completed => self.record_completion(now, fingerprint),
            _ => {}
        }
        self.release_suspect_target(id);
    }

    /// Lets deferred suspects use the target of this suspect's ended attempt.
    fn release_suspect_target(&mut self, id: CallId) {
        let pending = &self.calls[call_key(id)];
        let service_id = pending.service;
        if !pending.is_suspect {
            return;
        }
        if let Some(service) = self.services.get_mut(service_id) {
            service.running_suspects.retain(|(_, call)| *call != id);
        }
        self.wake_deferred_suspects(service_id);
    }

    /// Removes an ended request from all queues and releases its claim if it cannot have run.
    pub(crate) fn remove_call(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.timers.cancel(id);
        let Some(pending) = self.calls.remove(call_key(id)) else {
            return;
        };
        self.waiting_calls -= usize::from(pending.phase.is_waiting());
        if let Some(service) = self.services.get_mut(pending.service) {
            service.ownerless.remove(&id);
            service.deferred_suspects.remove(&id);
            if let Some(ticket) = pending.ticket {
                service.queued.remove(&ticket);
                service.pool.leave_queue(ticket);
            }
        }
        if let Some(digest) = pending.claim_digest
            && !pending.call.may_have_run()
        {
            self.release_claim(now, id, digest, out);
        }
        self.touched_services.push(pending.service);
    }

    /// Sets the timer of a request again, unless the request has ended.
    fn reset_timer(&mut self, id: CallId) {
        if let Some(pending) = self.calls.get(call_key(id)) {
            self.timers.set(id, pending.next_wakeup());
        }
    }
}

/// Converts an attempt's end to the outcome for the pool.
///
/// Returns `None` for a completed attempt, whose outcome the pool got with the head of the answer.
fn attempt_outcome(end: AttemptEnd) -> Option<AttemptOutcome> {
    match end {
        AttemptEnd::Completed => None,
        AttemptEnd::NotRun(reason) => Some(AttemptOutcome::Rejected(match reason {
            NotRunReason::NotOwner => Rejection::NotOwner,
            NotRunReason::Shed => Rejection::Shed,
            NotRunReason::Cold => Rejection::Cold,
            NotRunReason::Draining => Rejection::Draining,
        })),
        AttemptEnd::Failed(AttemptFailure::Silent) => Some(AttemptOutcome::Silent),
        AttemptEnd::Failed(_) => Some(AttemptOutcome::Failed),
        AttemptEnd::Cancelled => Some(AttemptOutcome::Cancelled),
    }
}

/// Converts a load report to the type of the pool.
fn convert_load(load: LoadReport) -> ReportedLoad {
    ReportedLoad { in_flight: load.in_flight, slots: load.slots }
}
