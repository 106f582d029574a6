use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::Task;
use bay_time::{BootClock, Clock, Time};

use crate::switch::Switch;
use crate::target_connection::TargetRequest;
use crate::{LoadReporting, OwnerServer, ResponseFault, TargetOptions};

/// Limit of kept load samples, which bounds the age of a delayed load report.
const MAX_LOAD_SAMPLES: usize = 10_000;

/// State that the tasks of a target share with its handle.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) options: TargetOptions,
    pub(crate) owner: Mutex<OwnerServer>,
    pub(crate) freeze_switch: Switch,
    pub(crate) down_switch: Switch,
    pub(crate) crash_switch: Switch,
    pub(crate) connections: Mutex<Vec<Task<()>>>,
    pub(crate) counts: Mutex<TargetCounts>,
    pub(crate) fault: Mutex<Option<ResponseFault>>,
    running_count: AtomicU32,
    /// Start of the target in nanoseconds of `BootClock`.
    started_at: AtomicU64,
    /// Running requests at each start and end of a run.
    load_samples: Mutex<VecDeque<(Time, u32)>>,
}

/// Counts of a target since it was bound, over all restarts.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct TargetCounts {
    /// Accepted connections.
    pub connections: u32,
    /// Started runs of each request, by its `idempotency-key` or else its path.
    pub runs: BTreeMap<String, u32>,
    /// Requests that ran to completion.
    pub finished: u32,
    /// Requests abandoned because the gate closed the connection.
    pub cancelled: u32,
    /// Requests abandoned because their deadline passed.
    pub expired: u32,
    /// Requests whose body was invalid or ended early.
    pub truncated: u32,
    /// Requests refused because every slot was taken.
    pub refused: u32,
    /// Crashes that didn't end the process.
    pub crashes: u32,
    /// Highest number of requests that ran at once.
    pub peak_running: u32,
    /// Total bytes of the complete request bodies.
    pub body_bytes: u64,
}

/// A slot of a target, released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    state: Arc<TargetState>,
}

/// Reason for which a target has no slot for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SlotRefusal {
    /// Every slot is taken.
    Shed,
    /// Every slot of an announced cold start is taken.
    Cold,
    /// The load of the cold start crashes the target.
    Crash,
}

impl TargetState {
    /// Creates the state of a target that has just started.
    pub(crate) fn new(options: TargetOptions) -> TargetState {
        let now = BootClock.now();
        let owner = Mutex::new(OwnerServer::new(now.as_nanos(), options.fenced));
        TargetState {
            fault: Mutex::new(options.fault),
            options,
            owner,
            freeze_switch: Switch::default(),
            down_switch: Switch::default(),
            crash_switch: Switch::default(),
            connections: Mutex::default(),
            counts: Mutex::default(),
            running_count: AtomicU32::new(0),
            started_at: AtomicU64::new(now.as_nanos()),
            load_samples: Mutex::default(),
        }
    }

    /// Resets what a restarted process loses: its slices, its lease and its warm-up.
    pub(crate) fn restart(&self) {
        let now = BootClock.now();
        *lock(&self.owner) = OwnerServer::new(now.as_nanos(), self.options.fenced);
        self.started_at.store(now.as_nanos(), Ordering::Relaxed);
    }

    /// Acquires a slot.
    ///
    /// # Errors
    /// Returns the reason if no slot is free or the load crashes the target.
    pub(crate) fn acquire_slot(self: &Arc<TargetState>) -> Result<Slot, SlotRefusal> {
        let cold = self.options.cold_start.filter(|_| self.is_cold());
        let max_running = cold.map_or(self.options.slots, |cold| cold.slots);
        let running = self.running_count.fetch_add(1, Ordering::Relaxed) + 1;
        let slot = Slot { state: Arc::clone(self) };
        if cold.and_then(|cold| cold.crash_threshold).is_some_and(|at| running >= at) {
            return Err(SlotRefusal::Crash);
        }
        if running > max_running {
            lock(&self.counts).refused += 1;
            let announced = cold.is_some_and(|cold| cold.is_announced);
            return Err(if announced { SlotRefusal::Cold } else { SlotRefusal::Shed });
        }
        let mut counts = lock(&self.counts);
        counts.peak_running = counts.peak_running.max(running);
        drop(counts);
        self.record_load();
        Ok(slot)
    }

    /// Returns the current service time of a request.
    pub(crate) fn service_time(&self) -> Duration {
        let cold = self.options.cold_start.filter(|_| self.is_cold());
        self.options.service_time * cold.map_or(1, |cold| cold.slowdown)
    }

    fn is_cold(&self) -> bool {
        let age = BootClock.now().since(Time::from_nanos(self.started_at.load(Ordering::Relaxed)));
        self.options.cold_start.is_some_and(|cold| age < cold.duration)
    }

    /// Counts the start of a run and its body bytes.
    pub(crate) fn record_start(&self, req: &TargetRequest, body_bytes: u64) {
        let id = req.header("idempotency-key").unwrap_or(&req.path);
        let mut counts = lock(&self.counts);
        *counts.runs.entry(id.to_owned()).or_default() += 1;
        counts.body_bytes += body_bytes;
    }

    /// Returns the value of the `bay-load` header, or `None` if load reports are missing.
    pub(crate) fn load_report(&self) -> Option<String> {
        let running = match self.options.load_reporting {
            LoadReporting::Accurate => self.running_count.load(Ordering::Relaxed),
            LoadReporting::Delayed(age) => self.past_load(age),
            LoadReporting::Idle => 0,
            LoadReporting::Missing => return None,
        };
        Some(format!("{running}/{}", self.options.slots))
    }

    fn past_load(&self, age: Duration) -> u32 {
        let then = BootClock.now() - age;
        let load_samples = lock(&self.load_samples);
        load_samples.iter().rev().find(|(at, _)| *at <= then).map_or(0, |(_, running)| *running)
    }

    fn record_load(&self) {
        let mut load_samples = lock(&self.load_samples);
        if load_samples.len() == MAX_LOAD_SAMPLES {
            load_samples.pop_front();
        }
        load_samples.push_back((BootClock.now(), self.running_count.load(Ordering::Relaxed)));
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.state.running_count.fetch_sub(1, Ordering::Relaxed);
        self.state.record_load();
    }
}

/// Locks a mutex, also if a panic has poisoned it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
