use std::cmp::Reverse;
use std::collections::BinaryHeap;

use bay_load::AttemptOutcome;
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::LoadMessage;

/// Something that happens at a time of the run.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller sends a new request.
    Arrive,
    /// A refused caller sends its request again.
    Return { request: usize },
    /// An attempt reaches its target.
    AtTarget { attempt: usize },
    /// A target has worked on an attempt.
    Finish { attempt: usize },
    /// What became of an attempt reaches its gate.
    AtGate { attempt: usize, seen: AttemptOutcome },
    /// A cancellation reaches the target.
    CancelAtTarget { attempt: usize },
    /// A forwarded request reaches the gate that holds the slots.
    Forwarded { request: usize },
    /// A forwarded request's answer reaches the gate that the caller asked.
    ForwardAnswered { request: usize },
    /// A message reaches a gate.
    Message { to: usize, from: NodeId, message: LoadMessage },
    /// A gate's pool has something due.
    Tick { gate: usize },
    /// A waiting request asks again.
    AskAgain { request: usize },
    /// A slow attempt may be hedged.
    HedgeDue { request: usize },
    /// Other targets become stragglers.
    MoveStragglers,
    /// A zone goes out or comes back.
    Zone { zone: usize, is_in: bool },
    /// A gate hears of a zone that has gone out or come back.
    GateHearsZone { gate: usize },
    /// A target restarts.
    ColdStart { index: usize },
    /// A gate is lost.
    GateLost { gate: usize },
    /// The others know that a gate is lost.
    LossKnown { gate: usize },
}

/// The events to come, in the order of their times.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    heap: BinaryHeap<Reverse<Entry>>,
    next: u64,
}

#[derive(Debug)]
struct Entry {
    at: Time,
    number: u64,
    event: Event,
}

impl Schedule {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.heap.push(Reverse(Entry { at, number: self.next, event }));
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.number == other.number
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
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}
