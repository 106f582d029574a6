use std::time::Duration;

use bay_time::Time;

use crate::{LoadReport, ServerEntry, ServerState, WarmUpLimiter};

/// A server as this router sees it.
#[derive(Debug, Clone)]
pub struct Server {
    /// What it last said of itself.
    pub entry: ServerEntry,
    /// Requests that this router has sent to it and that are not answered.
    pub in_flight: u32,
    /// When the removal of its entry takes effect, if the entry lapsed in an outage of the store.
    pub(crate) ends_at: Option<Time>,
    pub(crate) cold_until: Time,
    pub(crate) cold: WarmUpLimiter,
    /// Time of a request without queueing, in milliseconds, as a moving average.
    service_ms: Option<f64>,
    /// Times without queueing since they were last reported: their number and sum.
    measured: (u16, f64),
    /// Share of recent requests that it failed or did not run.
    failing: f64,
    report: Option<Reported>,
    /// No requests are sent until then, after its connections failed.
    backoff_until: Time,
    refusals: u32,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
    load: LoadReport,
    others: u32,
    at: Time,
}

impl Server {
    /// Weight of a new measurement in a moving average.
    const GAIN: f64 = 0.15;
    /// Age at which a report of queued requests counts half.
    const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
    /// Age after which a report of slowdown says nothing.
    const SLOWDOWN_SPAN: Duration = Duration::from_millis(300);
    /// How much of a reported slowdown is expected to last for a request.
    const SLOWDOWN_WEIGHT: f64 = 0.5;
    /// How strongly failures count against a server.
    const FAILING_WEIGHT: f64 = 12.0;
    /// Pause after a failed connection; it doubles with each further one.
    const AVOID: Duration = Duration::from_millis(200);
    /// Most doublings of the pause.
    const MAX_DOUBLINGS: u32 = 4;

    /// A server of which only its entry is known.
    pub fn new(now: Time, entry: ServerEntry) -> Server {
        let cold_until = now + entry.warm_up_left;
        Server {
            entry,
            in_flight: 0,
            ends_at: None,
            cold_until,
            cold: WarmUpLimiter::new(now),
            service_ms: None,
            measured: (0, 0.0),
            failing: 0.0,
            report: None,
            backoff_until: Time::ZERO,
            refusals: 0,
        }
    }

    /// Takes a newer entry of the same life of the server.
    pub fn update(&mut self, now: Time, entry: ServerEntry) {
        self.cold_until = now + entry.warm_up_left;
        self.entry = entry;
    }

    /// Its entry as it would say it now.
    pub fn current_entry(&self, now: Time) -> ServerEntry {
        ServerEntry { warm_up_left: self.cold_until.since(now), ..self.entry.clone() }
    }

    /// Whether it is gone although its entry may have come back.
    pub(crate) fn has_ended(&self, now: Time) -> bool {
        self.ends_at.is_some_and(|at| now >= at)
    }

    /// Whether it takes requests as far as it says.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Whether it is cold after a start.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Whether its connections failed a moment ago.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// When requests may be sent to it again after its connections failed.
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Time of a request without queueing, in milliseconds, if it was measured.
    pub fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// How many requests without queueing were measured since the last call, and their mean time
    /// in milliseconds.
    pub fn drain_measurements(&mut self) -> Option<(u16, f64)> {
        let (count, sum) = std::mem::take(&mut self.measured);
        (count > 0).then(|| (count, sum / f64::from(count)))
    }

    fn measure(&mut self, sample_ms: f64) {
        let (count, sum) = &mut self.measured;
        *count = count.saturating_add(1);
        *sum += sample_ms;
    }

    /// Requests that run or wait at the server, as far as is known.
    pub fn occupancy(&self, now: Time) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.since(report.at).as_secs_f64();
            let halves = age / Server::REPORT_HALF_LIFE.as_secs_f64();
            f64::from(report.others) * 0.5_f64.powf(halves)
        });
        f64::from(self.in_flight) + others
    }

    /// Whether one more request would be run at once, as far as is known.
    pub fn has_free_slot(&self, now: Time) -> bool {
        self.occupancy(now) + 1.0 <= f64::from(self.entry.slots.max(1))
    }

    /// Expected time of one more request, in milliseconds.
    pub fn expected_ms(&self, now: Time, average_ms: f64) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let queued = (self.occupancy(now) + 1.0 - slots).max(0.0);
        let slowdown = match self.report {
            Some(report) if now.since(report.at) < Server::SLOWDOWN_SPAN => {
                1.0 + (report.load.slowdown - 1.0) * Server::SLOWDOWN_WEIGHT
            }
            _ => 1.0,
        };
        let service_ms = self.service_ms.unwrap_or(average_ms) * slowdown;
        service_ms * (1.0 + queued / slots)
    }

    /// How much worse than its expected time tells a server is, for what it fails.
    pub fn failure_penalty(&self) -> f64 {
        1.0 + Server::FAILING_WEIGHT * self.failing
    }

    /// Takes the load report of an answer.
    pub fn record_load(&mut self, now: Time, load: LoadReport) {
        let total = load.running + load.waiting;
        // The answered request and this router's others are counted as in flight.
        let others = total.saturating_sub(self.in_flight);
        self.report = Some(Reported { load, others, at: now });
    }

    /// Takes note that it answered a request that it ran.
    ///
    /// Only requests that did not queue tell the time without queueing.
    pub fn record_answer(&mut self, took: Duration, sent_occupancy: f64, failed: bool) {
        self.refusals = 0;
        self.backoff_until = Time::ZERO;
        self.failing += Server::GAIN * (f64::from(u8::from(failed)) - self.failing);
        if failed {
            // A failure may come sooner than an answer.
            return;
        }
        let slots = f64::from(self.entry.slots.max(1));
        let waiting = self.report.map_or(0.0, |report| f64::from(report.load.waiting));
        let queued = (sent_occupancy + 1.0 - slots).max(waiting);
        let sample = took.as_secs_f64() * 1000.0;
        // The granter averages over many, and has to hear of busy servers too.
        self.measure(sample / (1.0 + queued.max(0.0) / slots));
        self.service_ms = match self.service_ms {
            None => Some(sample / (1.0 + queued / slots)),
            Some(mean) if queued <= 0.0 => Some(mean + Server::GAIN * (sample - mean)),
            known => known,
        };
    }

    /// Takes note that it did not answer a request in time.
    ///
    /// Without these, only the answers that a slow server still gave in time would be counted.
    pub fn record_timeout(&mut self, took: Duration, sent_occupancy: f64) {
        self.record_failure();
        let sample = took.as_secs_f64() * 1000.0;
        let slots = f64::from(self.entry.slots.max(1));
        let queued = (sent_occupancy + 1.0 - slots).max(0.0);
        self.measure(sample / (1.0 + queued / slots));
        let mean = self.service_ms.unwrap_or(0.0);
        if queued <= 0.0 && sample > mean {
            self.service_ms = Some(mean + Server::GAIN * (sample - mean));
        }
    }

    /// Takes note that it did not run a request, or that its answer was lost.
    pub fn record_failure(&mut self) {
        self.failing += Server::GAIN * (1.0 - self.failing);
    }

    /// Takes note that no connection to it could be opened.
    pub fn record_connect_failure(&mut self, now: Time) {
        let pause = Server::AVOID * (1 << self.refusals.min(Server::MAX_DOUBLINGS));
        self.refusals += 1;
        self.backoff_until = now + pause;
    }
}
