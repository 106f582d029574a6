use std::time::Duration;

use bay_time::Time;
use bay_wire::TargetCondition;

use crate::latencies::Pace;
use crate::{NotRun, Observation, Pool, Seen, TargetId};

impl Pool {
    /// Takes what an attempt showed about its target.
    pub fn observe(&mut self, now: Time, id: TargetId, seen: Observation) {
        self.drain_releases(now);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let pace = self.latencies.pace(seen.latency, seen.reported);
        match seen.seen {
            Seen::Answered => {
                target.silent = false;
                self.latencies.record(now, seen.latency);
                self.return_times.answered(now);
                self.note_pace(now, id, pace, seen.latency);
            }
            Seen::Cancelled if pace == Pace::InTime => {}
            Seen::Cancelled => self.note_pace(now, id, pace, seen.latency),
            Seen::NotRun(NotRun::NotOwner) => {}
            Seen::NotRun(NotRun::Cold | NotRun::Shed) | Seen::Failed => self.saw_cold(now, id),
            Seen::NotRun(NotRun::Draining) => self.saw_slow(now, id),
            Seen::Silent => {
                target.silent = true;
                self.saw_slow(now, id);
            }
        }
        self.ready.refresh(&mut self.targets, id, now);
        self.arm(now);
    }

    /// Notes that a target of another home, or of this one, is in a cold start.
    fn saw_cold(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match &mut target.lender {
            Some(lender) => {
                lender.capacity.restart(now);
                self.recall(id, None);
            }
            None => {
                self.tell_home(id, TargetCondition::Cold);
                self.give_back_all(now, id);
            }
        }
    }

    /// Notes that a target answers much later than others.
    pub(crate) fn saw_slow(&mut self, now: Time, id: TargetId) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.health.fast();
        match &mut target.lender {
            Some(lender) => {
                lender.mark_slow(now);
                self.recall(id, None);
            }
            None => {
                self.tell_home(id, TargetCondition::Slow);
                self.give_back_all(now, id);
            }
        }
    }

    /// Notes how an attempt's time compares with others.
    fn note_pace(&mut self, now: Time, id: TargetId, pace: Pace, latency: Duration) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match pace {
            Pace::InTime => self.saw_fast(id, now - latency),
            Pace::Late => {
                if target.health.late() {
                    self.saw_slow(now, id);
                }
            }
            Pace::Slow => self.saw_slow(now, id),
        }
    }

    /// Notes that a target has answered an attempt, started at this time, as fast as others.
    fn saw_fast(&mut self, id: TargetId, started: Time) {
        let target = &mut self.targets[id];
        target.health.fast();
        match &mut target.lender {
            Some(lender) => lender.mark_fast(started),
            None if target.trial_since.is_some_and(|since| started >= since) => {
                target.trial_since = None;
                self.tell_home(id, TargetCondition::Fast);
            }
            None => {}
        }
    }
}
