use std::time::Duration;

use bay_capacity::{CapacitySample, LearnedCapacity, ServerId};
use bay_time::Time;

use crate::server_learning::ServerLearning;
use crate::{LoadReport, RateLimitState, ServerEntry, ServerState, WarmUpLimiter};

/// A server with its load and latency as this router observes them.
#[derive(Debug, Clone)]
pub struct Server {
    /// The last entry that the server wrote to the store.
    pub entry: ServerEntry,
    /// When each attempt of this router at the server that hasn't ended yet was decided.
    in_flight: Vec<Time>,
    /// When the removal of the entry takes effect, if the entry lapsed during a store outage.
    pub(crate) removal_at: Option<Time>,
    /// End of the warm-up that the server reported.
    pub(crate) cold_until: Time,
    pub(crate) warm_up_limiter: WarmUpLimiter,
    /// Limit of the requests of all routers, as the server named it.
    pub(crate) rate_limit: RateLimitState,
    /// Earliest time for which a permit is granted, by the last denial.
    pub(crate) next_permit_at: Time,
    /// Moving average of the time of a request without queueing, in milliseconds.
    service_ms: Option<f64>,
    /// Number and sum in milliseconds of the times without queueing since the last report.
    unreported: (u16, f64),
    /// Moving average of the share of requests that the server failed or didn't run.
    failure_rate: f64,
    /// Requests at the server by the last load report, if it has not been sent to the granter.
    unreported_occupancy: Option<u16>,
    /// The last load report of the server.
    load_sample: Option<LoadSample>,
    /// End of the backoff after failed connections; the server gets no requests before.
    backoff_until: Time,
    /// Failed connections in a row.
    connect_failures: u32,
    /// Number of this router's connections to the server that are idle, by the answers on them.
    idle_connections: u32,
    /// When the last of them became idle.
    idle_since: Time,
    learning: ServerLearning,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    load: LoadReport,
    /// Requests at the server that other routers sent.
    others: u32,
    /// Moving average of such numbers in the reports up to this one.
    mean_others: f64,
    /// When the report arrived.
    at: Time,
}

impl Server {
    /// Weight of a new measurement in a moving average.
    const EWMA_WEIGHT: f64 = 0.15;
    /// Age at which a report counts as much as the mean of the earlier ones.
    const REPORT_HALF_LIFE: Duration = Duration::from_millis(400);
    /// Age at which the mean of the reports counts half.
    const MEAN_HALF_LIFE: Duration = Duration::from_millis(3_000);
    /// Time over which the reports are averaged.
    const MEAN_TIME_CONSTANT: Duration = Duration::from_millis(1_500);
    /// Age after which a reported slowdown is ignored.
    const SLOWDOWN_MAX_AGE: Duration = Duration::from_millis(300);
    /// Share of a reported slowdown that is assumed to last for the next request.
    const SLOWDOWN_WEIGHT: f64 = 0.5;
    /// Weight of the failure rate in a server's cost.
    const FAILURE_WEIGHT: f64 = 12.0;
    /// Backoff after a failed connection; it doubles with each further one.
    const BASE_BACKOFF: Duration = Duration::from_millis(200);
    /// Upper bound of the doublings of the backoff.
    const MAX_BACKOFF_DOUBLINGS: u32 = 4;

    /// Age up to which a load report is taken for that of the answer that is recorded.
    const SAME_ANSWER_TIME: Duration = Duration::from_millis(20);
    /// Idle time within which a connection is expected to be reused for any request.
    const REUSE_TIME: Duration = Duration::from_millis(1_400);

    /// Creates a server without measurements.
    pub fn new(now: Time, entry: ServerEntry) -> Server {
        let cold_until = now + entry.warm_up_left;
        Server {
            entry,
            in_flight: Vec::new(),
            removal_at: None,
            cold_until,
            warm_up_limiter: WarmUpLimiter::new(now),
            rate_limit: RateLimitState::default(),
            next_permit_at: Time::ZERO,
            service_ms: None,
            unreported: (0, 0.0),
            failure_rate: 0.0,
            unreported_occupancy: None,
            load_sample: None,
            backoff_until: Time::ZERO,
            connect_failures: 0,
            idle_connections: 0,
            idle_since: Time::ZERO,
            learning: ServerLearning::default(),
        }
    }

    /// Replaces the entry by a newer one of the same incarnation.
    pub fn update(&mut self, now: Time, entry: ServerEntry) {
        self.cold_until = now + entry.warm_up_left;
        self.entry = entry;
    }

    /// Returns the entry with the remaining warm-up time as of `now`.
    pub fn current_entry(&self, now: Time) -> ServerEntry {
        ServerEntry { warm_up_left: self.cold_until.since(now), ..self.entry.clone() }
    }

    /// Returns whether the entry lapsed and its removal is due.
    pub(crate) fn has_lapsed(&self, now: Time) -> bool {
        self.removal_at.is_some_and(|at| now >= at)
    }

    /// Returns whether the server's last entry says that it takes requests.
    pub fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    /// Returns whether the server reported a warm-up that isn't over yet.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns the requests per second that the server takes from all routers together, if it has
    /// named a limit.
    pub fn rate_limit(&self, now: Time) -> Option<f64> {
        self.rate_limit.per_second(now)
    }

    /// Returns the known wait for a permit; zero if the server names no rate limit.
    pub fn permit_wait(&self, now: Time) -> Duration {
        self.rate_limit(now).map_or(Duration::ZERO, |_| self.next_permit_at.since(now))
    }

    /// Returns whether the server gets no requests because its connections failed.
    pub fn is_backing_off(&self, now: Time) -> bool {
        now < self.backoff_until
    }

    /// Returns the end of the last backoff; [`Time::ZERO`] if there was none, or an answer came
    /// since.
    pub fn backoff_until(&self) -> Time {
        self.backoff_until
    }

    /// Returns the mean time of a request without queueing, in milliseconds, if it was measured.
    pub fn service_ms(&self) -> Option<f64> {
        self.service_ms
    }

    /// Drains the service times measured since the last call.
    ///
    /// Returns their number and their mean in milliseconds, or `None` if there are none.
    pub fn drain_measurements(&mut self) -> Option<(u16, f64)> {
        let (count, sum) = std::mem::take(&mut self.unreported);
        (count > 0).then(|| (count, sum / f64::from(count)))
    }

    /// Takes the number of requests at the server by the last load report since the last call.
    pub(crate) fn take_occupancy(&mut self) -> Option<u16> {
        self.unreported_occupancy.take()
    }

    /// Adds a service time to those that are not reported yet.
    fn record_sample(&mut self, sample_ms: f64) {
        let (count, sum) = &mut self.unreported;
        *count = count.saturating_add(1);
        *sum += sample_ms;
    }

    /// Estimates the requests that run or wait at the server.
    ///
    /// This router's requests count in full. For those of others, the last report counts less the
    /// older it is, and the mean of the reports takes its place. Where capacities are learned, they
    /// already account for lasting differences.
    pub fn occupancy(&self, now: Time) -> f64 {
        let others = self.load_sample.map_or(0.0, |sample| {
            let age = now.since(sample.at);
            let mean = match self.learned_capacity(now) {
                Some(_) => 0.0,
                None => sample.mean_others * half_life_factor(age, Server::MEAN_HALF_LIFE),
            };
            mean + (f64::from(sample.others) - mean)
                * half_life_factor(age, Server::REPORT_HALF_LIFE)
        });
        self.in_flight.len() as f64 + others
    }

    /// Estimates whether one more request would run at once.
    pub fn has_free_slot(&self, now: Time) -> bool {
        self.occupancy(now) + 1.0 <= self.sustained_concurrency(now)
    }

    /// Estimates the time of one more request, in milliseconds.
    ///
    /// `average_ms` stands in for the service time if none was measured.
    pub fn expected_ms(&self, now: Time, average_ms: f64) -> f64 {
        let slots = self.sustained_concurrency(now);
        let queued = (self.occupancy(now) + 1.0 - slots).max(0.0);
        let slowdown = match self.load_sample {
            Some(sample) if now.since(sample.at) < Server::SLOWDOWN_MAX_AGE => {
                1.0 + (sample.load.slowdown - 1.0) * Server::SLOWDOWN_WEIGHT
            }
            _ => 1.0,
        };
        let base_ms = match self.learned_capacity(now) {
            Some(learned) => learned.base_ms,
            None => self.service_ms.unwrap_or(average_ms),
        };
        let service_ms = base_ms * slowdown;
        // A server that turns slow or silent shows it first by the answers that are missing.
        let oldest = self.oldest_in_flight().map_or(0.0, |sent| now.since(sent).as_secs_f64());
        service_ms.max(oldest * 1000.0) * (1.0 + queued / slots)
    }

    /// Returns the estimate from the answers to all routers, if there is a recent one.
    pub fn learned_capacity(&self, now: Time) -> Option<LearnedCapacity> {
        self.learning.shared(now)
    }

    /// Replaces the estimate from the answers to all routers.
    pub(crate) fn set_learned_capacity(&mut self, now: Time, learned: LearnedCapacity) {
        self.learning.set_shared(now, learned);
    }

    /// Returns the number of requests that the server runs without slowing down: its slots, unless
    /// fewer were learned.
    fn sustained_concurrency(&self, now: Time) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        self.learned_capacity(now).map_or(slots, |learned| learned.concurrency.min(slots))
    }

    /// Returns whether the server is so much slower than the average that it is probed.
    pub(crate) fn is_slow(&self, now: Time, average_ms: f64) -> bool {
        self.learning.is_slow(now, average_ms)
    }

    /// Returns whether this router should check whether a slow server has recovered.
    pub(crate) fn is_probe_due(
        &self,
        now: Time,
        average_ms: f64,
        routers: u32,
        rank: impl Fn() -> u64,
    ) -> bool {
        self.learning.is_probe_due(now, average_ms, routers, rank)
    }

    /// Adds an answer to the samples for the granter. Returns the share of the sustained concurrency
    /// that other requests used.
    pub(crate) fn record_capacity_answer(
        &mut self,
        now: Time,
        elapsed: Duration,
        sent_occupancy: f64,
    ) -> f64 {
        let (concurrency, slowdown) = self.observed_load(now, sent_occupancy);
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        self.learning.record_answer(now, elapsed_ms, concurrency, slowdown);
        (concurrency - 1.0) / self.sustained_concurrency(now)
    }

    /// Adds a request that the server refused to run to the samples for the granter.
    pub(crate) fn record_capacity_refusal(&mut self, now: Time, sent_occupancy: f64) {
        let (concurrency, _) = self.observed_load(now, sent_occupancy);
        self.learning.pending.record_refusal(concurrency);
    }

    /// Returns the concurrency and the slowdown that go with an answer that has just arrived.
    fn observed_load(&self, now: Time, sent_occupancy: f64) -> (f64, f64) {
        let reported = self
            .load_sample
            .filter(|sample| now.since(sample.at) < Server::SAME_ANSWER_TIME)
            .map(|sample| sample.load);
        let total = reported.map_or(0.0, |load| f64::from(load.running) + f64::from(load.waiting));
        let slowdown = reported.map_or(1.0, |load| load.slowdown);
        (total.max(sent_occupancy + 1.0), slowdown)
    }

    /// Returns whether there are samples for the granter.
    pub(crate) fn has_capacity_samples(&self) -> bool {
        !self.learning.pending.is_empty()
    }

    /// Drains the samples for the granter.
    pub(crate) fn drain_capacity_samples(&mut self, id: ServerId) -> Option<CapacitySample> {
        self.learning.pending.drain(id)
    }

    /// Returns the number of this router's attempts that haven't ended.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns when the oldest attempt that hasn't ended was decided.
    pub fn oldest_in_flight(&self) -> Option<Time> {
        self.in_flight.iter().min().copied()
    }

    /// Records that an attempt that was decided at `picked_at` is about to be sent.
    pub(crate) fn record_sent(&mut self, now: Time, picked_at: Time) {
        self.learning.record_sent(now);
        self.in_flight.push(picked_at);
    }

    /// Records that an attempt that was decided at `picked_at` has ended.
    pub(crate) fn record_finished(&mut self, picked_at: Time) {
        if let Some(at) = self.in_flight.iter().position(|sent| *sent == picked_at) {
            self.in_flight.swap_remove(at);
        }
    }

    /// Returns whether this router likely has an idle connection that the next request can use.
    pub fn has_idle_connection(&self, now: Time) -> bool {
        self.idle_connections > 0 && now.since(self.idle_since) < Server::REUSE_TIME
    }

    /// Records that a request takes an idle connection, or a new one if there is none.
    pub(crate) fn record_connection_taken(&mut self, now: Time) {
        match self.has_idle_connection(now) {
            true => self.idle_connections -= 1,
            false => self.idle_connections = 0,
        }
    }

    /// Records that a request was answered, so that its connection is idle.
    pub(crate) fn record_connection_idle(&mut self, now: Time) {
        self.idle_connections += 1;
        self.idle_since = now;
    }

    /// Records that a connection broke or was given up; the others may be broken too.
    pub(crate) fn record_connections_lost(&mut self) {
        self.idle_connections = 0;
    }

    /// Returns the factor by which failures raise the server's expected time.
    pub fn failure_penalty(&self) -> f64 {
        1.0 + Server::FAILURE_WEIGHT * self.failure_rate
    }

    /// Records the load report of an answer.
    pub fn record_load(&mut self, now: Time, load: LoadReport) {
        let total = load.running.saturating_add(load.waiting);
        self.unreported_occupancy = Some(total.try_into().unwrap_or(u16::MAX));
        // This router's requests, the answered one included, are counted in `in_flight`.
        let others = total.saturating_sub(self.in_flight.len() as u32);
        let mean_others = self.load_sample.map_or(f64::from(others), |earlier| {
            let age = now.since(earlier.at).as_secs_f64();
            let weight = 1.0 - (-age / Server::MEAN_TIME_CONSTANT.as_secs_f64()).exp();
            earlier.mean_others + weight * (f64::from(others) - earlier.mean_others)
        });
        self.load_sample = Some(LoadSample { load, others, mean_others, at: now });
    }

    /// Returns the load that the server has reported recently.
    pub(crate) fn recent_load(&self, now: Time) -> Option<LoadReport> {
        let sample = self.load_sample.as_ref();
        let recent = sample.filter(|sample| now.since(sample.at) < Server::SLOWDOWN_MAX_AGE);
        recent.map(|sample| sample.load)
    }

    /// Returns the time that a request would have taken without queueing at the server.
    pub(crate) fn time_without_queueing(&self, elapsed: Duration, sent_occupancy: f64) -> Duration {
        let queued = self.queued_before(sent_occupancy).max(0.0);
        elapsed.div_f64(1.0 + queued / f64::from(self.entry.slots.max(1)))
    }

    /// Estimates the requests that waited before one that was sent at an occupancy; below zero if slots
    /// were free.
    fn queued_before(&self, sent_occupancy: f64) -> f64 {
        let waiting = self.load_sample.map_or(0.0, |sample| f64::from(sample.load.waiting));
        (sent_occupancy + 1.0 - f64::from(self.entry.slots.max(1))).max(waiting)
    }

    /// Records that the server ran and answered a request.
    ///
    /// `sent_occupancy` is the server's occupancy when the request was sent. The first sample sets
    /// the mean time, corrected for queueing. Later, only requests that didn't queue change it.
    pub fn record_answer(&mut self, elapsed: Duration, sent_occupancy: f64, failed: bool) {
        self.connect_failures = 0;
        self.backoff_until = Time::ZERO;
        self.failure_rate +=
            Server::EWMA_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        if failed {
            // A failed request often ends early, so its time would make the server look fast.
            return;
        }
        let slots = f64::from(self.entry.slots.max(1));
        let queued = self.queued_before(sent_occupancy);
        let sample = elapsed.as_secs_f64() * 1000.0;
        // The granter averages over many samples and needs those of busy servers too.
        self.record_sample(sample / (1.0 + queued.max(0.0) / slots));
        self.service_ms = match self.service_ms {
            None => Some(sample / (1.0 + queued / slots)),
            Some(mean) if queued <= 0.0 => Some(mean + Server::EWMA_WEIGHT * (sample - mean)),
            mean => mean,
        };
    }

    /// Records that the server didn't answer a request in time.
    ///
    /// Otherwise only the timely answers of a slow server would count, and it would look fast.
    pub fn record_timeout(&mut self, elapsed: Duration, sent_occupancy: f64) {
        self.record_failure();
        let sample = elapsed.as_secs_f64() * 1000.0;
        let slots = f64::from(self.entry.slots.max(1));
        let queued = (sent_occupancy + 1.0 - slots).max(0.0);
        self.record_sample(sample / (1.0 + queued / slots));
        let mean = self.service_ms.unwrap_or(0.0);
        if queued <= 0.0 && sample > mean {
            self.service_ms = Some(mean + Server::EWMA_WEIGHT * (sample - mean));
        }
    }

    /// Records that the server didn't run a request, or that its answer was lost.
    pub fn record_failure(&mut self) {
        self.failure_rate += Server::EWMA_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records that no connection to the server could be opened, and starts a backoff.
    pub fn record_connect_failure(&mut self, now: Time) {
        let backoff =
            Server::BASE_BACKOFF * (1 << self.connect_failures.min(Server::MAX_BACKOFF_DOUBLINGS));
        self.connect_failures += 1;
        self.backoff_until = now + backoff;
    }
}

/// Returns what is left of a value after a time in which it halves every `half_life`.
fn half_life_factor(elapsed: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(elapsed.as_secs_f64() / half_life.as_secs_f64())
}
