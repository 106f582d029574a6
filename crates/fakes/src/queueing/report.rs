use std::time::Duration;

use hdrhistogram::Histogram;

/// What one run showed.
#[derive(Debug, Clone)]
pub struct Report {
    /// Latencies of answered requests at the gate, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that callers sent.
    pub offered: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests refused.
    pub refused: u64,
    /// Attempts that reached a target.
    pub attempts: u64,
    /// Attempts started as hedges.
    pub hedges: u64,
    /// Attempts that a target refused as above its slots or capacity.
    pub excess: u64,
    /// Of these, those at a target in a cold start.
    pub cold_excess: u64,
    /// Of these, those sent after the first refusal had reached a gate and one message could
    /// have told all gates.
    pub cold_excess_after_notice: u64,
    /// Attempts sent to a target out of service more than two seconds after the operators' word.
    pub sent_out_of_service: u64,
    /// Most attempts that one target ran at once.
    pub peak_running: usize,
    /// Messages between gates.
    pub messages: u64,
    /// Their bytes, without the network's own headers.
    pub message_bytes: u64,
    /// Bytes of the largest pool's state at the end.
    pub state_bytes: usize,
    /// Requests answered in each tenth of a second of the run.
    pub answered_by_tenth: Vec<u32>,
    /// Times that refused callers were told to come back after, in milliseconds.
    pub retry_after_ms: Histogram<u64>,
    /// Requests answered for the heavy customer.
    pub heavy_answered: u64,
    /// Requests that the other customers sent.
    pub light_offered: u64,
    /// Requests answered for the other customers.
    pub light_answered: u64,
    /// Latency of answers, summed.
    pub latency_sum: Duration,
}

impl Report {
    /// Tenths of a second in a second.
    pub const TENTHS: u32 = 10;

    /// Largest latency told apart, in microseconds.
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

    /// Adds another run's latencies, requests and hedges.
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

    /// Mean latency, in milliseconds.
    pub fn mean_ms(&self) -> f64 {
        self.latency_sum.as_secs_f64() * 1e3 / self.answered.max(1) as f64
    }

    /// A percentile of the latencies, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.latency.value_at_percentile(percentile) as f64 / 1e3
    }

    /// Requests answered, as a fraction of those sent.
    pub fn answered_fraction(&self) -> f64 {
        self.answered as f64 / self.offered.max(1) as f64
    }

    /// Attempts that reached targets, as a fraction of the requests that callers sent.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts as f64 / self.offered.max(1) as f64
    }

    /// Requests answered a second between two times of the run.
    pub fn goodput(&self, from: Duration, until: Duration) -> f64 {
        let tenth = |at: Duration| (at.as_millis() / 100) as usize;
        let done: u32 = self.answered_by_tenth[tenth(from)..tenth(until)].iter().sum();
        f64::from(done) / (until - from).as_secs_f64()
    }
}
