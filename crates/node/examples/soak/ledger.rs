use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// What servers ran and callers saw; finds broken promises.
#[derive(Default)]
pub struct Ledger {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// How often each request that may run once only was begun.
    runs: HashMap<String, u32>,
    /// Requests that callers were told have not run.
    not_run: HashMap<String, u16>,
    broken: Vec<String>,
    answered: u64,
    refused: u64,
    failed: u64,
    /// Answered and all requests since the last mark.
    recent: (u64, u64),
}

/// How a request ended for its caller.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    /// A whole answer.
    Answer,
    /// A status that promises that it has not run.
    NotRun(u16),
    /// Anything else.
    Failure,
}

impl Ledger {
    /// Takes note that a server begins a request that may run once only.
    pub fn begin_once(&self, id: &str, server: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = state.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 {
            state.broken.push(format!("request {id} ran {runs} times, last at {server}"));
        }
        if let Some(status) = state.not_run.get(id).copied() {
            state.broken.push(format!("request {id} ran at {server} after a {status}"));
        }
    }

    /// Takes note of what a caller saw.
    pub fn seen(&self, id: &str, once: bool, seen: Seen) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.recent.1 += 1;
        match seen {
            Seen::Answer => {
                state.answered += 1;
                state.recent.0 += 1;
            }
            Seen::NotRun(status) => {
                state.refused += 1;
                if once {
                    state.not_run.insert(id.to_owned(), status);
                    if state.runs.contains_key(id) {
                        state.broken.push(format!("request {id} has run and got {status}"));
                    }
                }
            }
            Seen::Failure => state.failed += 1,
        }
    }

    /// Takes note of a broken promise.
    pub fn broken(&self, what: String) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).broken.push(what);
    }

    /// The broken promises so far.
    pub fn all_broken(&self) -> Vec<String> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).broken.clone()
    }

    /// Starts to count anew what [`Ledger::served_share`] tells.
    pub fn mark(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).recent = (0, 0);
    }

    /// Share of the requests since the mark that were answered.
    pub fn served_share(&self) -> f64 {
        let (answered, all) = self.state.lock().unwrap_or_else(PoisonError::into_inner).recent;
        answered as f64 / (all.max(1)) as f64
    }

    /// Counts of all requests: answered, refused, failed.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.answered, state.refused, state.failed)
    }
}
