use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bay_load::AttemptOutcome;
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::LoadMessage;

/// An event of a run.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends a new request.
    NewRequest,
    /// A caller retries a refused request.
    RetryRequest { request: usize },
    /// An attempt reaches its target.
    AttemptAtTarget { attempt: usize },
    /// A target finishes an attempt.
    AttemptFinished { attempt: usize },
    /// The outcome of an attempt reaches its gate.
    ResultAtGate { attempt: usize, outcome: AttemptOutcome },
    /// A cancellation reaches the target.
    CancelAtTarget { attempt: usize },
    /// A forwarded request reaches the gate that holds the slots.
    ForwardedRequest { request: usize },
    /// The answer to a forwarded request reaches the gate of the caller.
    ForwardedAnswer { request: usize },
    /// A message reaches a gate.
    Message { to: usize, from: NodeId, message: LoadMessage },
    /// The next deadline of a gate's pool is due.
    Tick { gate: usize },
    /// A queued request picks a target again at the end of its wait.
    PickAgain { request: usize },
    /// A hedge of a slow attempt is due.
    HedgeDue { request: usize },
    /// The next targets become stragglers.
    MoveStragglers,
    /// A zone goes out of service or comes back.
    ZoneChange { zone: usize, is_in: bool },
    /// A zone change reaches a gate.
    ZoneChangeAtGate { gate: usize },
    /// A target restarts.
    ColdStart { index: usize },
    /// A gate fails.
    GateLoss { gate: usize },
    /// The other gates learn that a gate has failed.
    GateLossDetected { gate: usize },
}

/// Queue of events in the order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    heap: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
}

#[derive(Debug)]
struct Entry {
    at: Time,
    sequence: u64,
    event: Event,
}

impl Schedule {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse(Entry { at, sequence: self.last_sequence, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}
