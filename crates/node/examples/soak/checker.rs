use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Records what servers ran and what clients received, and detects violated invariants.
#[derive(Default)]
pub struct InvariantChecker {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// How often servers started each request that may run at most once.
    runs: HashMap<String, u32>,
    /// Requests that a router reported as not run, with the status.
    not_run: HashMap<String, u16>,
    violations: Vec<String>,
    answered: u64,
    refused: u64,
    failed: u64,
    /// Counts of answered and of all requests since [`InvariantChecker::reset_recent`].
    recent: (u64, u64),
}

/// The outcome of a request as its client sees it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response with status 200.
    Answered,
    /// A status that guarantees that the request did not run.
    NotRun(u16),
    /// Any other status, or no response. The request may have run.
    Failed,
}

impl InvariantChecker {
    /// Records that a server starts a request that may run at most once.
    pub fn record_run(&self, id: &str, server: &str) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let runs = state.runs.entry(id.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if runs > 1 {
            state.violations.push(format!("request {id} ran {runs} times, last on {server}"));
        }
        if let Some(status) = state.not_run.get(id).copied() {
            state
                .violations
                .push(format!("request {id} ran on {server} after status {status} (not run)"));
        }
    }

    /// Records the outcome of a request at its client.
    pub fn record_outcome(&self, id: &str, at_most_once: bool, outcome: RequestOutcome) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.recent.1 += 1;
        match outcome {
            RequestOutcome::Answered => {
                state.answered += 1;
                state.recent.0 += 1;
            }
            RequestOutcome::NotRun(status) => {
                state.refused += 1;
                if at_most_once {
                    state.not_run.insert(id.to_owned(), status);
                    if state.runs.contains_key(id) {
                        state
                            .violations
                            .push(format!("request {id} ran, but got status {status} (not run)"));
                    }
                }
            }
            RequestOutcome::Failed => state.failed += 1,
        }
    }

    /// Records a violated invariant.
    pub fn record_violation(&self, violation: String) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).violations.push(violation);
    }

    /// Returns a description of each violation so far.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).violations.clone()
    }

    /// Restarts the counts behind [`InvariantChecker::recent_answered_fraction`].
    pub fn reset_recent(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).recent = (0, 0);
    }

    /// Returns the answered fraction of the requests since [`InvariantChecker::reset_recent`].
    pub fn recent_answered_fraction(&self) -> f64 {
        let (answered, all) = self.state.lock().unwrap_or_else(PoisonError::into_inner).recent;
        answered as f64 / (all.max(1)) as f64
    }

    /// Returns the counts of answered, refused and failed requests.
    pub fn counts(&self) -> (u64, u64, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        (state.answered, state.refused, state.failed)
    }
}
