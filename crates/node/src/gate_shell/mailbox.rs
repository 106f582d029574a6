use std::collections::VecDeque;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

use bay_call::Action;

use super::lock;

/// Carries the gate's actions to the task that serves a request.
#[derive(Debug, Default)]
pub(crate) struct Mailbox {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
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

    /// Takes the next action, or remembers whom to wake.
    pub(crate) fn pop(&self, cx: &Context<'_>) -> Option<Action> {
        let mut state = lock(&self.state);
        let action = state.actions.pop_front();
        if action.is_none() {
            state.waker = Some(cx.waker().clone());
        }
        action
    }

    /// Completes when the gate breaks the answer off; other actions come too late and are dropped.
    pub(crate) fn poll_abort(&self, cx: &Context<'_>) -> Poll<()> {
        while let Some(action) = self.pop(cx) {
            if matches!(action, Action::Abort { .. }) {
                return Poll::Ready(());
            }
        }
        Poll::Pending
    }

    /// Drops what a request that has ended left behind.
    pub(crate) fn clear(&self) {
        let mut state = lock(&self.state);
        state.actions.clear();
        state.waker = None;
    }
}
