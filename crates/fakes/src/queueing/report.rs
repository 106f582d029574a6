use std::time::Duration;

use hdrhistogram::Histogram;

/// Results of a run. They leave out the settling time unless a field says otherwise.
#[derive(Debug, Clone)]
pub struct Report {
    /// Latencies of answered requests at the gate, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests sent by callers, retries after a refusal included.
    pub offered: u64,
    /// Answered requests.
    pub answered: u64,
    /// Refused requests.
    pub refused: u64,
    /// Attempts that reached a target.
    pub attempts: u64,
    /// Attempts started as hedges, settling time included.
    pub hedges: u64,
    /// Attempts that a target refused because they exceeded its capacity.
    pub excess: u64,
    /// Part of `excess` at targets in a cold start.
    pub cold_excess: u64,
    /// Part of `cold_excess` that was sent after the first refusal had reached a gate and a
    /// message from there could have reached all gates.
    pub cold_excess_after_notice: u64,
    /// Attempts sent to a target more than two seconds after its zone was taken out of service,
    /// settling time included.
    pub sent_out_of_service: u64,
    /// Highest number of attempts that one target ran at once, settling time included.
    pub peak_running: usize,
    /// Messages sent between gates, lost ones included.
    pub messages: u64,
    /// Bytes of `messages`, without network headers.
    pub message_bytes: u64,
    /// Size of the largest pool at the end, in bytes.
    pub state_bytes: usize,
    /// Answered requests in each tenth of a second, settling time included.
    pub answered_by_tenth: Vec<u32>,
    /// Retry delays given to refused callers, in milliseconds.
    pub retry_after_ms: Histogram<u64>,
    /// Answered requests of customer 0, which is the heavy one if the scenario has one.
    pub heavy_answered: u64,
    /// Requests sent by the other customers.
    pub light_offered: u64,
    /// Answered requests of the other customers.
    pub light_answered: u64,
    /// Sum of the latencies of answered requests.
    pub latency_sum: Duration,
}

impl Report {
    /// Entries of `answered_by_tenth` per second.
    pub const TENTHS: u32 = 10;

    /// Highest recorded latency in microseconds; longer ones count as this.
    const MAX_VALUE: u64 = 600_000_000;

    pub(super) fn new(end: Duration) -> Report {
        let histogram = || {
            let histogram = Histogram::new_with_max(Report::MAX_VALUE, 3);
            histogram.expect("the bound and three digits are constants that fit")
        };
        let tenths = (end.as_millis() / 100) as usize + 1;
        Report {
            latency: histogram(),
            offered: 0,
            answered: 0,
            refused: 0,
            attempts: 0,
            hedges: 0,
            excess: 0,
            cold_excess: 0,
            cold_excess_after_notice: 0,
            sent_out_of_service: 0,
            peak_running: 0,
            messages: 0,
            message_bytes: 0,
            state_bytes: 0,
            answered_by_tenth: vec![0; tenths],
            retry_after_ms: histogram(),
            heavy_answered: 0,
            light_offered: 0,
            light_answered: 0,
            latency_sum: Duration::ZERO,
        }
    }

    /// Adds the latencies, requests, attempts, hedges and excess of another run.
    pub fn merge(&mut self, other: &Report) {
        self.latency += &other.latency;
        self.latency_sum += other.latency_sum;
        self.offered += other.offered;
        self.answered += other.answered;
        self.refused += other.refused;
        self.attempts += other.attempts;
        self.hedges += other.hedges;
        self.excess += other.excess;
    }

    /// Returns the mean latency in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.latency_sum.as_secs_f64() * 1e3 / self.answered.max(1) as f64
    }

    /// Returns a percentile from 0 to 100 of the latencies, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Returns the answered requests as a fraction of the offered ones.
    pub fn answered_fraction(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }

    /// Returns the attempts that reached a target, per offered request.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.offered.max(1) as f64
    }

    /// Returns the answered requests per second between two times since the start of the run.
    pub fn goodput(&self, from: Duration, until: Duration) -> f64 {
        let tenth = |at: Duration| (at.as_millis() / 100) as usize;
        let done: u32 = self.answered_by_tenth[tenth(from)..tenth(until)].iter().sum();
        f64::from(done) / (until - from).as_secs_f64()
    }
}
