use bay_types::ErrorKind;

use crate::{Count, Counter, CounterName};

/// Counts of a gate's events and refusals since the shell last drained them.
#[derive(Debug)]
pub struct CounterBuffer {
    counters: Vec<u64>,
    refusals: Vec<u64>,
}

impl CounterBuffer {
    /// Creates a buffer with every count at zero.
    pub fn new() -> CounterBuffer {
        CounterBuffer {
            counters: vec![0; Counter::ALL.len()],
            refusals: vec![0; ErrorKind::ALL.len()],
        }
    }

    /// Adds one to a counter.
    pub fn increment(&mut self, counter: Counter) {
        self.counters[counter as usize] += 1;
    }

    /// Counts an answer with an error of this kind.
    pub fn count_refusal(&mut self, kind: ErrorKind) {
        self.refusals[kind as usize] += 1;
    }

    /// Appends the counts that are not zero to `out` and resets all to zero.
    pub fn drain_into(&mut self, out: &mut Vec<Count>) {
        for counter in Counter::ALL {
            let count = std::mem::take(&mut self.counters[*counter as usize]);
            push_nonzero(CounterName::Counter(*counter), count, out);
        }
        for kind in ErrorKind::ALL {
            let count = std::mem::take(&mut self.refusals[kind as usize]);
            push_nonzero(CounterName::Refused(kind), count, out);
        }
    }
}

impl Default for CounterBuffer {
    fn default() -> CounterBuffer {
        CounterBuffer::new()
    }
}

fn push_nonzero(name: CounterName, count: u64, out: &mut Vec<Count>) {
    if count > 0 {
        out.push(Count { name, count });
    }
}
