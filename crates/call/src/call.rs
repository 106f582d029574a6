use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{ErrorKind, Outcome};

use crate::attempt::{Attempt, AttemptEnd, EndedAttempt};
use crate::{AttemptFailure, AttemptId, Event, NotRunReason, RetryReason};

/// The state of one request: its attempts, and what may truly be said of its outcome.
///
/// An attempt that was sent may have run unless its target said that it did not. Once that holds
/// for any attempt, no later answer of the gate says `not-run`.
#[derive(Debug)]
pub struct Call {
    idempotent: bool,
    deadline: Time,
    attempts_started: u32,
    live: [Option<Attempt>; Call::MAX_LIVE_ATTEMPTS],
    forwarding: Option<AttemptId>,
    may_have_run: Option<ErrorKind>,
}

/// What an event leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// What to do next.
    pub step: Step,
    /// The attempt that has ended, if one has.
    pub ended: Option<EndedAttempt>,
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing: the event is of an attempt that has already ended.
    Ignore,
    /// Nothing for now: another attempt goes on.
    Wait,
    /// Sends the request again, if time and budget allow it.
    Retry(RetryReason),
    /// Passes an attempt's answer on and cancels the other attempts.
    Forward(AttemptId),
    /// Ends the request: its answer was passed on whole.
    Finish,
    /// Ends the request: its answer broke off while it was passed on.
    Abort,
    /// Ends the request with an error.
    Refuse(ErrorKind),
    /// Ends the request without an answer.
    Discard,
}

impl Call {
    /// Most attempts that run at a time.
    pub const MAX_LIVE_ATTEMPTS: usize = 2;

    /// A request that has to end by its deadline.
    pub fn new(idempotent: bool, deadline: Time) -> Call {
        Call {
            idempotent,
            deadline,
            attempts_started: 0,
            live: [None; Call::MAX_LIVE_ATTEMPTS],
            forwarding: None,
            may_have_run: None,
        }
    }

    /// When the request has to end.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Whether the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// How many attempts have been started.
    pub fn attempts_started(&self) -> u32 {
        self.attempts_started
    }

    /// The attempts that have not ended.
    pub fn live_attempts(&self) -> impl Iterator<Item = Attempt> + '_ {
        self.live.iter().flatten().copied()
    }

    /// Whether an answer is being passed on.
    pub fn is_forwarding(&self) -> bool {
        self.forwarding.is_some()
    }

    /// Whether a target may have run the request or may yet run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run.is_some() || self.live_attempts().any(|attempt| attempt.sent)
    }

    /// Starts and numbers an attempt, or returns `None` if it could make the request run twice
    /// against the rules.
    pub fn start_attempt(&mut self, now: Time, to: SocketAddr) -> Option<AttemptId> {
        if self.forwarding.is_some() || (!self.idempotent && self.may_have_run()) {
            return None;
        }
        if !self.idempotent && self.live_attempts().next().is_some() {
            return None;
        }
        let slot = self.live.iter_mut().find(|slot| slot.is_none())?;
        self.attempts_started += 1;
        let id = AttemptId(self.attempts_started);
        *slot = Some(Attempt { id, to, started: now, sent: false });
        Some(id)
    }

    /// Whether the first byte of an attempt may be handed to its connection; if so, the attempt
    /// counts as sent.
    pub fn may_send(&mut self, now: Time, id: AttemptId) -> bool {
        if now >= self.deadline || self.forwarding.is_some() {
            return false;
        }
        match self.live.iter_mut().flatten().find(|attempt| attempt.id == id) {
            Some(attempt) => {
                attempt.sent = true;
                true
            }
            None => false,
        }
    }

    /// Decides what an event leads to.
    pub fn handle_event(&mut self, event: Event) -> Decision {
        match event {
            Event::Answered { attempt, not_run, .. } => self.answered(attempt, not_run),
            Event::Completed { attempt } => self.completed(attempt),
            Event::Failed { attempt, failure, replayable } => {
                self.failed(attempt, failure, replayable)
            }
            Event::CallerGone => step(Step::Discard),
            Event::CallerFailed { .. } if self.is_forwarding() => step(Step::Wait),
            Event::CallerFailed { kind } => step(Step::Refuse(self.resolve_error_kind(kind))),
        }
    }

    /// Takes one attempt out of those that run, to cancel it; one that was sent may have run.
    pub fn cancel_next_attempt(&mut self) -> Option<EndedAttempt> {
        let forwarding = self.forwarding;
        let slot = self
            .live
            .iter_mut()
            .find(|slot| slot.is_some_and(|attempt| Some(attempt.id) != forwarding))?;
        let attempt = slot.take()?;
        if attempt.sent {
            self.may_have_run = Some(ErrorKind::DeadlineUnknown);
        }
        Some(attempt.ended(AttemptEnd::Cancelled))
    }

    /// Takes the attempt whose answer is being passed on, to cancel it.
    pub fn cancel_forwarded_attempt(&mut self) -> Option<EndedAttempt> {
        let attempt = self.take(self.forwarding?)?;
        self.may_have_run = Some(ErrorKind::AnswerCut);
        Some(attempt.ended(AttemptEnd::Cancelled))
    }

    /// The kind of error that may be answered in place of one that says `not-run`.
    pub fn resolve_error_kind(&self, kind: ErrorKind) -> ErrorKind {
        if kind.outcome() != Outcome::NotRun {
            return kind;
        }
        if let Some(unknown) = self.may_have_run {
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

    fn answered(&mut self, id: AttemptId, not_run: Option<NotRunReason>) -> Decision {
        if self.forwarding.is_some() {
            return step(Step::Ignore);
        }
        let Some(reason) = not_run else {
            let Some(attempt) = self.live.iter_mut().flatten().find(|a| a.id == id) else {
                return step(Step::Ignore);
            };
            attempt.sent = true;
            self.forwarding = Some(id);
            return step(Step::Forward(id));
        };
        let Some(attempt) = self.take(id) else {
            return step(Step::Ignore);
        };
        let next = self.again(RetryReason::NotRun(reason), true);
        Decision { step: next, ended: Some(attempt.ended(AttemptEnd::NotRun(reason))) }
    }

    fn completed(&mut self, id: AttemptId) -> Decision {
        if self.forwarding != Some(id) {
            return step(Step::Ignore);
        }
        let ended = self.take(id).map(|attempt| attempt.ended(AttemptEnd::Completed));
        Decision { step: Step::Finish, ended }
    }

    fn failed(&mut self, id: AttemptId, failure: AttemptFailure, replayable: bool) -> Decision {
        let Some(attempt) = self.take(id) else {
            return step(Step::Ignore);
        };
        // Whether bytes were sent is known from `may_send`; a shell that says otherwise is wrong.
        let failure = match (attempt.sent, failure) {
            (false, _) => AttemptFailure::NotConnected,
            (true, AttemptFailure::NotConnected) => AttemptFailure::Lost,
            (true, failure) => failure,
        };
        let ended = Some(attempt.ended(AttemptEnd::Failed(failure)));
        let reason = RetryReason::Failed(failure);
        if !failure.is_unsent() {
            self.may_have_run = Some(reason.error_kind());
        }
        if self.forwarding == Some(id) {
            return Decision { step: Step::Abort, ended };
        }
        Decision { step: self.again(reason, replayable), ended }
    }

    /// Decides whether the request may be sent again after an attempt came to nothing.
    fn again(&self, reason: RetryReason, replayable: bool) -> Step {
        if self.live_attempts().next().is_some() {
            return Step::Wait;
        }
        if replayable && (self.idempotent || self.may_have_run.is_none()) {
            return Step::Retry(reason);
        }
        Step::Refuse(self.resolve_error_kind(reason.error_kind()))
    }

    fn take(&mut self, id: AttemptId) -> Option<Attempt> {
        let slot = self.live.iter_mut().find(|slot| slot.is_some_and(|a| a.id == id))?;
        slot.take()
    }
}

fn step(step: Step) -> Decision {
    Decision { step, ended: None }
}
