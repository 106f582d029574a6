use super::network::Event;
use super::sim::{Attempt, Sim};

impl Sim {
    pub(super) fn central_begin(&mut self, request: usize) {
        self.requests[request].via = self.requests[request].gate;
        self.central.push_back(request);
        self.central_serve();
    }

    /// Starts what waits on the slots that are free.
    pub(super) fn central_serve(&mut self) {
        while let Some(request) = self.central.front().copied() {
            let Some(target) = self.central_choice(request) else {
                return;
            };
            self.central.pop_front();
            self.reserved[target] += 1;
            let attempt = self.attempts.len();
            let sent = self.now;
            self.attempts.push(Attempt { request, target, sent, permit: None, over: false });
            // The request was sent ahead, to arrive as the slot becomes free.
            let earliest = self.requests[request].arrived
                + self.target_delay(self.requests[request].gate, target);
            self.schedule.push(earliest.max(sent), Event::AtTarget { attempt });
        }
    }

    fn central_choice(&self, request: usize) -> Option<usize> {
        let gate = self.requests[request].gate;
        let free = |t: &usize| {
            self.accepting(*t) && self.reserved[*t] < self.targets[*t].capacity(self.now)
        };
        (0..self.targets.len())
            .filter(free)
            .filter(|t| self.targets[*t].delay.is_none())
            .min_by_key(|t| (self.target_delay(gate, *t), self.reserved[*t]))
    }

    pub(super) fn central_free(&mut self, target: usize) {
        self.reserved[target] -= 1;
        self.central_serve();
    }
}
