//! Exhaustive search of two routers, a granter, a store and one removed key.
//!
//! The second router asks the first one, which asks the granter, which reads the store. Datagrams and
//! reads are lost, delayed and duplicated, processes are suspended (they do nothing while time passes)
//! and restarted with a stale configuration. Clocks differ by a constant.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::time::Duration;

use bay_account::Freshness;
use bay_time::Time;
use test_case::test_case;

/// Time from the removal of the key until no router uses it, in steps of a second.
const BOUND: u64 = 3;
/// Last step of the search: one in which the key must not be used any more.
const LAST_STEP: u64 = LAST_REMOVAL + BOUND + 1;
/// Last step in which the key is removed.
const LAST_REMOVAL: u64 = 0;
/// Messages and reads that are under way at a time.
const MAX_IN_FLIGHT: usize = 2;
/// Version with the key, and the one without it.
const OLD: u64 = 1;
const NEW: u64 = 2;

/// Readings of the clocks in step 0, in seconds.
const CLOCK_OFFSETS: [u64; 3] = [100, 57, 203];
const GRANTER: usize = 0;
const LAST_ROUTER: usize = 2;

/// Fault that is put into the protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// The first router leaves out the age of its own proof.
    AgeOfOneHopLeftOut,
    /// A read counts from its answer.
    ReadCountsFromAnswer,
    /// The versions are not compared.
    VersionNotCompared,
}

/// What a search covers.
#[derive(Debug, Clone, Copy)]
struct Scope {
    fault: Fault,
    /// Reads of the granter and requests of each router, by process, anew after a restart. The search
    /// grows by a power of them.
    requests: [u8; 3],
    /// Restarts of processes.
    restarts: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Read { sent_at: Time },
    ReadAnswer { sent_at: Time, version: u64 },
    Request { from: usize, stamp: Time },
    Vouch { to: usize, stamp: Time, age: Duration, version: u64 },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    version: u64,
    freshness: Freshness,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    step: u64,
    removed_at: Option<u64>,
    processes: [Process; 3],
    in_flight: BTreeSet<Message>,
    restarts: u8,
    /// Reads and requests sent by each process.
    requests: [u8; 3],
}

impl State {
    fn new() -> State {
        let process = Process { version: OLD, freshness: Freshness::default() };
        State {
            step: 0,
            removed_at: None,
            processes: [process.clone(), process.clone(), process],
            in_flight: BTreeSet::new(),
            restarts: 0,
            requests: [0; 3],
        }
    }

    fn clock(&self, process: usize) -> Time {
        Time::from_millis((CLOCK_OFFSETS[process] + self.step) * 1_000)
    }

    fn newest(&self) -> u64 {
        if self.removed_at.is_some() { NEW } else { OLD }
    }

    /// Returns whether a process uses the key although it was removed longer ago than the bound.
    fn breaks_bound(&self) -> bool {
        let is_over = self.removed_at.is_some_and(|at| self.step > at + BOUND);
        let bound = Duration::from_secs(BOUND);
        is_over
            && (0..=LAST_ROUTER).any(|index| {
                let Process { version, freshness } = &self.processes[index];
                *version == OLD && freshness.is_proven(self.clock(index), bound)
            })
    }

    fn send(&self, message: Message) -> Option<State> {
        let mut next = self.clone();
        (next.in_flight.insert(message) && next.in_flight.len() <= MAX_IN_FLIGHT).then_some(next)
    }

    /// Returns the states that follow.
    fn successors(&self, scope: &Scope) -> Vec<State> {
        let mut next = Vec::new();
        if self.step < LAST_STEP {
            next.push(State { step: self.step + 1, ..self.clone() });
        }
        if self.removed_at.is_none() && (0..=LAST_REMOVAL).contains(&self.step) {
            next.push(State { removed_at: Some(self.step), ..self.clone() });
        }
        for from in (0..=LAST_ROUTER).filter(|from| self.requests[*from] < scope.requests[*from]) {
            let stamp = self.clock(from);
            let message = match from {
                GRANTER => Message::Read { sent_at: stamp },
                _ => Message::Request { from, stamp },
            };
            next.extend(self.send(message).map(|mut state| {
                state.requests[from] += 1;
                if from != GRANTER {
                    state.processes[from].freshness.record_request(stamp);
                }
                state
            }));
        }
        // The configuration arrives at any time after the granter has it.
        if self.processes[GRANTER].version == NEW {
            let lacking = (1..=LAST_ROUTER).filter(|to| self.processes[*to].version == OLD);
            next.extend(lacking.map(|to| {
                let mut state = self.clone();
                state.processes[to].version = NEW;
                state
            }));
        }
        if self.restarts < scope.restarts {
            next.extend((0..=LAST_ROUTER).map(|index| {
                let mut state = self.clone();
                state.restarts += 1;
                state.requests[index] = 0;
                // The first list after a start may be stale.
                state.processes[index] = Process { version: OLD, freshness: Freshness::default() };
                state
            }));
        }
        for message in &self.in_flight {
            let mut lost = self.clone();
            lost.in_flight.remove(message);
            next.extend(lost.deliver(message, scope.fault));
            // The message arrives once more later.
            next.extend(self.deliver(message, scope.fault));
            next.push(lost);
        }
        next
    }

    /// Returns the state after a message has arrived; `None` if there is no room for the answer.
    fn deliver(&self, message: &Message, fault: Fault) -> Option<State> {
        let mut next = self.clone();
        match message {
            Message::Read { sent_at } => {
                return self
                    .send(Message::ReadAnswer { sent_at: *sent_at, version: self.newest() });
            }
            Message::ReadAnswer { sent_at, version } => {
                let read_at = match fault {
                    Fault::ReadCountsFromAnswer => self.clock(GRANTER),
                    _ => *sent_at,
                };
                let granter = &mut next.processes[GRANTER];
                granter.version = granter.version.max(*version);
                granter.freshness.record_read(read_at);
            }
            Message::Request { from, stamp } => {
                // The second router asks the first one, which asks the granter.
                let by = from - 1;
                let Process { version, freshness } = &self.processes[by];
                let now = self.clock(by);
                if !freshness.is_proven(now, Duration::from_secs(BOUND)) {
                    return None;
                }
                let age = match fault {
                    Fault::AgeOfOneHopLeftOut if by == 1 => Duration::ZERO,
                    _ => freshness.age(now)?,
                };
                let vouch = Message::Vouch { to: *from, stamp: *stamp, age, version: *version };
                return self.send(vouch);
            }
            Message::Vouch { to, stamp, age, version } => {
                let Process { version: own, freshness } = &mut next.processes[*to];
                let vouched = if fault == Fault::VersionNotCompared { *own } else { *version };
                freshness.record_vouch(*stamp, *age, vouched, *own);
            }
        }
        Some(next)
    }
}

/// Searches all states; returns the number of those visited and whether one breaks the bound.
fn search(scope: &Scope) -> (usize, bool) {
    let mut visited = HashSet::from([State::new()]);
    let mut open = VecDeque::from([State::new()]);
    while let Some(state) = open.pop_front() {
        if state.breaks_bound() {
            return (visited.len(), true);
        }
        for next in state.successors(scope) {
            if visited.insert(next.clone()) {
                open.push_back(next);
            }
        }
    }
    (visited.len(), false)
}

/// Guards against a use of the removed key in any order of events, and against a search that would not
/// find it.
#[test_case(Fault::None, [1, 1, 1], 1)]
#[test_case(Fault::None, [2, 1, 1], 0)]
#[test_case(Fault::AgeOfOneHopLeftOut, [1, 1, 1], 0)]
#[test_case(Fault::ReadCountsFromAnswer, [1, 1, 1], 0)]
#[test_case(Fault::VersionNotCompared, [1, 1, 1], 0)]
fn the_search_finds_a_use_of_the_removed_key_only_with_a_fault(
    fault: Fault,
    requests: [u8; 3],
    restarts: u8,
) {
    let scope = Scope { fault, requests, restarts };
    let (visited, breaks_bound) = search(&scope);
    println!("{scope:?}: {visited} states visited");
    assert_eq!(breaks_bound, fault != Fault::None);
}
