use std::time::Duration;

use bay_load::AttemptOutcome;
use bay_time::Time;
use rand::RngExt;

use super::Policy;
use super::network::Event;
use super::sim::Sim;

/// Longest delay until a zone change reaches a gate.
const MAX_ZONE_DELAY: Duration = Duration::from_secs(1);

impl Sim {
    pub(super) fn schedule_faults(&mut self) {
        self.schedule.push(Time::ZERO, Event::NewRequest);
        if self.scenario.stragglers.is_some() {
            self.schedule.push(Time::ZERO, Event::MoveStragglers);
        }
        if let Some(out) = self.scenario.zone_out.clone() {
            let zone = out.zone;
            self.schedule
                .push(Time::ZERO + out.span.start, Event::ZoneChange { zone, is_in: false });
            self.schedule.push(Time::ZERO + out.span.end, Event::ZoneChange { zone, is_in: true });
        }
        for (index, cold) in self.scenario.cold_starts.iter().enumerate() {
            self.schedule.push(Time::ZERO + cold.at, Event::ColdStart { index });
        }
        if let Some(loss) = self.scenario.gate_loss {
            let at = Time::ZERO + loss.at;
            self.schedule.push(at, Event::GateLoss { gate: loss.gate });
            self.schedule
                .push(at + loss.detected_after, Event::GateLossDetected { gate: loss.gate });
        }
    }

    pub(super) fn move_stragglers(&mut self) {
        let Some(stragglers) = self.scenario.stragglers else {
            return;
        };
        let count = self.targets.len();
        let mean = count as f64 / stragglers.one_in as f64;
        let has_extra = self.rng.random_bool(mean.fract());
        let slow_count = mean as usize + usize::from(has_extra);
        for target in &mut self.targets {
            target.straggler_delay = None;
        }
        for i in 0..slow_count {
            let target = (self.straggler_offset + i * stragglers.one_in) % count;
            self.targets[target].straggler_delay = Some(stragglers.max_delay);
        }
        self.straggler_offset += 1;
        self.schedule.push(self.now + stragglers.span, Event::MoveStragglers);
    }

    pub(super) fn set_zone_in_service(&mut self, zone: usize, is_in: bool) {
        let now = self.now;
        self.zone_changed_at = Some(now);
        for target in 0..self.targets.len() {
            if self.targets[target].zone != zone {
                continue;
            }
            self.targets[target].in_service = is_in;
            if is_in {
                self.targets[target].start_warm_up(now, true);
            }
        }
        for gate in 0..self.scenario.site.gates {
            let after = MAX_ZONE_DELAY.mul_f64(self.rng.random());
            self.schedule.push(now + after, Event::ZoneChangeAtGate { gate });
        }
        if self.scenario.policy == Policy::Central {
            self.serve_central_queue();
        }
    }

    pub(super) fn start_cold(&mut self, index: usize) {
        let cold = self.scenario.cold_starts[index];
        self.restart_target(cold.target, cold.is_announced);
    }

    pub(super) fn restart_target(&mut self, target: usize, announced: bool) {
        for attempt in self.targets[target].restart(self.now, announced) {
            self.send_result(attempt, AttemptOutcome::Failed);
        }
    }
}
