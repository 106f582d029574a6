use std::collections::VecDeque;

use bay_time::Time;

use crate::{CapacitySample, LearnedCapacity};

/// Estimate of a server's base service time and of the concurrency up to which it keeps it.
#[derive(Debug, Clone)]
pub struct ServerEstimate {
    slots: f64,
    /// Moving average of the time without queueing, in milliseconds.
    base_ms: f64,
    /// Number of answers that the average covers, up to the span.
    answers: f64,
    /// The last base times, to find a sudden change.
    recent: VecDeque<f64>,
    /// Moving average of the inverse of the sustained concurrency.
    inverse_concurrency: f64,
    /// When the last answer arrived that the server sent without being busy.
    last_idle_answer: Time,
}

impl ServerEstimate {
    /// Number of answers that the average covers.
    const SPAN: f64 = 40.0;
    /// Number of last answers by which a sudden change is found.
    const RECENT: usize = 5;
    /// Number of them that have to lie beyond [`ServerEstimate::JUMP_RATIO`]. One may be an outlier.
    const RECENT_BEYOND: usize = 4;
    /// Ratio to the average, or its inverse, of answers that show a sudden change. Single answers
    /// vary by less than this in most cases, and a neighbour's reported effect is taken out before.
    const JUMP_RATIO: f64 = 2.0;
    /// Weight of an answer in the average of the inverse concurrency.
    const CONCURRENCY_WEIGHT: f64 = 0.04;
    /// Share of the slots from which an answer tells about the sustained concurrency.
    const BUSY_SHARE: f64 = 0.75;
    /// Share of the slots up to which an answer tells about the base time.
    const IDLE_SHARE: f64 = 0.5;
    /// Share of the slots from which the sustained concurrency counts as all slots. Without it,
    /// noise would limit servers that keep their time.
    const FULL_SHARE: f64 = 0.72;
    /// Largest ratio of an answer's time to the base time that counts for the concurrency. A server
    /// that turns slow as a whole does not lose its concurrency.
    const MAX_STRETCH: f64 = 3.0;
    /// Time without an answer of the idle server after which those of the busy server set the base.
    const IDLE_ANSWER_AGE_MS: u64 = 1_000;

    /// Creates an estimate from the first sample of a server with `slots`.
    pub fn new(slots: u32, first: &CapacitySample) -> ServerEstimate {
        let slots = f64::from(slots.max(1));
        let own = first.latency.as_ms() / (f64::from(first.concurrency) / slots).max(1.0);
        ServerEstimate {
            slots,
            base_ms: own,
            answers: 0.0,
            recent: VecDeque::new(),
            inverse_concurrency: 1.0 / slots,
            last_idle_answer: Time::ZERO,
        }
    }

    /// Adds a sample that arrived at `now`.
    pub fn record(&mut self, now: Time, sample: &CapacitySample) {
        let concurrency = f64::from(sample.concurrency.max(1));
        if sample.answers == 0 {
            // A server that refuses requests with free slots sustains no more than it has.
            if concurrency < self.slots {
                self.record_inverse(1.0 / concurrency, 1.0);
            }
            return;
        }
        let weight = f64::from(sample.answers);
        let latency_ms = sample.latency.as_ms();
        let is_idle = concurrency <= (self.slots * ServerEstimate::IDLE_SHARE).max(1.0);
        if is_idle {
            self.last_idle_answer = now;
        }
        let idle_age = now.since(self.last_idle_answer).as_millis();
        if is_idle || idle_age > u128::from(ServerEstimate::IDLE_ANSWER_AGE_MS) {
            let base = latency_ms / (concurrency / self.concurrency()).max(1.0);
            self.record_base(base, weight);
        }
        if concurrency >= self.slots * ServerEstimate::BUSY_SHARE {
            let stretch = latency_ms / self.base_ms;
            // A queue stretches the time of a server that sustains all its slots as well.
            let stretch = stretch.clamp(1.0, ServerEstimate::MAX_STRETCH);
            self.record_inverse(stretch / concurrency.min(self.slots * stretch), weight);
        }
    }

    fn record_inverse(&mut self, sample: f64, weight: f64) {
        let weight = (ServerEstimate::CONCURRENCY_WEIGHT * weight).min(0.5);
        self.inverse_concurrency +=
            weight * (sample.clamp(1.0 / self.slots, 1.0) - self.inverse_concurrency);
    }

    fn record_base(&mut self, base_ms: f64, weight: f64) {
        self.answers += weight;
        self.base_ms += (base_ms - self.base_ms) * (weight / self.answers);
        self.answers = self.answers.min(ServerEstimate::SPAN);
        for _ in 0..(weight as usize).min(ServerEstimate::RECENT) {
            self.recent.push_back(base_ms);
        }
        while self.recent.len() > ServerEstimate::RECENT {
            self.recent.pop_front();
        }
        let beyond = |is_beyond: &dyn Fn(f64) -> bool| {
            self.recent.iter().filter(|each| is_beyond(**each)).count()
                >= ServerEstimate::RECENT_BEYOND
        };
        let slower = beyond(&|each| each > self.base_ms * ServerEstimate::JUMP_RATIO);
        let faster = beyond(&|each| each * ServerEstimate::JUMP_RATIO < self.base_ms);
        if slower || faster {
            let count = self.recent.len() as f64;
            self.base_ms = self.recent.iter().sum::<f64>() / count;
            self.answers = count;
            self.recent.clear();
        }
    }

    fn concurrency(&self) -> f64 {
        let concurrency = 1.0 / self.inverse_concurrency;
        match concurrency >= self.slots * ServerEstimate::FULL_SHARE {
            true => self.slots,
            false => concurrency.max(1.0),
        }
    }

    /// Returns the estimate.
    pub fn learned(&self) -> LearnedCapacity {
        LearnedCapacity { base_ms: self.base_ms, concurrency: self.concurrency() }
    }
}
