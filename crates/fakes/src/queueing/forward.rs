use bay_load::AttemptOutcome;
use rand::RngExt;

use super::network::Event;
use super::sim::Sim;
use super::simple::{MAX_TRIES, RETRY_AFTER};

impl Sim {
    pub(super) fn forward_begin(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        if self.forward_start(gate, request) {
            return;
        }
        let other = self.forward_choice(gate);
        let known = &mut self.simple[gate].free_elsewhere[other];
        *known = known.saturating_sub(1);
        self.requests[request].via = other;
        let at = self.now + self.gate_delay(gate, other);
        self.schedule.push(at, Event::Forwarded { request });
    }

    pub(super) fn forwarded(&mut self, request: usize) {
        let gate = self.requests[request].via;
        if !self.forward_start(gate, request) {
            self.simple[gate].queue.push_back(request);
        }
    }

    pub(super) fn forward_reply(&mut self, attempt: usize, seen: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let holder = self.requests[request].via;
        self.simple[holder].in_flight[self.attempts[attempt].target] -= 1;
        if let Some(next) = self.simple[holder].queue.pop_front()
            && !self.forward_start(holder, next)
        {
            self.simple[holder].queue.push_front(next);
        }
        if seen != AttemptOutcome::Answered {
            self.requests[request].tries += 1;
            return match self.requests[request].tries < MAX_TRIES {
                true => self.forwarded(request),
                false => self.refused(request, RETRY_AFTER),
            };
        }
        let gate = self.requests[request].gate;
        let free = self.free_slots(holder).len();
        self.simple[gate].free_elsewhere[holder] = free;
        let at = self.now
            + if holder == gate { Default::default() } else { self.gate_delay(holder, gate) };
        self.schedule.push(at, Event::ForwardAnswered { request });
    }

    /// The less loaded of two gates that hold slots, as far as this one knows.
    fn forward_choice(&mut self, gate: usize) -> usize {
        let holders = self.scenario.site.gates.min(self.scenario.site.targets);
        let mut draw = || self.rng.random_range(0..holders);
        let (first, second) = (draw(), draw());
        let known = &self.simple[gate].free_elsewhere;
        if known[second] > known[first] { second } else { first }
    }

    fn forward_start(&mut self, holder: usize, request: usize) -> bool {
        let free = self.free_slots(holder);
        if free.is_empty() {
            return false;
        }
        let target = free[self.rng.random_range(0..free.len())];
        self.requests[request].via = holder;
        self.simple[holder].in_flight[target] += 1;
        self.send(request, target, None);
        true
    }

    /// The targets of the free slots that a gate holds.
    fn free_slots(&self, holder: usize) -> Vec<usize> {
        let site = self.scenario.site;
        let held = |t: &usize| t % site.gates == holder && self.accepting(*t);
        let held = (0..site.targets).filter(held);
        held.flat_map(|t| {
            let free = Sim::slots().saturating_sub(self.simple[holder].in_flight[t]);
            std::iter::repeat_n(t, free)
        })
        .collect()
    }
}
