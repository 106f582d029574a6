use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use bay_call::{Action, AttemptId, CallId, Event, RequestHead};
use bay_gate::Gate;
use bay_obs::Counters;
use bay_time::{BootClock, Clock, Time};
use bay_types::{ErrorKind, Incarnation, NodeId};
use bay_wire::{GateAddress, Item, PeerMessage};
use futures_lite::future;
use http_types::Response;

use super::admission::AdmissionControl;
use super::http_limits::HttpLimits;
use super::mailbox::Mailbox;
use super::peers::PeerSender;
use super::pool::ConnectionPool;
use crate::http1::connection::ConnectionResources;
use crate::http1::lock;
use crate::refusal::refusal_response;

/// State that all tasks of a gate share.
#[derive(Debug)]
pub(crate) struct ShellState {
    pub(crate) counters: Counters,
    pub(crate) limits: HttpLimits,
    pub(crate) resources: Arc<ConnectionResources>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) admission: Arc<AdmissionControl>,
    pub(crate) peers: PeerSender,
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    gate: Mutex<Gate>,
    /// Mailboxes of the calls in progress.
    mailboxes: Mutex<HashMap<CallId, Arc<Mailbox>>>,
    phase: AtomicU8,
    /// Wakes the timer task when the gate's next deadline moves to an earlier time.
    wake_channel: (Sender<()>, Receiver<()>),
    /// Time up to which the timer task sleeps, in nanoseconds of the boot clock.
    next_wake_at: AtomicU64,
    /// Number of reports to stewards so far.
    report_count: AtomicU64,
}

/// Phase of the gate's life up to a planned stop; the order of the variants is the order in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gate serves and is not stopping.
    Serving,
    /// The gate reports not ready and still serves.
    Draining,
    /// The gate finishes open requests and accepts no more connections.
    Closing,
}

impl ShellState {
    /// Creates the shared state of a gate that is not stopping.
    pub(crate) fn new(
        gate: Gate,
        counters: Counters,
        limits: HttpLimits,
        admission: AdmissionControl,
        peers: PeerSender,
        incarnation: Incarnation,
    ) -> ShellState {
        let resources = Arc::new(ConnectionResources::default());
        let pool = ConnectionPool::new(limits.clone(), Arc::clone(&resources));
        ShellState {
            counters,
            limits,
            resources,
            pool: Arc::new(pool),
            admission: Arc::new(admission),
            peers,
            node: gate.node(),
            incarnation,
            gate: Mutex::new(gate),
            mailboxes: Mutex::default(),
            phase: AtomicU8::new(Phase::Serving as u8),
            wake_channel: async_channel::bounded(1),
            next_wake_at: AtomicU64::new(0),
            report_count: AtomicU64::new(0),
        }
    }

    /// Calls `decide` with the locked gate, then dispatches the resulting actions.
    pub(crate) fn with_gate<F, R>(&self, decide: F) -> R
    where
        F: FnOnce(&mut Gate, Time, &mut Vec<Action>) -> R,
    {
        let mut actions = Vec::new();
        let (result, next) = {
            let mut gate = lock(&self.gate);
            let result = decide(&mut gate, BootClock.now(), &mut actions);
            (result, gate.next_deadline())
        };
        self.dispatch(actions);
        if next.is_some_and(|at| at.as_nanos() < self.next_wake_at.load(Ordering::Relaxed)) {
            // If the channel is full, a wake-up is already pending.
            let _ = self.wake_channel.0.try_send(());
        }
        result
    }

    /// Starts a call; its actions go to the mailbox.
    pub(crate) fn begin_call<H>(&self, head: &H, mailbox: &Arc<Mailbox>) -> CallId
    where
        H: RequestHead,
    {
        self.with_gate(|gate, now, actions| {
            let call = gate.begin_call(now, head, actions);
            lock(&self.mailboxes).insert(call, Arc::clone(mailbox));
            call
        })
    }

    /// Reports an event of a call to the gate.
    pub(crate) fn handle_event(&self, call: CallId, event: Event) {
        self.with_gate(|gate, now, actions| gate.handle_event(now, call, event, actions));
    }

    /// Removes the mailbox of a call that has ended.
    pub(crate) fn remove_mailbox(&self, call: CallId) {
        lock(&self.mailboxes).remove(&call);
    }

    /// Returns whether an attempt may send its first byte.
    pub(crate) fn may_send(&self, call: CallId, attempt: AttemptId) -> bool {
        lock(&self.gate).may_send(BootClock.now(), call, attempt)
    }

    /// Returns how many connections this gate may have to an attempt's target, over all requests.
    pub(crate) fn connection_cap(&self, call: CallId, attempt: AttemptId) -> usize {
        lock(&self.gate).connection_cap(call, attempt).unwrap_or(1) as usize
    }

    /// Counts a refusal by the shell and returns its response.
    pub(crate) fn record_refusal(&self, kind: ErrorKind) -> Response {
        let retry_after = lock(&self.gate).record_shell_refusal(kind);
        refusal_response(kind, retry_after)
    }

    /// Applies items that are newer than the gate's own.
    pub(crate) fn apply(&self, items: &[Item]) {
        self.with_gate(|gate, now, actions| {
            for item in items {
                gate.apply(now, item, actions);
            }
        });
    }

    /// Returns the next number in the sequence of reports to stewards.
    pub(crate) fn next_report_number(&self) -> u64 {
        self.report_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Sets the list of gates that are up.
    pub(crate) fn set_gates(&self, gates: &[GateAddress]) {
        self.with_gate(|gate, now, actions| gate.set_gates(now, gates, actions));
    }

    /// Handles a message from another gate.
    pub(crate) fn handle_peer_message(&self, from: NodeId, message: PeerMessage) {
        self.with_gate(|gate, now, actions| gate.handle_peer_message(now, from, message, actions));
    }

    /// Moves the gate's counts to the exported counters.
    pub(crate) fn publish_counts(&self) {
        let mut counts = Vec::new();
        lock(&self.gate).drain_counts(&mut counts);
        for count in counts {
            self.counters.add(count.name.as_str(), count.count);
        }
    }

    /// Returns the maximum body length of the service with this host name, in bytes; `None` if
    /// there is no such service.
    pub(crate) fn max_body(&self, host: &str) -> Option<u64> {
        lock(&self.gate).max_body(host)
    }

    /// Returns the phase of a planned stop.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Serving,
            1 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// Enters a phase of a planned stop.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Returns whether the gate accepts requests and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && lock(&self.gate).is_ready()
    }

    /// Sends messages to peers and puts the other actions into the mailboxes of their calls.
    fn dispatch(&self, actions: Vec<Action>) {
        for action in actions {
            let call = match action {
                Action::StartAttempt { call, .. }
                | Action::CancelAttempt { call, .. }
                | Action::Forward { call, .. }
                | Action::Refuse { call, .. }
                | Action::Abort { call } => call,
                Action::SendToPeer { to, ref message } => {
                    if !self.peers.send(to, message) {
                        self.counters.add("peer.unsent", 1);
                    }
                    continue;
                }
            };
            // A call that has ended has no mailbox, so its actions are dropped.
            let mailbox = lock(&self.mailboxes).get(&call).cloned();
            if let Some(mailbox) = mailbox {
                mailbox.push(action);
            }
        }
    }

    /// Runs the gate's timers until the task is dropped.
    pub(crate) async fn run_timers(&self) {
        loop {
            let now = BootClock.now();
            let deadline = self.with_gate(|gate, now, actions| {
                gate.tick(now, actions);
                let deadline = gate.next_deadline();
                let until = deadline.unwrap_or(Time::MAX);
                self.next_wake_at.store(until.as_nanos(), Ordering::Relaxed);
                deadline
            });
            let woken = async {
                // The channel is open as long as the gate lives.
                let _ = self.wake_channel.1.recv().await;
            };
            match deadline {
                Some(at) => {
                    let sleep = async {
                        Timer::after(at.since(now)).await;
                    };
                    future::or(sleep, woken).await;
                }
                None => woken.await,
            }
        }
    }
}
