use bay_types::ErrorKind;

use crate::{Count, CountName, Counter};

/// Counts what a gate does until the shell takes the counts.
#[derive(Debug)]
pub struct Tally {
    counters: Vec<u64>,
    refused: Vec<u64>,
}

impl Tally {
    /// A tally of nothing.
    pub fn new() -> Tally {
        Tally { counters: vec![0; Counter::ALL.len()], refused: vec![0; ErrorKind::ALL.len()] }
    }

    /// Counts something once.
    pub fn add(&mut self, counter: Counter) {
        self.counters[counter as usize] += 1;
    }

    /// Counts a refusal.
    pub fn refused(&mut self, kind: ErrorKind) {
        self.refused[kind as usize] += 1;
    }

    /// Takes what was counted and starts again from zero.
    pub fn take(&mut self, out: &mut Vec<Count>) {
        for counter in Counter::ALL {
            let count = std::mem::take(&mut self.counters[*counter as usize]);
            push(CountName::Counter(*counter), count, out);
        }
        for kind in ErrorKind::ALL {
            let count = std::mem::take(&mut self.refused[kind as usize]);
            push(CountName::Refused(kind), count, out);
        }
    }
}

impl Default for Tally {
    fn default() -> Tally {
        Tally::new()
    }
}

fn push(name: CountName, count: u64, out: &mut Vec<Count>) {
    if count > 0 {
        out.push(Count { name, count });
    }
}
