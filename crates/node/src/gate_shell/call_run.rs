use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::Duration;

use bay_call::{Action, AttemptFailure, AttemptId, CallId, Event};
use bay_time::{BootClock, Clock, Time};
use bay_types::ErrorKind;

use super::answer::Answer;
use super::attempt::{AttemptEnd, AttemptOrder, Outgoing, run_attempt};
use super::caller_side::{CallerSide, poll_closed};
use super::mailbox::Mailbox;
use super::shared::Shared;
use crate::http1::lock;

/// Serves one request: runs the attempts that the gate asks for until it says how to answer.
pub(crate) struct CallRun<'a> {
    shared: &'a Shared,
    call: CallId,
    mailbox: &'a Mailbox,
    request: &'a Outgoing,
    caller: &'a Mutex<CallerSide>,
    attempts: Vec<Running<'a>>,
    answers: Vec<(AttemptId, Answer)>,
}

struct Running<'a> {
    order: AttemptOrder,
    since: Time,
    exchange: Pin<Box<dyn Future<Output = AttemptEnd> + Send + 'a>>,
}

/// How a request is to be answered.
#[derive(Debug)]
pub(crate) enum CallEnd {
    /// With this answer of a target.
    Forward(AttemptId, Box<Answer>),
    /// With an error of the gate's own.
    Refuse {
        /// The reason.
        kind: ErrorKind,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
    /// Not at all, since the caller closed the connection.
    Gone,
}

impl fmt::Debug for CallRun<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallRun").field("call", &self.call).finish_non_exhaustive()
    }
}

impl<'a> CallRun<'a> {
    /// A request without attempts.
    pub(crate) fn new(
        shared: &'a Shared,
        call: CallId,
        mailbox: &'a Mailbox,
        request: &'a Outgoing,
        caller: &'a Mutex<CallerSide>,
    ) -> CallRun<'a> {
        CallRun {
            shared,
            call,
            mailbox,
            request,
            caller,
            attempts: Vec::new(),
            answers: Vec::new(),
        }
    }

    /// Goes on until it is clear how to answer.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<CallEnd> {
        loop {
            while let Some(action) = self.mailbox.pop() {
                if let Some(end) = self.act(action) {
                    return Poll::Ready(end);
                }
            }
            if !self.poll_attempts(cx) && !self.mailbox.wait(cx) {
                break;
            }
        }
        if poll_closed(self.caller, cx).is_ready() {
            self.shared.event(self.call, Event::CallerGone);
            return Poll::Ready(CallEnd::Gone);
        }
        Poll::Pending
    }

    fn act(&mut self, action: Action) -> Option<CallEnd> {
        match action {
            Action::StartAttempt { call, attempt, to, grant, time_left, fresh } => {
                self.start(AttemptOrder { call, attempt, to, grant, time_left, fresh });
                None
            }
            Action::CancelAttempt { attempt, .. } => {
                self.cancel(attempt);
                None
            }
            Action::Forward { attempt, .. } => {
                let at = self.answers.iter().position(|(id, _)| *id == attempt)?;
                let (_, answer) = self.answers.swap_remove(at);
                Some(CallEnd::Forward(attempt, Box::new(answer)))
            }
            Action::Refuse { kind, retry_after, .. } => Some(CallEnd::Refuse { kind, retry_after }),
            Action::Abort { .. } => Some(CallEnd::Gone),
            // The gate's own messages do not go through a request's mailbox.
            Action::SendToPeer { .. } => None,
        }
    }

    fn start(&mut self, order: AttemptOrder) {
        let attempt = order.attempt;
        let streamed = self.request.body.has_more;
        if streamed && (self.body_lost() || !self.attempts.is_empty()) {
            // The part of the body that is not kept can be sent only once.
            let failure = AttemptFailure::NotConnected;
            let event = Event::Failed { attempt, failure, replayable: false };
            return self.shared.event(self.call, event);
        }
        let exchange = run_attempt(self.shared, order, self.request, self.caller);
        let exchange = Box::pin(exchange);
        self.attempts.push(Running { order, since: BootClock.now(), exchange });
    }

    fn cancel(&mut self, attempt: AttemptId) {
        self.answers.retain(|(id, _)| *id != attempt);
        let Some(at) = self.attempts.iter().position(|running| running.order.attempt == attempt)
        else {
            return;
        };
        let running = self.attempts.swap_remove(at);
        let waited = BootClock.now().since(running.since);
        if waited >= self.shared.limits.invalidate_after {
            self.shared.pool.invalidate(running.order.to);
        }
    }

    /// Moves all attempts on; returns whether one ended.
    fn poll_attempts(&mut self, cx: &mut Context<'_>) -> bool {
        let mut ended = false;
        let mut at = 0;
        while at < self.attempts.len() {
            match self.attempts[at].exchange.as_mut().poll(cx) {
                Poll::Ready(end) => {
                    let attempt = self.attempts.swap_remove(at).order.attempt;
                    self.end_attempt(attempt, end);
                    ended = true;
                }
                Poll::Pending => at += 1,
            }
        }
        ended
    }

    fn end_attempt(&mut self, attempt: AttemptId, end: AttemptEnd) {
        let event = match end {
            AttemptEnd::Answered(answer) => {
                let event = answer.event(attempt);
                self.answers.push((attempt, *answer));
                event
            }
            AttemptEnd::Failed(failure) => {
                Event::Failed { attempt, failure, replayable: !self.body_lost() }
            }
            AttemptEnd::CallerFailed(kind) => Event::CallerFailed { kind },
            AttemptEnd::CallerGone => Event::CallerGone,
            AttemptEnd::Withdrawn => return,
        };
        self.shared.event(self.call, event);
    }

    /// Whether a part of the body that is not kept has been read.
    fn body_lost(&self) -> bool {
        let kept = self.request.body.bytes.len() as u64;
        lock(self.caller).reader.consumed_bytes() > kept
    }
}
