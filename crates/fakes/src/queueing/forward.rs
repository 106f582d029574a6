use bay_load::AttemptOutcome;
use rand::RngExt;

use super::network::Event;
use super::sim::Sim;
use super::simple::{MAX_ATTEMPTS, RETRY_AFTER};

impl Sim {
    pub(super) fn forward_begin(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        if self.start_at_holder(gate, request) {
            return;
        }
        let other = self.pick_forward_gate(gate);
        let known = &mut self.simple_gates[gate].free_elsewhere[other];
        *known = known.saturating_sub(1);
        self.requests[request].serving_gate = other;
        let at = self.now + self.gate_delay(gate, other);
        self.schedule.push(at, Event::ForwardedRequest { request });
    }

    pub(super) fn handle_forwarded(&mut self, request: usize) {
        let gate = self.requests[request].serving_gate;
        if !self.start_at_holder(gate, request) {
            self.simple_gates[gate].queue.push_back(request);
        }
    }

    pub(super) fn forward_reply(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let holder = self.requests[request].serving_gate;
        self.simple_gates[holder].in_flight[self.attempts[attempt].target] -= 1;
        if let Some(next) = self.simple_gates[holder].queue.pop_front()
            && !self.start_at_holder(holder, next)
        {
            self.simple_gates[holder].queue.push_front(next);
        }
        if outcome != AttemptOutcome::Answered {
            self.requests[request].tries += 1;
            return match self.requests[request].tries < MAX_ATTEMPTS {
                true => self.handle_forwarded(request),
                false => self.record_refusal(request, RETRY_AFTER),
            };
        }
        let gate = self.requests[request].gate;
        let free = self.free_slots(holder).len();
        self.simple_gates[gate].free_elsewhere[holder] = free;
        let at = self.now
            + if holder == gate { Default::default() } else { self.gate_delay(holder, gate) };
        self.schedule.push(at, Event::ForwardedAnswer { request });
    }

    /// Picks the gate with more free slots out of two random ones, by the last counts received.
    fn pick_forward_gate(&mut self, gate: usize) -> usize {
        let holders = self.scenario.site.gates.min(self.scenario.site.targets);
        let mut draw = || self.rng.random_range(0..holders);
        let (first, second) = (draw(), draw());
        let known = &self.simple_gates[gate].free_elsewhere;
        if known[second] > known[first] { second } else { first }
    }

    fn start_at_holder(&mut self, holder: usize, request: usize) -> bool {
        let free = self.free_slots(holder);
        if free.is_empty() {
            return false;
        }
        let target = free[self.rng.random_range(0..free.len())];
        self.requests[request].serving_gate = holder;
        self.simple_gates[holder].in_flight[target] += 1;
        self.send_attempt(request, target, None);
        true
    }

    /// Returns the targets of the free slots that a gate holds, once per slot.
    fn free_slots(&self, holder: usize) -> Vec<usize> {
        let site = self.scenario.site;
        let held = |t: &usize| t % site.gates == holder && self.is_in_service(*t);
        let held = (0..site.targets).filter(held);
        held.flat_map(|t| {
            let free =
                Sim::slots_per_target().saturating_sub(self.simple_gates[holder].in_flight[t]);
            std::iter::repeat_n(t, free)
        })
        .collect()
    }
}
