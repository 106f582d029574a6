use std::time::Duration;

use bay_load::AttemptOutcome;
use rand::RngExt;

use super::sim::Sim;
use super::{Policy, Site};

/// Limit of attempts of a request under a policy without lending.
pub(super) const MAX_ATTEMPTS: u32 = 3;

/// Retry delay given to refused callers by a policy without lending.
pub(super) const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State of a gate under a policy without lending.
#[derive(Debug)]
pub(super) struct SimpleGate {
    /// Attempts in flight from this gate, by target.
    pub(super) in_flight: Vec<usize>,
    next_turn: usize,
    /// Free slots of the other gates, as last received, less the requests forwarded since.
    pub(super) free_elsewhere: Vec<usize>,
    /// Requests queued for a slot.
    pub(super) queue: std::collections::VecDeque<usize>,
}

impl SimpleGate {
    pub(super) fn new(site: &Site) -> SimpleGate {
        SimpleGate {
            in_flight: vec![0; site.targets],
            next_turn: 0,
            free_elsewhere: vec![1; site.gates],
            queue: std::collections::VecDeque::new(),
        }
    }
}

impl Sim {
    pub(super) fn simple_begin(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        self.requests[request].serving_gate = gate;
        self.requests[request].tries += 1;
        match self.pick_simple_target(gate, request) {
            Some(target) => {
                self.simple_gates[gate].in_flight[target] += 1;
                self.send_attempt(request, target, None);
            }
            None => self.record_refusal(request, RETRY_AFTER),
        }
    }

    pub(super) fn simple_reply(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let gate = self.requests[request].gate;
        self.simple_gates[gate].in_flight[self.attempts[attempt].target] -= 1;
        if outcome == AttemptOutcome::Answered {
            return self.record_answer(request);
        }
        if self.requests[request].tries < MAX_ATTEMPTS {
            return self.simple_begin(request);
        }
        self.record_refusal(request, RETRY_AFTER);
    }

    fn pick_simple_target(&mut self, gate: usize, request: usize) -> Option<usize> {
        let tried = &self.requests[request].attempts;
        let tried: Vec<usize> = tried.iter().map(|a| self.attempts[*a].target).collect();
        let limit = match self.scenario.policy {
            Policy::StaticShare => Sim::slots_per_target().div_ceil(self.scenario.site.gates),
            _ => usize::MAX,
        };
        let state = &self.simple_gates[gate];
        let is_eligible =
            |t: &usize| self.is_in_service(*t) && !tried.contains(t) && state.in_flight[*t] < limit;
        let eligible: Vec<usize> = (0..self.targets.len()).filter(is_eligible).collect();
        if eligible.is_empty() {
            return None;
        }
        let mut draw = || eligible[self.rng.random_range(0..eligible.len())];
        Some(match self.scenario.policy {
            Policy::RoundRobin => {
                let turn = state.next_turn;
                self.simple_gates[gate].next_turn += 1;
                eligible[turn % eligible.len()]
            }
            Policy::TwoChoices => {
                let (first, second) = (draw(), draw());
                if state.in_flight[second] < state.in_flight[first] { second } else { first }
            }
            Policy::LeastInFlight | Policy::StaticShare => {
                let least = eligible.iter().map(|t| state.in_flight[*t]).min()?;
                let best: Vec<usize> =
                    eligible.into_iter().filter(|t| state.in_flight[*t] == least).collect();
                best[self.rng.random_range(0..best.len())]
            }
            _ => draw(),
        })
    }
}
