use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Waker};
use std::time::Duration;

use async_io::Timer;

use super::lock;

/// Interval between checks of all connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Times out connections whose peers are too slow.
///
/// A connection's timer runs only while the process waits for the peer. Progress costs a few atomic
/// operations and no system timer; in return a timeout may expire up to one check interval (20 ms)
/// late.
#[derive(Debug, Default)]
pub(crate) struct Watchdog {
    timers: Mutex<Vec<Weak<PeerTimer>>>,
}

/// Measures how long a connection has waited for its peer.
#[derive(Debug)]
pub(crate) struct PeerTimer {
    is_waiting: AtomicBool,
    is_expired: AtomicBool,
    transferred_bytes: AtomicU64,
    waker: Mutex<Option<Waker>>,
    wait_state: Mutex<WaitState>,
}

/// Limit on the time spent waiting for a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IoTimeout {
    /// Total waiting time, regardless of progress.
    Total(Duration),
    /// Limit on the time without progress and on the average rate.
    Progress {
        /// Maximum time without a byte. The average rate only counts after this time.
        max_silence: Duration,
        /// Minimum average rate, in bytes per second.
        min_rate: u64,
    },
    /// Like `Total`, and expires early when all idle connections are expired.
    Idle(Duration),
    /// No limit.
    Unlimited,
}

/// Timeout of a connection and the waiting measured since it was set.
#[derive(Debug)]
struct WaitState {
    timeout: IoTimeout,
    total_wait: Duration,
    current_silence: Duration,
    seen_bytes: u64,
}

impl Watchdog {
    /// Creates a timer, without a timeout, that is checked until it is dropped.
    pub(crate) fn new_timer(&self) -> Arc<PeerTimer> {
        let wait_state = WaitState {
            timeout: IoTimeout::Unlimited,
            total_wait: Duration::ZERO,
            current_silence: Duration::ZERO,
            seen_bytes: 0,
        };
        let timer = Arc::new(PeerTimer {
            is_waiting: AtomicBool::new(false),
            is_expired: AtomicBool::new(false),
            transferred_bytes: AtomicU64::new(0),
            waker: Mutex::default(),
            wait_state: Mutex::new(wait_state),
        });
        lock(&self.timers).push(Arc::downgrade(&timer));
        timer
    }

    /// Expires all timers whose timeout is [`IoTimeout::Idle`].
    pub(crate) fn expire_idle(&self) {
        let timers: Vec<_> = lock(&self.timers).iter().filter_map(Weak::upgrade).collect();
        for timer in timers {
            timer.expire_idle();
        }
    }

    /// Checks all timers at a fixed interval, until the task is dropped.
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
    /// Resets the measurement and sets a timeout.
    pub(crate) fn restart(&self, timeout: IoTimeout) {
        let mut wait_state = lock(&self.wait_state);
        wait_state.timeout = timeout;
        wait_state.total_wait = Duration::ZERO;
        wait_state.current_silence = Duration::ZERO;
        self.transferred_bytes.store(0, Ordering::Relaxed);
        wait_state.seen_bytes = 0;
        self.is_waiting.store(false, Ordering::Relaxed);
        self.is_expired.store(false, Ordering::Relaxed);
    }

    /// Records that bytes were read or written, which ends the wait for the peer.
    pub(crate) fn record_progress(&self, bytes: usize) {
        self.is_waiting.store(false, Ordering::Relaxed);
        self.transferred_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Records that the connection waits for its peer; returns whether the timeout has expired.
    pub(crate) fn start_wait(&self, cx: &Context<'_>) -> bool {
        let mut waker = lock(&self.waker);
        match waker.as_mut() {
            Some(waker) => waker.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        drop(waker);
        self.is_waiting.store(true, Ordering::Relaxed);
        self.has_expired()
    }

    /// Returns whether the timeout has expired.
    pub(crate) fn has_expired(&self) -> bool {
        self.is_expired.load(Ordering::Relaxed)
    }

    fn check_timeout(&self) {
        if !self.is_waiting.load(Ordering::Relaxed) || self.has_expired() {
            return;
        }
        let mut wait_state = lock(&self.wait_state);
        if !wait_state.advance(self.transferred_bytes.load(Ordering::Relaxed)) {
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
        self.is_expired.store(true, Ordering::Relaxed);
        if let Some(waker) = lock(&self.waker).take() {
            waker.wake();
        }
    }
}

impl WaitState {
    /// Adds one check interval of waiting; returns whether the timeout has expired.
    fn advance(&mut self, transferred_bytes: u64) -> bool {
        self.total_wait += CHECK_INTERVAL;
        self.current_silence = if transferred_bytes == self.seen_bytes {
            self.current_silence + CHECK_INTERVAL
        } else {
            CHECK_INTERVAL
        };
        self.seen_bytes = transferred_bytes;
        match self.timeout {
            IoTimeout::Total(total) | IoTimeout::Idle(total) => self.total_wait >= total,
            IoTimeout::Progress { max_silence, min_rate } => {
                let allowed = max_silence
                    + Duration::from_millis(transferred_bytes * 1_000 / min_rate.max(1));
                self.current_silence >= max_silence || self.total_wait >= allowed
            }
            IoTimeout::Unlimited => false,
        }
    }
}
