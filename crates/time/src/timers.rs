use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;

use crate::Time;

/// A set of timers with at most one deadline for each key.
///
/// The queue may contain outdated deadlines. They are skipped when they reach its front.
#[derive(Debug)]
pub struct Timers<K> {
    deadlines: HashMap<K, Time>,
    queue: BinaryHeap<Reverse<(Time, K)>>,
}

impl<K> Timers<K>
where
    K: Copy + Eq + Hash + Ord,
{
    /// Creates an empty set.
    pub fn new() -> Timers<K> {
        Timers { deadlines: HashMap::new(), queue: BinaryHeap::new() }
    }

    /// Sets the deadline of a key and replaces any previous one.
    pub fn set(&mut self, key: K, at: Time) {
        if self.deadlines.insert(key, at) != Some(at) {
            self.queue.push(Reverse((at, key)));
        }
    }

    /// Removes the deadline of a key, if it has one.
    pub fn cancel(&mut self, key: K) {
        self.deadlines.remove(&key);
    }

    /// Returns the earliest deadline, or `None` if there are no timers.
    pub fn next_deadline(&mut self) -> Option<Time> {
        self.discard_outdated();
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the key with the earliest deadline if that deadline has passed, and returns the key.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        self.discard_outdated();
        let Reverse((at, key)) = *self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        self.deadlines.remove(&key);
        Some(key)
    }

    fn discard_outdated(&mut self) {
        while let Some(Reverse((at, key))) = self.queue.peek() {
            if self.deadlines.get(key) == Some(at) {
                return;
            }
            self.queue.pop();
        }
    }
}

impl<K> Default for Timers<K>
where
    K: Copy + Eq + Hash + Ord,
{
    fn default() -> Timers<K> {
        Timers::new()
    }
}
