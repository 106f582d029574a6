use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, Weak};
use std::task::{Context, Waker};
use std::time::Duration;

use async_io::Timer;

use super::lock;

/// Time between two checks of the connections.
const TICK: Duration = Duration::from_millis(20);

/// Finds connections on which a peer is waited for too long.
///
/// A connection's clock runs only while the gate waits for the peer. Progress costs one atomic
/// store and no timer; the price is that a limit is met to within one tick of 20 ms.
#[derive(Debug, Default)]
pub(crate) struct Watchdog {
    clocks: Mutex<Vec<Weak<ProgressClock>>>,
}

/// Measures how long the gate has waited for one peer.
#[derive(Debug)]
pub(crate) struct ProgressClock {
    waiting: AtomicBool,
    expired: AtomicBool,
    moved: AtomicU64,
    waker: Mutex<Option<Waker>>,
    window: Mutex<Window>,
}

/// How long a peer may be waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadTimeout {
    /// This long altogether, whatever arrives.
    Total(Duration),
    /// This long without any byte, and altogether no longer than the bytes so far take at this
    /// rate, in bytes a second.
    Progress {
        /// Longest time without a byte.
        silence: Duration,
        /// Lowest rate.
        rate: u64,
    },
    /// This long, or until all idle connections are given up.
    Idle(Duration),
    /// As long as it takes.
    Endless,
}

#[derive(Debug)]
struct Window {
    timeout: ReadTimeout,
    waited: Duration,
    silent: Duration,
    seen: u64,
}

impl Watchdog {
    /// A clock that is checked for as long as it lives.
    pub(crate) fn clock(&self) -> Arc<ProgressClock> {
        let window = Window {
            timeout: ReadTimeout::Endless,
            waited: Duration::ZERO,
            silent: Duration::ZERO,
            seen: 0,
        };
        let clock = Arc::new(ProgressClock {
            waiting: AtomicBool::new(false),
            expired: AtomicBool::new(false),
            moved: AtomicU64::new(0),
            waker: Mutex::default(),
            window: Mutex::new(window),
        });
        lock(&self.clocks).push(Arc::downgrade(&clock));
        clock
    }

    /// Gives up all connections that are idle.
    pub(crate) fn expire_idle(&self) {
        let clocks: Vec<_> = lock(&self.clocks).iter().filter_map(Weak::upgrade).collect();
        for clock in clocks {
            clock.expire_idle();
        }
    }

    /// Checks all clocks once in a while, for as long as the task lives.
    pub(crate) async fn run(&self) {
        loop {
            Timer::after(TICK).await;
            lock(&self.clocks).retain(|clock| match clock.upgrade() {
                Some(clock) => {
                    clock.check();
                    true
                }
                None => false,
            });
        }
    }
}

impl ProgressClock {
    /// Starts to measure anew.
    pub(crate) fn restart(&self, timeout: ReadTimeout) {
        let mut window = lock(&self.window);
        window.timeout = timeout;
        window.waited = Duration::ZERO;
        window.silent = Duration::ZERO;
        self.moved.store(0, Ordering::Relaxed);
        window.seen = 0;
        self.waiting.store(false, Ordering::Relaxed);
        self.expired.store(false, Ordering::Relaxed);
    }

    /// Notes that bytes have moved, so that the peer is not waited for.
    pub(crate) fn moved(&self, bytes: usize) {
        self.waiting.store(false, Ordering::Relaxed);
        self.moved.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Notes that the peer is waited for; returns whether that has taken too long.
    pub(crate) fn wait(&self, cx: &Context<'_>) -> bool {
        let mut waker = lock(&self.waker);
        match waker.as_mut() {
            Some(waker) => waker.clone_from(cx.waker()),
            None => *waker = Some(cx.waker().clone()),
        }
        drop(waker);
        self.waiting.store(true, Ordering::Relaxed);
        self.expired()
    }

    /// Whether the peer was waited for too long.
    pub(crate) fn expired(&self) -> bool {
        self.expired.load(Ordering::Relaxed)
    }

    fn check(&self) {
        if !self.waiting.load(Ordering::Relaxed) || self.expired() {
            return;
        }
        let mut window = lock(&self.window);
        if !window.advance(self.moved.load(Ordering::Relaxed)) {
            return;
        }
        drop(window);
        self.expire();
    }

    fn expire_idle(&self) {
        if matches!(lock(&self.window).timeout, ReadTimeout::Idle(_)) {
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

impl Window {
    /// Adds a tick of waiting; returns whether the time is up.
    fn advance(&mut self, moved: u64) -> bool {
        self.waited += TICK;
        self.silent = if moved == self.seen { self.silent + TICK } else { TICK };
        self.seen = moved;
        match self.timeout {
            ReadTimeout::Total(total) | ReadTimeout::Idle(total) => self.waited >= total,
            ReadTimeout::Progress { silence, rate } => {
                let allowed = silence + Duration::from_millis(moved * 1_000 / rate.max(1));
                self.silent >= silence || self.waited >= allowed
            }
            ReadTimeout::Endless => false,
        }
    }
}
