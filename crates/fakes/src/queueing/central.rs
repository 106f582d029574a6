use super::network::Event;
use super::sim::{Attempt, Sim};

impl Sim {
    pub(super) fn central_begin(&mut self, request: usize) {
        self.requests[request].serving_gate = self.requests[request].gate;
        self.central_queue.push_back(request);
        self.serve_central_queue();
    }

    /// Starts queued requests in order while a slot is free.
    pub(super) fn serve_central_queue(&mut self) {
        while let Some(request) = self.central_queue.front().copied() {
            let Some(target) = self.pick_central_target(request) else {
                return;
            };
            self.central_queue.pop_front();
            self.reserved_slots[target] += 1;
            let attempt = self.attempts.len();
            let sent_at = self.now;
            self.attempts.push(Attempt { request, target, sent_at, permit: None, is_over: false });
            // The request travels while it is queued, so only the rest of its trip is left.
            let earliest = self.requests[request].arrived_at
                + self.target_delay(self.requests[request].gate, target);
            self.schedule.push(earliest.max(sent_at), Event::AttemptAtTarget { attempt });
        }
    }

    /// Picks the nearest target with a free slot that is no straggler.
    fn pick_central_target(&self, request: usize) -> Option<usize> {
        let gate = self.requests[request].gate;
        let is_free = |t: &usize| {
            self.is_in_service(*t) && self.reserved_slots[*t] < self.targets[*t].capacity(self.now)
        };
        (0..self.targets.len())
            .filter(is_free)
            .filter(|t| self.targets[*t].straggler_delay.is_none())
            .min_by_key(|t| (self.target_delay(gate, *t), self.reserved_slots[*t]))
    }

    pub(super) fn release_central_slot(&mut self, target: usize) {
        self.reserved_slots[target] -= 1;
        self.serve_central_queue();
    }
}
