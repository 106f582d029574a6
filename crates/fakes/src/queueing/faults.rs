use std::time::Duration;

use bay_load::AttemptOutcome;
use bay_time::Time;
use rand::RngExt;

use super::Policy;
use super::network::Event;
use super::sim::Sim;

/// Time until the gates hear of a zone, at most.
const ZONE_SPREAD: Duration = Duration::from_secs(1);

impl Sim {
    pub(super) fn schedule_faults(&mut self) {
        self.schedule.push(Time::ZERO, Event::Arrive);
        if self.scenario.stragglers.is_some() {
            self.schedule.push(Time::ZERO, Event::MoveStragglers);
        }
        if let Some(out) = self.scenario.zone_out.clone() {
            let zone = out.zone;
            self.schedule.push(Time::ZERO + out.span.start, Event::Zone { zone, is_in: false });
            self.schedule.push(Time::ZERO + out.span.end, Event::Zone { zone, is_in: true });
        }
        for (index, cold) in self.scenario.cold_starts.iter().enumerate() {
            self.schedule.push(Time::ZERO + cold.at, Event::ColdStart { index });
        }
        if let Some(loss) = self.scenario.gate_loss {
            let at = Time::ZERO + loss.at;
            self.schedule.push(at, Event::GateLost { gate: loss.gate });
            self.schedule.push(at + loss.known_after, Event::LossKnown { gate: loss.gate });
        }
    }

    pub(super) fn move_stragglers(&mut self) {
        let Some(stragglers) = self.scenario.stragglers else {
            return;
        };
        let count = self.targets.len();
        let mean = count as f64 / stragglers.one_in as f64;
        let one_more = self.rng.random_bool(mean.fract());
        let slow = mean as usize + usize::from(one_more);
        for target in &mut self.targets {
            target.delay = None;
        }
        for i in 0..slow {
            let target = (self.straggler_turn + i * stragglers.one_in) % count;
            self.targets[target].delay = Some(stragglers.delay);
        }
        self.straggler_turn += 1;
        self.schedule.push(self.now + stragglers.span, Event::MoveStragglers);
    }

    pub(super) fn zone(&mut self, zone: usize, is_in: bool) {
        let now = self.now;
        self.out_since = Some(now);
        for target in 0..self.targets.len() {
            if self.targets[target].zone != zone {
                continue;
            }
            self.targets[target].in_service = is_in;
            if is_in {
                self.targets[target].turn_cold(now, true);
            }
        }
        for gate in 0..self.scenario.site.gates {
            let after = ZONE_SPREAD.mul_f64(self.rng.random());
            self.schedule.push(now + after, Event::GateHearsZone { gate });
        }
        if self.scenario.policy == Policy::Central {
            self.central_serve();
        }
    }

    pub(super) fn cold_start(&mut self, index: usize) {
        let cold = self.scenario.cold_starts[index];
        self.restart(cold.target, cold.announced);
    }

    pub(super) fn restart(&mut self, target: usize, announced: bool) {
        for attempt in self.targets[target].restart(self.now, announced) {
            self.reply(attempt, AttemptOutcome::Failed);
        }
    }
}
