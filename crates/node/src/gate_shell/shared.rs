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

use super::admission::Admission;
use super::http_limits::HttpLimits;
use super::mailbox::Mailbox;
use super::peers::PeerSender;
use super::pool::ConnectionPool;
use crate::http1::connection::ConnectionResources;
use crate::http1::lock;
use crate::refusal::refusal_response;

/// What all tasks of a gate have in common.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) counters: Counters,
    pub(crate) limits: HttpLimits,
    pub(crate) resources: Arc<ConnectionResources>,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) admission: Arc<Admission>,
    pub(crate) peers: PeerSender,
    pub(crate) node: NodeId,
    pub(crate) incarnation: Incarnation,
    gate: Mutex<Gate>,
    mailboxes: Mutex<HashMap<CallId, Arc<Mailbox>>>,
    phase: AtomicU8,
    wake: (Sender<()>, Receiver<()>),
    wake_at: AtomicU64,
    report_count: AtomicU64,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The gate serves.
    Serving,
    /// The gate says that it is not ready, and serves.
    Draining,
    /// The gate finishes what it has.
    Closing,
}

impl Shared {
    /// What the tasks of a gate share.
    pub(crate) fn new(
        gate: Gate,
        counters: Counters,
        limits: HttpLimits,
        admission: Admission,
        peers: PeerSender,
        incarnation: Incarnation,
    ) -> Shared {
        let resources = Arc::new(ConnectionResources::default());
        let pool = ConnectionPool::new(limits.clone(), Arc::clone(&resources));
        Shared {
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
            wake: async_channel::bounded(1),
            wake_at: AtomicU64::new(0),
            report_count: AtomicU64::new(0),
        }
    }

    /// Lets the gate decide about something, and does what it asks for.
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
        if next.is_some_and(|at| at.as_nanos() < self.wake_at.load(Ordering::Relaxed)) {
            // A full channel means that a wake-up is already under way.
            let _ = self.wake.0.try_send(());
        }
        result
    }

    /// Takes a request; its actions go to the mailbox.
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

    /// Tells the gate what happened to a request.
    pub(crate) fn handle_event(&self, call: CallId, event: Event) {
        self.with_gate(|gate, now, actions| gate.handle_event(now, call, event, actions));
    }

    /// Forgets a request that has ended.
    pub(crate) fn forget_call(&self, call: CallId) {
        lock(&self.mailboxes).remove(&call);
    }

    /// Whether an attempt may hand its first byte to a connection.
    pub(crate) fn may_send(&self, call: CallId, attempt: AttemptId) -> bool {
        lock(&self.gate).may_send(BootClock.now(), call, attempt)
    }

    /// How many connections this gate may have to an attempt's target, over all requests.
    pub(crate) fn connection_cap(&self, call: CallId, attempt: AttemptId) -> usize {
        lock(&self.gate).connection_cap(call, attempt).unwrap_or(1) as usize
    }

    /// Counts a refusal of the shell's own and makes its answer.
    pub(crate) fn record_refusal(&self, kind: ErrorKind) -> Response {
        let retry_after = lock(&self.gate).record_shell_refusal(kind);
        refusal_response(kind, retry_after)
    }

    /// Takes items that are newer than what the gate has.
    pub(crate) fn apply(&self, items: &[Item]) {
        self.with_gate(|gate, now, actions| {
            for item in items {
                gate.apply(now, item, actions);
            }
        });
    }

    /// Numbers the reports to stewards.
    pub(crate) fn next_report_number(&self) -> u64 {
        self.report_count.fetch_add(1, Ordering::Relaxed)
    }

    /// Takes the list of the gates that are up.
    pub(crate) fn set_gates(&self, gates: &[GateAddress]) {
        self.with_gate(|gate, now, actions| gate.set_gates(now, gates, actions));
    }

    /// Takes a datagram of another gate.
    pub(crate) fn handle_peer_message(&self, from: NodeId, message: PeerMessage) {
        self.with_gate(|gate, now, actions| gate.handle_peer_message(now, from, message, actions));
    }

    /// Passes what the gate has counted on to the counters.
    pub(crate) fn publish_counts(&self) {
        let mut counts = Vec::new();
        lock(&self.gate).drain_counts(&mut counts);
        for count in counts {
            self.counters.add(count.name.as_str(), count.count);
        }
    }

    /// Longest body that the service with this host name takes, in bytes; `None` if there is none.
    pub(crate) fn max_body(&self, host: &str) -> Option<u64> {
        lock(&self.gate).max_body(host)
    }

    /// How far a planned stop has come.
    pub(crate) fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Relaxed) {
            0 => Phase::Serving,
            1 => Phase::Draining,
            _ => Phase::Closing,
        }
    }

    /// Goes on with a planned stop.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
    }

    /// Whether the gate takes requests and says so.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == Phase::Serving && lock(&self.gate).is_ready()
    }

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
            // A request that has ended takes no more actions.
            let mailbox = lock(&self.mailboxes).get(&call).cloned();
            if let Some(mailbox) = mailbox {
                mailbox.push(action);
            }
        }
    }

    /// Does what is due, for as long as the task lives.
    pub(crate) async fn run_timers(&self) {
        loop {
            let now = BootClock.now();
            let deadline = self.with_gate(|gate, now, actions| {
                gate.tick(now, actions);
                let deadline = gate.next_deadline();
                let until = deadline.unwrap_or(Time::MAX);
                self.wake_at.store(until.as_nanos(), Ordering::Relaxed);
                deadline
            });
            let woken = async {
                // The channel lives as long as the gate.
                let _ = self.wake.1.recv().await;
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
