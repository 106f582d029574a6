use std::time::Duration;

use bay_load::AttemptOutcome;
use bay_time::Time;
use rand::RngExt;

use super::Policy;
use super::network::Event;
use super::sim::{Attempt, Sim};

/// Part of the mean service time that each request takes at least.
const FIXED_SERVICE: f64 = 0.4;

impl Sim {
    pub(super) fn at_target(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.count(|report| report.attempts += 1);
        let service = self.draw_service();
        let Attempt { target, sent, .. } = self.attempts[attempt];
        let now = self.now;
        match self.targets[target].admit(now, attempt) {
            Ok(()) => {
                let running = self.targets[target].running.len();
                self.report.most_running = self.report.most_running.max(running);
                let slow = self.draw_delay(target);
                self.schedule.push(now + service + slow, Event::Finish { attempt });
            }
            Err(reason) => {
                self.count_excess(target, sent);
                self.reply(attempt, AttemptOutcome::Rejected(reason));
                if self.targets[target].falls_over(now) {
                    self.restart(target, true);
                }
            }
        }
    }

    pub(super) fn count_excess(&mut self, target: usize, sent: Time) {
        let now = self.now;
        let told_after = self.scenario.site.one_way * 2;
        let target = &self.targets[target];
        let told = target.revealed.is_some_and(|at| sent > at + told_after);
        let cold = target.cold(now);
        self.count(|report| {
            report.excess += 1;
            report.cold_excess += u64::from(cold);
            report.cold_excess_told += u64::from(cold && told);
        });
    }

    pub(super) fn draw_service(&mut self) -> Duration {
        let exponential = -(1.0 - self.work_rng.random::<f64>()).ln();
        let parts = FIXED_SERVICE + (1.0 - FIXED_SERVICE) * exponential;
        self.scenario.service.mul_f64(parts)
    }

    pub(super) fn draw_delay(&mut self, target: usize) -> Duration {
        let part = self.work_rng.random_range(0.33..1.0);
        self.targets[target].delay.map_or(Duration::ZERO, |delay| delay.mul_f64(part))
    }

    pub(super) fn finish(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let running = &mut self.targets[target].running;
        let Some(place) = running.iter().position(|a| *a == attempt) else {
            return;
        };
        running.swap_remove(place);
        self.reply(attempt, AttemptOutcome::Answered);
        if self.scenario.policy == Policy::Central {
            self.central_free(target);
        }
    }

    pub(super) fn reply(&mut self, attempt: usize, seen: AttemptOutcome) {
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].via, target);
        self.schedule.push(at, Event::AtGate { attempt, seen });
    }

    pub(super) fn at_gate(&mut self, attempt: usize, seen: AttemptOutcome) {
        let target = self.attempts[attempt].target;
        if self.attempts[attempt].over {
            return;
        }
        if seen != AttemptOutcome::Answered && self.targets[target].cold(self.now) {
            self.targets[target].revealed.get_or_insert(self.now);
        }
        self.attempts[attempt].over = true;
        match self.scenario.policy {
            Policy::Lending => self.lending_reply(attempt, seen),
            Policy::Central => self.answered(self.attempts[attempt].request),
            Policy::Forward => self.forward_reply(attempt, seen),
            _ => self.simple_reply(attempt, seen),
        }
    }

    /// Gives an attempt up and tells the target.
    pub(super) fn cancel(&mut self, attempt: usize) {
        self.attempts[attempt].over = true;
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].via, target);
        self.schedule.push(at, Event::CancelAtTarget { attempt });
    }

    pub(super) fn cancel_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].running.retain(|a| *a != attempt);
    }
}
