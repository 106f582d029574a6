use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Waker};
use std::time::Duration;

use async_io::Timer;

use super::lock;

/// Time between two checks of the connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Finds connections on which a peer is waited for too long.
///
/// A connection's timer runs only while the gate waits for the peer. Progress costs one atomic
/// store and no timer; the price is that a limit is met to within one tick of 20 ms.
#[derive(Debug, Default)]
pub(crate) struct Watchdog {
    timers: Mutex<Vec<Weak<PeerTimer>>>,
}

/// Measures how long the gate has waited for one peer.
#[derive(Debug)]
pub(crate) struct PeerTimer {
    waiting: AtomicBool,
    expired: AtomicBool,
    moved_bytes: AtomicU64,
    waker: Mutex<Option<Waker>>,
    wait_state: Mutex<WaitState>,
}

/// How long a peer may be waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IoTimeout {
    /// This long altogether, whatever arrives.
    Total(Duration),
    /// This long without any byte, and altogether no longer than the bytes so far take at this
    /// rate, in bytes a second.
    Progress {
        /// Longest time without a byte.
        max_silence: Duration,
        /// Lowest rate.
        min_rate: u64,
    },
    /// This long, or until all idle connections are given up.
    Idle(Duration),
    /// As long as it takes.
    Unlimited,
}

#[derive(Debug)]
struct WaitState {
    timeout: IoTimeout,
    waited_for: Duration,
    silent_for: Duration,
    seen_bytes: u64,
}

impl Watchdog {
    /// A timer that is checked for as long as it lives.
    pub(crate) fn new_timer(&self) -> Arc<PeerTimer> {
        let wait_state = WaitState {
            timeout: IoTimeout::Unlimited,
            waited_for: Duration::ZERO,
            silent_for: Duration::ZERO,
            seen_bytes: 0,
        };
        let timer = Arc::new(PeerTimer {
            waiting: AtomicBool::new(false),
            expired: AtomicBool::new(false),
            moved_bytes: AtomicU64::new(0),
            waker: Mutex::default(),
            wait_state: Mutex::new(wait_state),
        });
        lock(&self.timers).push(Arc::downgrade(&timer));
        timer
    }

    /// Gives up all connections that are idle.
    pub(crate) fn expire_idle(&self) {
        let timers: Vec<_> = lock(&self.timers).iter().filter_map(Weak::upgrade).collect();
        for timer in timers {
            timer.expire_idle();
        }
    }

    /// Checks all timers once in a while, for as long as the task lives.
    pub(crate) async fn run(&self) {
        loop {
            Timer::after(CHECK_INTERVAL).await;
            lock(&self.timers).retain(|timer| match timer.upgrade() {
                Some(timer) => {
                    timer.check_timeout();
                    true
                }
                None => false,
            });
        }
    }
}

impl PeerTimer {
    /// Starts to measure anew.
    pub(crate) fn restart(&self, timeout: IoTimeout) {
        let mut wait_state = lock(&self.wait_state);
        wait_state.timeout = timeout;
        wait_state.waited_for = Duration::ZERO;
        wait_state.silent_for = Duration::ZERO;
        self.moved_bytes.store(0, Ordering::Relaxed);
        wait_state.seen_bytes = 0;
        self.waiting.store(false, Ordering::Relaxed);
        self.expired.store(false, Ordering::Relaxed);
    }

    /// Notes that bytes have moved, so that the peer is not waited for.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.waiting.store(false, Ordering::Relaxed);
        self.moved_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Notes that the peer is waited for; returns whether that has taken too long.
    pub(crate) fn start_wait(&self, cx: &Context<'_>) -> bool {
        let mut waker = lock(&self.waker);
        match waker.as_mut() {
            Some(waker) => waker.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        drop(waker);
        self.waiting.store(true, Ordering::Relaxed);
        self.has_expired()
    }

    /// Whether the peer was waited for too long.
    pub(crate) fn has_expired(&self) -> bool {
        self.expired.load(Ordering::Relaxed)
    }

    fn check_timeout(&self) {
        if !self.waiting.load(Ordering::Relaxed) || self.has_expired() {
            return;
        }
        let mut wait_state = lock(&self.wait_state);
        if !wait_state.advance(self.moved_bytes.load(Ordering::Relaxed)) {
            return;
        }
        drop(wait_state);
        self.expire();
    }

    fn expire_idle(&self) {
        if matches!(lock(&self.wait_state).timeout, IoTimeout::Idle(_)) {
            self.expire();
        }
    }

    fn expire(&self) {
        self.expired.store(true, Ordering::Relaxed);
        if let Some(waker) = lock(&self.waker).take() {
            waker.wake();
        }
    }
}

impl WaitState {
    /// Adds a tick of waiting; returns whether the time is up.
    fn advance(&mut self, moved_bytes: u64) -> bool {
        self.waited_for += CHECK_INTERVAL;
        self.silent_for = if moved_bytes == self.seen_bytes {
            self.silent_for + CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.seen_bytes = moved_bytes;
        match self.timeout {
            IoTimeout::Total(total) | IoTimeout::Idle(total) => self.waited_for >= total,
            IoTimeout::Progress { max_silence, min_rate } => {
                let allowed =
                    max_silence + Duration::from_millis(moved_bytes * 1_000 / min_rate.max(1));
                self.silent_for >= max_silence || self.waited_for >= allowed
            }
            IoTimeout::Unlimited => false,
        }
    }
}
