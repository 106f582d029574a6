use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// A value of two states that tasks can wait for.
#[derive(Debug, Default)]
pub(crate) struct Switch {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    on: bool,
    wakers: Vec<Waker>,
}

impl Switch {
    /// Sets the state and wakes all that wait.
    pub(crate) fn set(&self, on: bool) {
        let mut state = self.lock();
        state.on = on;
        for waker in state.wakers.drain(..) {
            waker.wake();
        }
    }

    /// The state.
    pub(crate) fn is_on(&self) -> bool {
        self.lock().on
    }

    /// Waits for a state.
    pub(crate) async fn wait(&self, on: bool) {
        poll_fn(|cx| self.poll(on, cx)).await;
    }

    /// Runs a task only while the switch is off, as if its process were stopped and continued.
    pub(crate) async fn while_off<F>(&self, task: F) -> F::Output
    where
        F: Future,
    {
        let mut task = pin!(task);
        poll_fn(|cx| {
            if self.poll(false, cx).is_pending() {
                return Poll::Pending;
            }
            task.as_mut().poll(cx)
        })
        .await
    }

    fn poll(&self, on: bool, cx: &Context<'_>) -> Poll<()> {
        let mut state = self.lock();
        if state.on == on {
            return Poll::Ready(());
        }
        state.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
