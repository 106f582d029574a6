use std::collections::VecDeque;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

use bay_call::Action;

use crate::http1::lock;

/// Queue of the gate's actions for the task that serves a request.
#[derive(Debug, Default)]
pub(crate) struct Mailbox {
    state: Mutex<MailboxState>,
}

#[derive(Debug, Default)]
struct MailboxState {
    actions: VecDeque<Action>,
    waker: Option<Waker>,
}

impl Mailbox {
    /// Adds an action and wakes the task.
    pub(crate) fn push(&self, action: Action) {
        let mut state = lock(&self.state);
        state.actions.push_back(action);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
    }

    /// Removes the next action and the waker: the task that calls this is running and needs no
    /// wake-up.
    pub(crate) fn pop(&self) -> Option<Action> {
        let mut state = lock(&self.state);
        state.waker = None;
        state.actions.pop_front()
    }

    /// Registers the task to be woken; returns whether there is already an action.
    pub(crate) fn register_waker(&self, cx: &Context<'_>) -> bool {
        let mut state = lock(&self.state);
        if !state.actions.is_empty() {
            return true;
        }
        state.waker = Some(cx.waker().clone());
        false
    }

    /// Completes when the gate aborts the call. Discards other actions, which come too late once a
    /// response is being forwarded.
    pub(crate) fn poll_abort(&self, cx: &Context<'_>) -> Poll<()> {
        loop {
            while let Some(action) = self.pop() {
                if matches!(action, Action::Abort { .. }) {
                    return Poll::Ready(());
                }
            }
            if !self.register_waker(cx) {
                return Poll::Pending;
            }
        }
    }

    /// Discards the actions of a request that has ended.
    pub(crate) fn clear(&self) {
        let mut state = lock(&self.state);
        state.actions.clear();
        state.waker = None;
    }
}
