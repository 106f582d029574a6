use std::time::Duration;

use bay_load::AttemptOutcome;
use rand::RngExt;

use super::sim::Sim;
use super::{Policy, Site};

/// Attempts of a request before a simple policy gives up.
pub(super) const MAX_TRIES: u32 = 3;

/// When a refused caller is told to come back, by a simple policy.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a gate of a simple policy knows.
#[derive(Debug)]
pub(super) struct SimpleGate {
    pub(super) in_flight: Vec<usize>,
    turn: usize,
    /// Free slots of the other gates, as this gate last heard.
    pub(super) free_elsewhere: Vec<usize>,
    /// Requests that wait for a slot.
    pub(super) queue: std::collections::VecDeque<usize>,
}

impl SimpleGate {
    pub(super) fn new(site: &Site) -> SimpleGate {
        SimpleGate {
            in_flight: vec![0; site.targets],
            turn: 0,
            free_elsewhere: vec![1; site.gates],
            queue: std::collections::VecDeque::new(),
        }
    }
}

impl Sim {
    pub(super) fn simple_begin(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        self.requests[request].via = gate;
        self.requests[request].tries += 1;
        match self.simple_choice(gate, request) {
            Some(target) => {
                self.simple[gate].in_flight[target] += 1;
                self.send(request, target, None);
            }
            None => self.refused(request, RETRY_AFTER),
        }
    }

    pub(super) fn simple_reply(&mut self, attempt: usize, seen: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let gate = self.requests[request].gate;
        self.simple[gate].in_flight[self.attempts[attempt].target] -= 1;
        if seen == AttemptOutcome::Answered {
            return self.answered(request);
        }
        if self.requests[request].tries < MAX_TRIES {
            return self.simple_begin(request);
        }
        self.refused(request, RETRY_AFTER);
    }

    fn simple_choice(&mut self, gate: usize, request: usize) -> Option<usize> {
        let tried = &self.requests[request].attempts;
        let tried: Vec<usize> = tried.iter().map(|a| self.attempts[*a].target).collect();
        let limit = match self.scenario.policy {
            Policy::Alone => Sim::slots().div_ceil(self.scenario.site.gates),
            _ => usize::MAX,
        };
        let state = &self.simple[gate];
        let fits =
            |t: &usize| self.accepting(*t) && !tried.contains(t) && state.in_flight[*t] < limit;
        let open: Vec<usize> = (0..self.targets.len()).filter(fits).collect();
        if open.is_empty() {
            return None;
        }
        let mut draw = || open[self.rng.random_range(0..open.len())];
        Some(match self.scenario.policy {
            Policy::RoundRobin => {
                let turn = state.turn;
                self.simple[gate].turn += 1;
                open[turn % open.len()]
            }
            Policy::TwoChoices => {
                let (first, second) = (draw(), draw());
                if state.in_flight[second] < state.in_flight[first] { second } else { first }
            }
            Policy::LeastInFlight | Policy::Alone => {
                let least = open.iter().map(|t| state.in_flight[*t]).min()?;
                let best: Vec<usize> =
                    open.into_iter().filter(|t| state.in_flight[*t] == least).collect();
                best[self.rng.random_range(0..best.len())]
            }
            _ => draw(),
        })
    }
}
