use std::time::Duration;

use bay_time::Time;

/// Steps of a planned stop, up to the end of the grace period.
#[derive(Debug, Clone, Copy)]
pub struct StopSchedule {
    started: Time,
    /// Time from the start to the end of the process.
    length: Duration,
    /// Time before the end at which the requests still in flight are cut off.
    cutoff_lead: Duration,
    /// When the last connection was accepted; `None` while connections are accepted.
    closed_at: Option<Time>,
}

/// What a router does in a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopStep {
    /// Accepts connections, as the balancer may not have noticed yet that the router is not ready.
    Accept,
    /// Finishes the requests in flight.
    Finish,
    /// Answers the requests that are still in flight itself.
    CutOff,
    /// Ends the process.
    End,
}

impl StopSchedule {
    /// Time for which a stopping router still accepts connections. The balancer probes once a second
    /// and sends no more connections after two failed probes.
    const ACCEPT_TIME: Duration = Duration::from_millis(2_300);
    /// Time after the last connection was accepted before which the process does not end. The request
    /// on a connection that has just been accepted is not counted as in flight before it is read.
    const SETTLE_TIME: Duration = Duration::from_millis(150);
    /// Longest part of the grace period that is reserved for the process to exit.
    const MAX_MARGIN: Duration = Duration::from_millis(300);
    /// Longest time before the end of the stop at which the requests still in flight are answered by the
    /// router itself, so that their callers don't lose the connection without an answer.
    const MAX_CUTOFF_LEAD: Duration = Duration::from_millis(400);
    /// The last part of the grace period, a sixth, in which requests may be broken off although their
    /// servers are at work. Cut-off and exit lie within it.
    const LAST_PARTS: u32 = 6;
    /// Share of the last part that is reserved for the process to exit.
    const MARGIN_SHARE: f64 = 0.3;
    /// Share of the last part between the cut-off and the end. The rest, before the cut-off, is for the
    /// answers of servers that have just ended their work.
    const CUTOFF_SHARE: f64 = 0.4;

    /// Creates the schedule of a stop that starts now and ends within the grace period.
    pub fn new(now: Time, grace: Duration) -> StopSchedule {
        let last_part = grace / StopSchedule::LAST_PARTS;
        let margin = last_part.mul_f64(StopSchedule::MARGIN_SHARE).min(StopSchedule::MAX_MARGIN);
        let cutoff_lead =
            last_part.mul_f64(StopSchedule::CUTOFF_SHARE).min(StopSchedule::MAX_CUTOFF_LEAD);
        StopSchedule { started: now, length: grace - margin, cutoff_lead, closed_at: None }
    }

    /// Returns when the requests still in flight are cut off.
    fn cutoff_at(&self) -> Time {
        self.started + (self.length - self.cutoff_lead)
    }

    /// Returns for how long connections are accepted.
    fn accept_time(&self) -> Duration {
        StopSchedule::ACCEPT_TIME.min(self.length / 2)
    }

    /// Returns the latest time at which a request may be passed on to a server, if its caller and its
    /// route wait for `time_left` from then on.
    ///
    /// Requests on the last connections accepted are passed on in any case. A later one is only passed on
    /// if its own time ends before the cut-off: it would otherwise be broken off at a server that is at
    /// work, while another router can still take it.
    pub fn latest_send(&self, time_left: Duration) -> Time {
        let settled_at = self.started + self.accept_time() + StopSchedule::SETTLE_TIME;
        settled_at.max(self.cutoff_at() - time_left)
    }

    /// Returns whether a request that is expected to take `expected` at a server, and has `time_left` at
    /// most, may be passed on now.
    pub fn may_send(&self, now: Time, time_left: Duration, expected: Duration) -> bool {
        now <= self.latest_send(time_left) && now + expected.min(time_left) <= self.cutoff_at()
    }

    /// Records that the last connection was accepted.
    pub fn record_closed(&mut self, now: Time) {
        self.closed_at = Some(now);
    }

    /// Returns the current step; `is_busy` says whether requests are in flight.
    pub fn step(&self, now: Time, is_busy: bool) -> StopStep {
        let elapsed = now.since(self.started);
        let Some(closed_at) = self.closed_at else {
            return match elapsed < self.accept_time() {
                true => StopStep::Accept,
                false => StopStep::Finish,
            };
        };
        let is_settled = now.since(closed_at) >= StopSchedule::SETTLE_TIME;
        if elapsed >= self.length || (is_settled && !is_busy) {
            return StopStep::End;
        }
        match elapsed + self.cutoff_lead >= self.length {
            true => StopStep::CutOff,
            false => StopStep::Finish,
        }
    }
}
