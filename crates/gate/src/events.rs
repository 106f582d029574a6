use std::time::Duration;

use bay_call::{
    Action, AttemptEnd, AttemptFailure, AttemptId, CallId, Counter, EndedAttempt, Event,
    LoadReport, NotRunReason, RetryReason, Step,
};
use bay_load::{AttemptOutcome, Observation, Rejection, ReportedLoad};
use bay_time::Time;
use bay_types::ErrorKind;

use crate::Gate;
use crate::bounds::{MAX_ATTEMPTS, OWNER_PAUSE, SUSPECT_PAUSE};
use crate::gate::{key_of, retry_after};
use crate::pending::Phase;

impl Gate {
    /// Takes an event of a request and appends what is to be done.
    pub fn event(&mut self, now: Time, id: CallId, event: Event, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(key_of(id)) else {
            self.count(Counter::LateEvents);
            return;
        };
        let load = match event {
            Event::Answered { load, .. } => load,
            _ => None,
        };
        let decision = pending.call.on(event);
        self.touched.push(pending.service);
        if let Some(ended) = decision.ended {
            self.attempt_ended(now, id, ended, load);
        }
        match decision.step {
            Step::Late => self.count(Counter::LateEvents),
            Step::Wait => {}
            Step::Retry(reason) => self.retry(now, id, reason, out),
            Step::Forward(attempt) => self.forward(now, id, attempt, load, out),
            Step::Done => {
                self.count(Counter::Done);
                self.finish(now, id, out);
            }
            Step::Abort => self.abort(now, id, out),
            Step::Refuse(kind) => self.give_up(now, id, kind, None, out),
            Step::Gone => self.caller_gone(now, id, out),
        }
        self.settle(now, out);
    }

    /// Does what is due for a request.
    pub(crate) fn call_due(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(key_of(id)) else {
            return;
        };
        if now >= pending.call.deadline() {
            return self.deadline_passed(now, id, out);
        }
        if pending.hedge_at.is_some_and(|at| at <= now) {
            self.hedge(now, id, out);
        } else if let Phase::Claiming(claim) = pending.phase {
            self.claim_due(now, id, claim, out);
        } else {
            self.place(now, id, out);
        }
        self.rearm(id);
    }

    /// Ends a request with an error of the gate's own, one that is true of all its attempts.
    pub(crate) fn give_up(
        &mut self,
        now: Time,
        id: CallId,
        kind: ErrorKind,
        span: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) = self.calls.get_mut(key_of(id)) else {
            return;
        };
        let kind = pending.call.truthful(kind);
        self.cancel_others(now, id, out);
        self.tally.refused(kind);
        out.push(Action::Refuse { call: id, kind, retry_after: retry_after(kind, span) });
        self.finish(now, id, out);
    }

    fn deadline_passed(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let pending = &self.calls[key_of(id)];
        if pending.call.forwarding() {
            return self.abort(now, id, out);
        }
        let kind = match pending.phase {
            Phase::Claiming(_) => ErrorKind::ClaimUnanswered,
            Phase::Ownerless { .. } => ErrorKind::NoOwner,
            Phase::Queued { .. } if pending.call.attempts() == 0 => ErrorKind::ServiceOverloaded,
            Phase::Queued { .. } | Phase::Placing => pending.fallback,
            Phase::Running => ErrorKind::Unreachable,
        };
        self.give_up(now, id, kind, None, out);
    }

    fn retry(&mut self, now: Time, id: CallId, reason: RetryReason, out: &mut Vec<Action>) {
        let pending = &mut self.calls[key_of(id)];
        pending.fallback = reason.error_kind();
        pending.hedge_at = None;
        let keyed = pending.key.is_some();
        let attempts = pending.call.attempts();
        if attempts >= MAX_ATTEMPTS {
            return self.give_up(now, id, reason.error_kind(), None, out);
        }
        self.set_phase(id, Phase::Placing);
        let pending = &mut self.calls[key_of(id)];
        if reason == RetryReason::NotRun(NotRunReason::NotOwner) && keyed {
            pending.refused_token = pending.refused_token.max(pending.sent_token);
            self.count(reason.counter());
            return self.place(now, id, out);
        }
        let service = self.services.get_mut(pending.service);
        let allowed = service.is_some_and(|service| service.pool.try_spend_retry(now));
        if !allowed {
            self.count(Counter::RetryDenied);
            return self.give_up(now, id, reason.error_kind(), None, out);
        }
        pending.paid = true;
        self.count(reason.counter());
        let lost =
            matches!(reason, RetryReason::Failed(AttemptFailure::Lost | AttemptFailure::Cut));
        let pause = match (keyed, lost) {
            (true, _) => OWNER_PAUSE * attempts,
            (false, true) => SUSPECT_PAUSE,
            (false, false) => return self.place(now, id, out),
        };
        self.wait(now, id, Phase::Queued { until: now + pause }, out);
    }

    fn forward(
        &mut self,
        now: Time,
        id: CallId,
        attempt: AttemptId,
        load: Option<LoadReport>,
        out: &mut Vec<Action>,
    ) {
        let pending = &mut self.calls[key_of(id)];
        pending.hedge_at = None;
        let started = pending.call.live().find(|live| live.id == attempt).map(|live| live.started);
        let latency = now.since(started.unwrap_or(now));
        let hedged = pending.call.live().any(|live| live.id < attempt);
        let target = pending.target_of(attempt);
        if let (Some(target), Some(service)) = (target, self.services.get_mut(pending.service)) {
            let reported = load.map(reported);
            let outcome = AttemptOutcome::Answered;
            service.pool.observe(now, target, Observation { latency, outcome, reported });
            service.fastest.observe(now, latency);
        }
        if hedged {
            self.count(Counter::HedgeWins);
        }
        out.push(Action::Forward { call: id, attempt });
        self.cancel_others(now, id, out);
        self.rearm(id);
    }

    fn abort(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.cancel_forwarding(now, id, out);
        self.count(Counter::Aborted);
        out.push(Action::Abort { call: id });
        self.finish(now, id, out);
    }

    fn caller_gone(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.cancel_others(now, id, out);
        self.cancel_forwarding(now, id, out);
        self.count(Counter::CallerGone);
        self.finish(now, id, out);
    }

    /// Cancels the attempts whose answer is not being passed on.
    fn cancel_others(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        while let Some(ended) = self.calls[key_of(id)].call.cancel_one() {
            self.cancel(now, id, ended, out);
        }
    }

    fn cancel_forwarding(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        if let Some(ended) = self.calls[key_of(id)].call.cancel_forwarding() {
            self.cancel(now, id, ended, out);
        }
    }

    fn cancel(&mut self, now: Time, id: CallId, ended: EndedAttempt, out: &mut Vec<Action>) {
        out.push(Action::Cancel { call: id, attempt: ended.attempt.id });
        self.count(Counter::Cancelled);
        self.attempt_ended(now, id, ended, None);
    }

    /// Tells the pool and the quarantine how an attempt ended, and gives its slot back.
    fn attempt_ended(
        &mut self,
        now: Time,
        id: CallId,
        ended: EndedAttempt,
        load: Option<LoadReport>,
    ) {
        let pending = &mut self.calls[key_of(id)];
        let fingerprint = pending.fingerprint;
        let service_id = pending.service;
        let as_suspect = pending.suspect;
        let permit = pending.take_permit(ended.attempt.id);
        if let Some(permit) = &permit {
            if let Some(service) = self.services.get_mut(service_id)
                && let Some(outcome) = seen(ended.end)
            {
                let latency = now.since(ended.attempt.started);
                let reported = load.map(reported);
                let observation = Observation { latency, outcome, reported };
                service.pool.observe(now, permit.target(), observation);
            }
            if !matches!(ended.end, AttemptEnd::Completed | AttemptEnd::Cancelled) {
                pending.exclude.push(permit.target());
            }
        }
        drop(permit);
        match ended.end {
            AttemptEnd::Failed(AttemptFailure::Lost | AttemptFailure::Cut) => {
                self.note_loss(now, fingerprint, ended.attempt.to, as_suspect);
            }
            AttemptEnd::Completed => self.note_completion(now, fingerprint),
            _ => {}
        }
        self.suspect_ended(id);
    }

    /// Lets other suspects run where this request's attempt has ended.
    fn suspect_ended(&mut self, id: CallId) {
        let pending = &self.calls[key_of(id)];
        let service_id = pending.service;
        if !pending.suspect {
            return;
        }
        if let Some(service) = self.services.get_mut(service_id) {
            service.suspects.retain(|(_, call)| *call != id);
        }
        self.wake_held_back(service_id);
    }

    /// Forgets a request that has its answer.
    pub(crate) fn finish(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        self.timers.cancel(id);
        let Some(pending) = self.calls.remove(key_of(id)) else {
            return;
        };
        self.waiting -= usize::from(pending.phase.waits());
        if let Some(service) = self.services.get_mut(pending.service) {
            service.ownerless.remove(&id);
            service.held_back.remove(&id);
            if let Some(ticket) = pending.ticket {
                service.queued.remove(&ticket);
                service.pool.leave_queue(ticket);
            }
        }
        if let Some(digest) = pending.claim
            && !pending.call.may_have_run()
        {
            self.release_claim(now, id, digest, out);
        }
        self.touched.push(pending.service);
    }

    /// Sets the timer of a request that may still be there.
    fn rearm(&mut self, id: CallId) {
        if let Some(pending) = self.calls.get(key_of(id)) {
            self.timers.set(id, pending.wake());
        }
    }
}

/// What a pool is told of an attempt's end; an answer was told of as it began.
fn seen(end: AttemptEnd) -> Option<AttemptOutcome> {
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

fn reported(load: LoadReport) -> ReportedLoad {
    ReportedLoad { in_flight: load.in_flight, slots: load.slots }
}
