use std::time::Duration;

use bay_time::Time;
use bay_types::ErrorKind;

use crate::{AttemptFailure, AttemptId, Event};

/// Pause before a request is sent again after its owner was not found.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The state of one request.
#[derive(Debug)]
pub struct Call {
    idempotent: bool,
    deadline: Time,
    attempts: u32,
}

/// What to do next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Starts an attempt at this time.
    Attempt {
        /// The time.
        at: Time,
    },
    /// Passes an attempt's answer on.
    Forward(AttemptId),
    /// Ends the request with an error.
    Refuse(ErrorKind),
    /// Ends the request without an answer of the gate's own.
    End,
}

impl Call {
    /// A request that has to end by its deadline.
    pub fn new(idempotent: bool, deadline: Time) -> Call {
        Call { idempotent, deadline, attempts: 0 }
    }

    /// When the request has to end.
    pub fn deadline(&self) -> Time {
        self.deadline
    }

    /// Counts and numbers an attempt.
    pub fn next_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId(self.attempts)
    }

    /// Decides what an event leads to.
    pub fn on(&mut self, now: Time, event: Event) -> Step {
        match event {
            Event::Answered { not_run: Some(_), .. } => {
                self.retry(now, ErrorKind::ServiceOverloaded)
            }
            Event::Answered { attempt, not_run: None, .. } => Step::Forward(attempt),
            Event::Completed { .. } | Event::CallerGone => Step::End,
            Event::CallerFailed { kind } => Step::Refuse(kind),
            Event::Failed { failure, replayable, .. } => self.failed(now, failure, replayable),
        }
    }

    fn failed(&mut self, now: Time, failure: AttemptFailure, replayable: bool) -> Step {
        let kind = match failure {
            AttemptFailure::NotConnected => ErrorKind::Unreachable,
            AttemptFailure::Lost | AttemptFailure::Silent => ErrorKind::ConnectionLost,
            AttemptFailure::BadAnswer => ErrorKind::BadAnswer,
            AttemptFailure::Cut => ErrorKind::AnswerCut,
        };
        if replayable && (failure.not_run() || self.idempotent) {
            return self.retry(now, kind);
        }
        Step::Refuse(kind)
    }

    fn retry(&self, now: Time, kind: ErrorKind) -> Step {
        let at = now + RETRY_PAUSE;
        if at >= self.deadline { Step::Refuse(kind) } else { Step::Attempt { at } }
    }
}
