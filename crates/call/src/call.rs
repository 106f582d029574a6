use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{ErrorKind, Outcome};

use crate::attempt::{Attempt, AttemptEnd, EndedAttempt};
use crate::{AttemptFailure, AttemptId, Event, NotRunReason, RetryReason};

/// State machine of one request: its attempts and whether it may have run.
///
/// An attempt that was sent may have run unless its target reported that it did not. Once an
/// attempt may have run, the gate never answers the request with outcome `not-run`.
#[derive(Debug)]
pub struct Call {
    idempotent: bool,
    deadline: Time,
    attempts_started: u32,
    /// Attempts that have not ended.
    attempts: [Option<Attempt>; Call::MAX_LIVE_ATTEMPTS],
    /// The attempt whose answer is being forwarded to the caller.
    forwarded_attempt: Option<AttemptId>,
    /// The error to report because an ended attempt may have run; `None` while none may have.
    unknown_outcome: Option<ErrorKind>,
}

/// The result of handling an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// What the gate does next.
    pub step: Step,
    /// The attempt that the event ended, if any.
    pub ended: Option<EndedAttempt>,
}

/// What the gate does next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Does nothing: the event is late, or its answer is not the one being forwarded.
    Ignore,
    /// Does nothing: another attempt is still running or its answer is being forwarded.
    Wait,
    /// Sends the request again, if the deadline and the retry budget allow it.
    Retry(RetryReason),
    /// Forwards this attempt's answer and cancels the other attempts.
    Forward(AttemptId),
    /// Ends the request: its whole answer was forwarded.
    Finish,
    /// Ends the request: the target's answer broke off while it was being forwarded.
    Abort,
    /// Ends the request with an error of this kind.
    Refuse(ErrorKind),
    /// Ends the request without an answer, as the caller has disconnected.
    Discard,
}

impl Call {
    /// Maximum attempts of a request at a time: the first and one hedge.
    pub const MAX_LIVE_ATTEMPTS: usize = 2;

    /// Creates a request without attempts.
    ///
    /// A request that is not `idempotent` is never run twice.
    pub fn new(idempotent: bool, deadline: Time) -> Call {
        Call {
            idempotent,
            deadline,
            attempts_started: 0,
            attempts: [None; Call::MAX_LIVE_ATTEMPTS],
            forwarded_attempt: None,
            unknown_outcome: None,
        }
    }

    /// Returns the time by which the request ends.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Returns whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Returns the number of attempts started so far, ended ones included.
    pub fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// Iterates over the attempts that have not ended.
    pub fn live_attempts(&self) -> impl Iterator<Item = Attempt> + '_ {
        self.attempts.iter().flatten().copied()
    }

    /// Returns whether an answer is being forwarded to the caller.
    pub fn is_forwarding(&self) -> bool {
        self.forwarded_attempt.is_some()
    }

    /// Returns whether a target may have run the request or may still run it.
    pub fn may_have_run(&self) -> bool {
        self.unknown_outcome.is_some() || self.live_attempts().any(|attempt| attempt.sent)
    }

    /// Registers a new attempt.
    ///
    /// Returns `None` if an answer is being forwarded, if a request that is not idempotent could
    /// run twice, or if [`Call::MAX_LIVE_ATTEMPTS`] attempts are live.
    pub fn start_attempt(&mut self, now: Time, to: SocketAddr) -> Option<AttemptId> {
        if self.forwarded_attempt.is_some() || (!self.idempotent && self.may_have_run()) {
            return None;
        }
        if !self.idempotent && self.live_attempts().next().is_some() {
            return None;
        }
        let slot = self.attempts.iter_mut().find(|slot| slot.is_none())?;
        self.attempts_started += 1;
        let id = AttemptId(self.attempts_started);
        *slot = Some(Attempt { id, to, started: now, sent: false });
        Some(id)
    }

    /// Returns whether the first byte of an attempt may be written to its connection.
    ///
    /// If so, marks the attempt as sent: from now on the target may run the request.
    pub fn may_send(&mut self, now: Time, id: AttemptId) -> bool {
        if now >= self.deadline || self.forwarded_attempt.is_some() {
            return false;
        }
        match self.attempts.iter_mut().flatten().find(|attempt| attempt.id == id) {
            Some(attempt) => {
                attempt.sent = true;
                true
            }
            None => false,
        }
    }

    /// Applies an event and returns the next step.
    pub fn handle_event(&mut self, event: Event) -> Decision {
        match event {
            Event::Answered { attempt, not_run, .. } => self.handle_answer(attempt, not_run),
            Event::Completed { attempt } => self.handle_completion(attempt),
            Event::Failed { attempt, failure, replayable } => {
                self.handle_failure(attempt, failure, replayable)
            }
            Event::CallerGone => continue_with(Step::Discard),
            Event::CallerFailed { .. } if self.is_forwarding() => continue_with(Step::Wait),
            Event::CallerFailed { kind } => {
                continue_with(Step::Refuse(self.resolve_error_kind(kind)))
            }
        }
    }

    /// Removes one live attempt that is not being forwarded, for the gate to cancel.
    ///
    /// If it was sent, the request may have run.
    pub fn cancel_next_attempt(&mut self) -> Option<EndedAttempt> {
        let forwarding = self.forwarded_attempt;
        let slot = self
            .attempts
            .iter_mut()
            .find(|slot| slot.is_some_and(|attempt| Some(attempt.id) != forwarding))?;
        let attempt = slot.take()?;
        if attempt.sent {
            self.unknown_outcome = Some(ErrorKind::DeadlineUnknown);
        }
        Some(attempt.into_ended(AttemptEnd::Cancelled))
    }

    /// Removes the attempt whose answer is being forwarded, for the gate to cancel.
    pub fn cancel_forwarded_attempt(&mut self) -> Option<EndedAttempt> {
        let attempt = self.remove_attempt(self.forwarded_attempt?)?;
        self.unknown_outcome = Some(ErrorKind::AnswerCut);
        Some(attempt.into_ended(AttemptEnd::Cancelled))
    }

    /// Replaces an error kind whose outcome is `not-run` if the request may have run.
    ///
    /// Other kinds are returned unchanged.
    pub fn resolve_error_kind(&self, kind: ErrorKind) -> ErrorKind {
        if kind.outcome() != Outcome::NotRun {
            return kind;
        }
        if let Some(unknown) = self.unknown_outcome {
            return unknown;
        }
        if !self.live_attempts().any(|attempt| attempt.sent) {
            return kind;
        }
        match kind {
            ErrorKind::BadRequest | ErrorKind::BodyTooLarge | ErrorKind::SlowCaller => {
                ErrorKind::RequestCut
            }
            _ => ErrorKind::DeadlineUnknown,
        }
    }

    fn handle_answer(&mut self, id: AttemptId, not_run: Option<NotRunReason>) -> Decision {
        if self.forwarded_attempt.is_some() {
            return continue_with(Step::Ignore);
        }
        let Some(reason) = not_run else {
            let Some(attempt) = self.attempts.iter_mut().flatten().find(|a| a.id == id) else {
                return continue_with(Step::Ignore);
            };
            attempt.sent = true;
            self.forwarded_attempt = Some(id);
            return continue_with(Step::Forward(id));
        };
        let Some(attempt) = self.remove_attempt(id) else {
            return continue_with(Step::Ignore);
        };
        let next = self.step_after_failure(RetryReason::NotRun(reason), true);
        Decision { step: next, ended: Some(attempt.into_ended(AttemptEnd::NotRun(reason))) }
    }

    fn handle_completion(&mut self, id: AttemptId) -> Decision {
        if self.forwarded_attempt != Some(id) {
            return continue_with(Step::Ignore);
        }
        let ended =
            self.remove_attempt(id).map(|attempt| attempt.into_ended(AttemptEnd::Completed));
        Decision { step: Step::Finish, ended }
    }

    fn handle_failure(
        &mut self,
        id: AttemptId,
        failure: AttemptFailure,
        replayable: bool,
    ) -> Decision {
        let Some(attempt) = self.remove_attempt(id) else {
            return continue_with(Step::Ignore);
        };
        // `may_send` records whether bytes were sent; it overrides what the shell reports.
        let failure = match (attempt.sent, failure) {
            (false, _) => AttemptFailure::NotConnected,
            (true, AttemptFailure::NotConnected) => AttemptFailure::Lost,
            (true, failure) => failure,
        };
        let ended = Some(attempt.into_ended(AttemptEnd::Failed(failure)));
        let reason = RetryReason::Failed(failure);
        if !failure.is_unsent() {
            self.unknown_outcome = Some(reason.error_kind());
        }
        if self.forwarded_attempt == Some(id) {
            return Decision { step: Step::Abort, ended };
        }
        Decision { step: self.step_after_failure(reason, replayable), ended }
    }

    /// Returns the next step after an attempt ended without an answer to forward.
    fn step_after_failure(&self, reason: RetryReason, replayable: bool) -> Step {
        if self.live_attempts().next().is_some() {
            return Step::Wait;
        }
        if replayable && (self.idempotent || self.unknown_outcome.is_none()) {
            return Step::Retry(reason);
        }
        Step::Refuse(self.resolve_error_kind(reason.error_kind()))
    }

    fn remove_attempt(&mut self, id: AttemptId) -> Option<Attempt> {
        let slot = self.attempts.iter_mut().find(|slot| slot.is_some_and(|a| a.id == id))?;
        slot.take()
    }
}

fn continue_with(step: Step) -> Decision {
    Decision { step, ended: None }
}
