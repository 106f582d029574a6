use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};
use std::time::Duration;

use bay_call::{Action, AttemptFailure, AttemptId, CallId, Event};
use bay_time::{BootClock, Clock, Time};
use bay_types::ErrorKind;

use super::attempt::{AttemptResult, AttemptSpec, OutgoingRequest, run_attempt};
use super::caller_connection::{CallerConnection, poll_closed};
use super::mailbox::Mailbox;
use super::shell_state::ShellState;
use super::target_response::TargetResponse;
use crate::http1::lock;

/// Runs the attempts of one request until the gate decides the response.
pub(crate) struct CallTask<'a> {
    shared: &'a ShellState,
    call: CallId,
    mailbox: &'a Mailbox,
    request: &'a OutgoingRequest,
    caller: &'a Mutex<CallerConnection>,
    attempts: Vec<RunningAttempt<'a>>,
    /// Responses of which the gate has not decided yet whether to forward them.
    responses: Vec<(AttemptId, TargetResponse)>,
}

struct RunningAttempt<'a> {
    spec: AttemptSpec,
    started_at: Time,
    exchange: Pin<Box<dyn Future<Output = AttemptResult> + Send + 'a>>,
}

/// Result of a request's attempts.
#[derive(Debug)]
pub(crate) enum CallResult {
    /// The caller gets this response of a target.
    Forward(AttemptId, Box<TargetResponse>),
    /// The caller gets an error of the gate.
    Refuse {
        /// Kind of error.
        kind: ErrorKind,
        /// Delay after which the caller may retry.
        retry_after: Option<Duration>,
    },
    /// The caller gets no response: it closed the connection or the gate aborted the call.
    NoResponse,
}

impl fmt::Debug for CallTask<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CallTask").field("call", &self.call).finish_non_exhaustive()
    }
}

impl<'a> CallTask<'a> {
    /// Creates the task of a call, without attempts.
    pub(crate) fn new(
        shared: &'a ShellState,
        call: CallId,
        mailbox: &'a Mailbox,
        request: &'a OutgoingRequest,
        caller: &'a Mutex<CallerConnection>,
    ) -> CallTask<'a> {
        CallTask {
            shared,
            call,
            mailbox,
            request,
            caller,
            attempts: Vec::new(),
            responses: Vec::new(),
        }
    }

    /// Executes the gate's actions and polls the attempts until the gate decides the response.
    pub(crate) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<CallResult> {
        loop {
            while let Some(action) = self.mailbox.pop() {
                if let Some(result) = self.apply_action(action) {
                    return Poll::Ready(result);
                }
            }
            if !self.poll_attempts(cx) && !self.mailbox.register_waker(cx) {
                break;
            }
        }
        if poll_closed(self.caller, cx).is_ready() {
            self.shared.handle_event(self.call, Event::CallerGone);
            return Poll::Ready(CallResult::NoResponse);
        }
        Poll::Pending
    }

    fn apply_action(&mut self, action: Action) -> Option<CallResult> {
        match action {
            Action::StartAttempt { call, attempt, to, grant, time_left, fresh } => {
                self.start_attempt(AttemptSpec { call, attempt, to, grant, time_left, fresh });
                None
            }
            Action::CancelAttempt { attempt, .. } => {
                self.cancel_attempt(attempt);
                None
            }
            Action::Forward { attempt, .. } => {
                let at = self.responses.iter().position(|(id, _)| *id == attempt)?;
                let (_, response) = self.responses.swap_remove(at);
                Some(CallResult::Forward(attempt, Box::new(response)))
            }
            Action::Refuse { kind, retry_after, .. } => {
                Some(CallResult::Refuse { kind, retry_after })
            }
            Action::Abort { .. } => Some(CallResult::NoResponse),
            // Messages to peers are sent directly and never reach a mailbox.
            Action::SendToPeer { .. } => None,
        }
    }

    fn start_attempt(&mut self, spec: AttemptSpec) {
        let attempt = spec.attempt;
        let is_streamed = self.request.body.has_more;
        if is_streamed && (self.has_read_past_prefix() || !self.attempts.is_empty()) {
            // The part of the body beyond the prefix can be sent only once.
            let failure = AttemptFailure::NotConnected;
            let event = Event::Failed { attempt, failure, replayable: false };
            return self.shared.handle_event(self.call, event);
        }
        let exchange = run_attempt(self.shared, spec, self.request, self.caller);
        let exchange = Box::pin(exchange);
        self.attempts.push(RunningAttempt { spec, started_at: BootClock.now(), exchange });
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        self.responses.retain(|(id, _)| *id != attempt);
        let Some(at) = self.attempts.iter().position(|running| running.spec.attempt == attempt)
        else {
            return;
        };
        let running = self.attempts.swap_remove(at);
        let waited = BootClock.now().since(running.started_at);
        if waited >= self.shared.limits.invalidate_after {
            self.shared.pool.invalidate(running.spec.to);
        }
    }

    /// Polls all attempts; returns whether any has finished.
    fn poll_attempts(&mut self, cx: &mut Context<'_>) -> bool {
        let mut has_finished = false;
        let mut at = 0;
        while at < self.attempts.len() {
            match self.attempts[at].exchange.as_mut().poll(cx) {
                Poll::Ready(result) => {
                    let attempt = self.attempts.swap_remove(at).spec.attempt;
                    self.finish_attempt(attempt, result);
                    has_finished = true;
                }
                Poll::Pending => at += 1,
            }
        }
        has_finished
    }

    fn finish_attempt(&mut self, attempt: AttemptId, result: AttemptResult) {
        let event = match result {
            AttemptResult::Response(response) => {
                let event = response.to_event(attempt);
                self.responses.push((attempt, *response));
                event
            }
            AttemptResult::Failed(failure) => {
                Event::Failed { attempt, failure, replayable: !self.has_read_past_prefix() }
            }
            AttemptResult::CallerFailed(kind) => Event::CallerFailed { kind },
            AttemptResult::CallerGone => Event::CallerGone,
            AttemptResult::Withdrawn => return,
        };
        self.shared.handle_event(self.call, event);
    }

    /// Returns whether body bytes beyond the prefix were read, which cannot be sent again.
    fn has_read_past_prefix(&self) -> bool {
        let prefix_len = self.request.body.bytes.len() as u64;
        lock(self.caller).reader.consumed_bytes() > prefix_len
    }
}
