use std::collections::VecDeque;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};

use bay_call::Action;

use crate::http1::lock;

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

    /// Takes the next action; the task does not have to be woken until it waits again.
    pub(crate) fn pop(&self) -> Option<Action> {
        let mut state = lock(&self.state);
        state.waker = None;
        state.actions.pop_front()
    }

    /// Remembers whom to wake; returns whether there is an action already.
    pub(crate) fn register_waker(&self, cx: &Context<'_>) -> bool {
        let mut state = lock(&self.state);
        if !state.actions.is_empty() {
            return true;
        }
        state.waker = Some(cx.waker().clone());
        false
    }

    /// Completes when the gate breaks the answer off; other actions come too late and are dropped.
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

    /// Drops what a request that has ended left behind.
    pub(crate) fn clear(&self) {
        let mut state = lock(&self.state);
        state.actions.clear();
        state.waker = None;
    }
}
