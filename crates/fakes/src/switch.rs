use std::future::{Future, poll_fn};
use std::pin::pin;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

/// A flag that tasks can wait for.
#[derive(Debug, Default)]
pub(crate) struct Switch {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    is_on: bool,
    wakers: Vec<Waker>,
}

impl Switch {
    /// Sets the state and wakes all waiting tasks.
    pub(crate) fn set(&self, on: bool) {
        let mut state = self.lock();
        state.is_on = on;
        for waker in state.wakers.drain(..) {
            waker.wake();
        }
    }

    /// Returns the state.
    pub(crate) fn is_on(&self) -> bool {
        self.lock().is_on
    }

    /// Waits until the state is `on`.
    pub(crate) async fn wait(&self, on: bool) {
        poll_fn(|cx| self.poll(on, cx)).await;
    }

    /// Polls a task only while the switch is off, as if its process were paused and resumed.
    pub(crate) async fn run_while_off<F>(&self, task: F) -> F::Output
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
        if state.is_on == on {
            return Poll::Ready(());
        }
        state.wakers.push(cx.waker().clone());
        Poll::Pending
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
