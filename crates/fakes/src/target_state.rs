use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::Task;
use bay_time::{BootClock, Clock, Time};

use crate::switch::Switch;
use crate::target_connection::TargetRequest;
use crate::{LoadReporting, OwnerServer, ResponseFault, TargetOptions};

/// How far back a late load report can look, in readings.
const MAX_READINGS: usize = 10_000;

/// What a target's tasks and its handle have in common.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) options: TargetOptions,
    pub(crate) owner: Mutex<OwnerServer>,
    pub(crate) frozen: Switch,
    pub(crate) down: Switch,
    pub(crate) crashed: Switch,
    pub(crate) connections: Mutex<Vec<Task<()>>>,
    pub(crate) counts: Mutex<TargetCounts>,
    pub(crate) fault: Mutex<Option<ResponseFault>>,
    running: AtomicU32,
    started: AtomicU64,
    readings: Mutex<VecDeque<(Time, u32)>>,
}

/// What a target has seen since it was bound.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TargetCounts {
    /// Connections accepted.
    pub connections: u32,
    /// How often each request was begun, by its `idempotency-key` or else its path.
    pub runs: BTreeMap<String, u32>,
    /// Requests that ran to their end.
    pub finished: u32,
    /// Requests given up because the gate closed the connection.
    pub cancelled: u32,
    /// Requests given up because their deadline had passed.
    pub expired: u32,
    /// Requests that broke off before the target had them whole.
    pub truncated: u32,
    /// Requests refused because they were too many.
    pub refused: u32,
    /// Crashes.
    pub crashes: u32,
    /// Most requests that ran at once.
    pub peak_running: u32,
    /// Bytes of bodies received whole.
    pub body_bytes: u64,
}

/// Holds one of the target's slots.
#[derive(Debug)]
pub(crate) struct Slot {
    state: Arc<TargetState>,
}

/// Why a target does not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Busy {
    /// All slots are taken.
    Shed,
    /// The target is in a cold start, and says so.
    Cold,
    /// The load crashes the target.
    Crash,
}

impl TargetState {
    /// The state of a target that has just started.
    pub(crate) fn new(options: TargetOptions) -> TargetState {
        let now = BootClock.now();
        let owner = Mutex::new(OwnerServer::new(now.as_nanos(), options.fenced));
        TargetState {
            fault: Mutex::new(options.fault),
            options,
            owner,
            frozen: Switch::default(),
            down: Switch::default(),
            crashed: Switch::default(),
            connections: Mutex::default(),
            counts: Mutex::default(),
            running: AtomicU32::new(0),
            started: AtomicU64::new(now.as_nanos()),
            readings: Mutex::default(),
        }
    }

    /// Forgets everything that a process would lose.
    pub(crate) fn restart(&self) {
        let now = BootClock.now();
        *lock(&self.owner) = OwnerServer::new(now.as_nanos(), self.options.fenced);
        self.started.store(now.as_nanos(), Ordering::Relaxed);
    }

    /// Takes a slot.
    ///
    /// # Errors
    /// Returns why there is none.
    pub(crate) fn take_slot(self: &Arc<TargetState>) -> Result<Slot, Busy> {
        let cold = self.options.cold_start.filter(|_| self.is_cold());
        let most = cold.map_or(self.options.slots, |cold| cold.slots);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        let slot = Slot { state: Arc::clone(self) };
        if cold.and_then(|cold| cold.crash_threshold).is_some_and(|at| running >= at) {
            return Err(Busy::Crash);
        }
        if running > most {
            lock(&self.counts).refused += 1;
            let announced = cold.is_some_and(|cold| cold.is_announced);
            return Err(if announced { Busy::Cold } else { Busy::Shed });
        }
        let mut counts = lock(&self.counts);
        counts.peak_running = counts.peak_running.max(running);
        drop(counts);
        self.read_load();
        Ok(slot)
    }

    /// Time that a request takes at this moment.
    pub(crate) fn service_time(&self) -> Duration {
        let cold = self.options.cold_start.filter(|_| self.is_cold());
        self.options.service_time * cold.map_or(1, |cold| cold.slowdown)
    }

    fn is_cold(&self) -> bool {
        let age = BootClock.now().since(Time::from_nanos(self.started.load(Ordering::Relaxed)));
        self.options.cold_start.is_some_and(|cold| age < cold.duration)
    }

    /// Counts a request's start.
    pub(crate) fn begin(&self, req: &TargetRequest, body_bytes: u64) {
        let id = req.header("idempotency-key").unwrap_or(&req.path);
        let mut counts = lock(&self.counts);
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        counts.body_bytes += body_bytes;
    }

    /// The `bay-load` header's value, if the target gives one.
    pub(crate) fn report(&self) -> Option<String> {
        let running = match self.options.load_reporting {
            LoadReporting::Accurate => self.running.load(Ordering::Relaxed),
            LoadReporting::Delayed(age) => self.load_before(age),
            LoadReporting::Idle => 0,
            LoadReporting::Missing => return None,
        };
        Some(format!("{running}/{}", self.options.slots))
    }

    fn load_before(&self, age: Duration) -> u32 {
        let then = BootClock.now() - age;
        let readings = lock(&self.readings);
        readings.iter().rev().find(|(at, _)| *at <= then).map_or(0, |(_, running)| *running)
    }

    fn read_load(&self) {
        let mut readings = lock(&self.readings);
        if readings.len() == MAX_READINGS {
            readings.pop_front();
        }
        readings.push_back((BootClock.now(), self.running.load(Ordering::Relaxed)));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        self.state.read_load();
    }
}

/// Locks a mutex, also after a panic elsewhere.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
