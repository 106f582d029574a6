use std::time::Duration;

use bay_load::AttemptOutcome;
use bay_time::Time;
use rand::RngExt;

use super::Policy;
use super::network::Event;
use super::sim::{Attempt, Sim};

/// Fixed share of the service time; the rest is exponential.
const FIXED_SERVICE_SHARE: f64 = 0.4;

impl Sim {
    pub(super) fn start_attempt(&mut self, attempt: usize) {
        if self.attempts[attempt].is_over {
            return;
        }
        self.update_report(|report| report.attempts += 1);
        let service = self.draw_service();
        let Attempt { target, sent_at, .. } = self.attempts[attempt];
        let now = self.now;
        match self.targets[target].admit(now, attempt) {
            Ok(()) => {
                let running = self.targets[target].running.len();
                self.report.peak_running = self.report.peak_running.max(running);
                let slow = self.draw_straggler_delay(target);
                self.schedule.push(now + service + slow, Event::AttemptFinished { attempt });
            }
            Err(reason) => {
                self.count_excess(target, sent_at);
                self.send_result(attempt, AttemptOutcome::Rejected(reason));
                if self.targets[target].must_crash(now) {
                    self.restart_target(target, true);
                }
            }
        }
    }

    pub(super) fn count_excess(&mut self, target: usize, sent_at: Time) {
        let now = self.now;
        // Twice the longest trip of a message from the gate that received the refusal.
        let notice_delay = self.scenario.site.cross_zone_delay * 2;
        let target = &self.targets[target];
        let is_after_notice = target.first_refusal_at.is_some_and(|at| sent_at > at + notice_delay);
        let cold = target.is_cold(now);
        self.update_report(|report| {
            report.excess += 1;
            report.cold_excess += u64::from(cold);
            report.cold_excess_after_notice += u64::from(cold && is_after_notice);
        });
    }

    /// Draws a service time: a fixed part plus an exponential one.
    pub(super) fn draw_service(&mut self) -> Duration {
        let exponential = -(1.0 - self.work_rng.random::<f64>()).ln();
        let parts = FIXED_SERVICE_SHARE + (1.0 - FIXED_SERVICE_SHARE) * exponential;
        self.scenario.service_time.mul_f64(parts)
    }

    /// Draws the extra service time of a straggler, or zero for another target.
    pub(super) fn draw_straggler_delay(&mut self, target: usize) -> Duration {
        let part = self.work_rng.random_range(0.33..1.0);
        self.targets[target].straggler_delay.map_or(Duration::ZERO, |delay| delay.mul_f64(part))
    }

    pub(super) fn finish_attempt(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let running = &mut self.targets[target].running;
        let Some(place) = running.iter().position(|a| *a == attempt) else {
            return;
        };
        running.swap_remove(place);
        self.send_result(attempt, AttemptOutcome::Answered);
        if self.scenario.policy == Policy::Central {
            self.release_central_slot(target);
        }
    }

    pub(super) fn send_result(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].serving_gate, target);
        self.schedule.push(at, Event::ResultAtGate { attempt, outcome });
    }

    pub(super) fn handle_result(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let target = self.attempts[attempt].target;
        if self.attempts[attempt].is_over {
            return;
        }
        if outcome != AttemptOutcome::Answered && self.targets[target].is_cold(self.now) {
            self.targets[target].first_refusal_at.get_or_insert(self.now);
        }
        self.attempts[attempt].is_over = true;
        match self.scenario.policy {
            Policy::Lending => self.lending_reply(attempt, outcome),
            Policy::Central => self.record_answer(self.attempts[attempt].request),
            Policy::Forward => self.forward_reply(attempt, outcome),
            _ => self.simple_reply(attempt, outcome),
        }
    }

    /// Cancels an attempt and sends the cancellation to its target.
    pub(super) fn cancel_attempt(&mut self, attempt: usize) {
        self.attempts[attempt].is_over = true;
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].serving_gate, target);
        self.schedule.push(at, Event::CancelAtTarget { attempt });
    }

    pub(super) fn cancel_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].running.retain(|a| *a != attempt);
    }
}
