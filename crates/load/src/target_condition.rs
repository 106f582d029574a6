use std::time::Duration;

use bay_time::Time;
use bay_wire::TargetCondition;

use crate::latencies::Pace;
use crate::{AttemptOutcome, Observation, Pool, Rejection, TargetId};

impl Pool {
    /// Records the outcome of an attempt and updates its target's condition.
    pub fn observe(&mut self, now: Time, id: TargetId, observation: Observation) {
        self.drain_releases(now);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let pace = self.latencies.classify(observation.latency, observation.reported);
        match observation.outcome {
            AttemptOutcome::Answered => {
                target.has_suspect_connections = false;
                self.latencies.record(now, observation.latency);
                self.retry_pacer.record_response(now);
                self.record_pace(now, id, pace, observation.latency);
            }
            AttemptOutcome::Cancelled if pace == Pace::InTime => {}
            AttemptOutcome::Cancelled => self.record_pace(now, id, pace, observation.latency),
            AttemptOutcome::Rejected(Rejection::NotOwner) => {}
            AttemptOutcome::Rejected(Rejection::Cold | Rejection::Shed)
            | AttemptOutcome::Failed => self.handle_cold(now, id),
            AttemptOutcome::Rejected(Rejection::Draining) => self.handle_slow(now, id),
            AttemptOutcome::Silent => {
                target.has_suspect_connections = true;
                self.handle_slow(now, id);
            }
        }
        self.ready_list.refresh(&mut self.targets, id, now);
        self.schedule_sweep(now);
    }

    /// Restarts a target's warm-up, or reports the cold start to the target's home.
    fn handle_cold(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match &mut target.ledger {
            Some(ledger) => {
                ledger.capacity.restart(now);
                self.recall(id, None);
            }
            None => {
                self.report_to_home(id, TargetCondition::Cold);
                self.return_loans(now, id);
            }
        }
    }

    /// Marks a target as slow, or reports it as slow to its home.
    pub(crate) fn handle_slow(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.late_streak.reset();
        match &mut target.ledger {
            Some(ledger) => {
                ledger.mark_slow(now);
                self.recall(id, None);
            }
            None => {
                self.report_to_home(id, TargetCondition::Slow);
                self.return_loans(now, id);
            }
        }
    }

    /// Updates a target's condition from an attempt's pace.
    fn record_pace(&mut self, now: Time, id: TargetId, pace: Pace, latency: Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match pace {
            Pace::InTime => self.handle_fast(id, now - latency),
            Pace::Late => {
                if target.late_streak.record_late() {
                    self.handle_slow(now, id);
                }
            }
            Pace::Slow => self.handle_slow(now, id),
        }
    }

    /// Handles an attempt, started at this time, that ended in time. It clears the slow mark only
    /// if it was started after the target was marked or lent for a trial.
    fn handle_fast(&mut self, id: TargetId, started: Time) {
        let target = &mut self.targets[id];
        target.late_streak.reset();
        match &mut target.ledger {
            Some(ledger) => ledger.mark_fast(started),
            None if target.trial_since.is_some_and(|since| started >= since) => {
                target.trial_since = None;
                self.report_to_home(id, TargetCondition::Fast);
            }
            None => {}
        }
    }
}
