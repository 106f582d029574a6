use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::hash::Hash;

use crate::Time;

/// A timer service: each subscriber has at most one pending deadline.
#[derive(Debug)]
pub struct Timers<K> {
    deadlines: HashMap<K, Time>,
    queue: BinaryHeap<Reverse<(Time, K)>>,
}

impl<K> Timers<K>
where
    K: Copy + Eq + Hash + Ord,
{
    /// A service without subscribers.
    pub fn new() -> Timers<K> {
        Timers { deadlines: HashMap::new(), queue: BinaryHeap::new() }
    }

    /// Sets a subscriber's deadline in place of any earlier one.
    pub fn set(&mut self, key: K, at: Time) {
        if self.deadlines.insert(key, at) != Some(at) {
            self.queue.push(Reverse((at, key)));
        }
    }

    /// Drops a subscriber's deadline.
    pub fn cancel(&mut self, key: K) {
        self.deadlines.remove(&key);
    }

    /// The earliest deadline.
    pub fn next_deadline(&mut self) -> Option<Time> {
        self.drop_stale();
        self.queue.peek().map(|Reverse((at, _))| *at)
    }

    /// Takes one subscriber whose deadline has come.
    pub fn pop_due(&mut self, now: Time) -> Option<K> {
        self.drop_stale();
        let Reverse((at, key)) = *self.queue.peek()?;
        if at > now {
            return None;
        }
        self.queue.pop();
        self.deadlines.remove(&key);
        Some(key)
    }

    fn drop_stale(&mut self) {
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
