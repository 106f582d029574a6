use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

use crate::{CapacitySample, LearnedCapacity};

/// Estimate of a server's base service time and of the concurrency up to which it keeps it.
///
/// Single answers vary widely, and a few are several times too long or too short, as a server's load
/// changes between the start and the end of a request. The averages are therefore of logarithms, and
/// no answer counts for more than twice or half of the average.
#[derive(Debug, Clone)]
pub struct ServerEstimate {
    slots: f64,
    /// Logarithm of the time without queueing in milliseconds, averaged.
    base_log: f64,
    /// Number of answers that the average covers, up to the span.
    answers: f64,
    /// Logarithms of the last base times, with their time of arrival, to find a sudden change.
    recent: VecDeque<(Time, f64)>,
    /// Logarithm of the ratio of the time at a busy server to the base time, averaged.
    busy_log: f64,
    /// When the last answer of the server arrived that it sent without being busy.
    last_idle_answer: Option<Time>,
}

impl ServerEstimate {
    /// Number of answers that the average covers.
    const SPAN: f64 = 40.0;
    /// Largest difference of an answer's logarithm from the average that counts.
    const MAX_DEVIATION: f64 = 0.7;
    /// Least number of last answers by which a sudden change is found.
    const MIN_RECENT: usize = 5;
    /// Maximum number of last answers that are kept.
    const MAX_RECENT: usize = 64;
    /// Share of them that has to lie beyond [`ServerEstimate::JUMP_RATIO`]. A few may be outliers.
    const MIN_SHARE_BEYOND: f64 = 0.8;
    /// Ratio to the average, or its inverse, of answers that show a sudden change. With 1.7 for a
    /// recovery, answers that vary by a factor of four halved the average of a steady server.
    const JUMP_RATIO: f64 = 2.0;
    /// Least time that the last answers span. A neighbour's load changes every 400 ms and affects all
    /// answers in between.
    const MIN_JUMP_TIME: Duration = Duration::from_millis(450);
    /// Weight of a busy server's answer in the average.
    const BUSY_WEIGHT: f64 = 0.04;
    /// Share of the slots from which a server is busy.
    const BUSY_SHARE: f64 = 0.75;
    /// Share of the slots up to which an answer tells the base time.
    const IDLE_SHARE: f64 = 0.5;
    /// Ratio of a busy server's time to the base time from which the server counts as slowing down.
    /// Without it, noise would limit servers that keep their time.
    const MIN_STRETCH: f64 = 1.35;
    /// Time without an answer of the idle server after which those of the busy server set the base.
    const IDLE_ANSWER_AGE: Duration = Duration::from_millis(1_000);

    /// Creates an estimate from the first sample of a server with `slots`.
    pub fn new(slots: u32, first: &CapacitySample) -> ServerEstimate {
        let slots = f64::from(slots.max(1));
        let own = first.latency.as_ms() / (f64::from(first.concurrency) / slots).max(1.0);
        ServerEstimate {
            slots,
            base_log: own.ln(),
            answers: 0.0,
            recent: VecDeque::new(),
            busy_log: 0.0,
            last_idle_answer: None,
        }
    }

    /// Adds a sample that arrived at `now`.
    pub fn record(&mut self, now: Time, sample: &CapacitySample) {
        let concurrency = f64::from(sample.concurrency.max(1));
        let is_busy = concurrency >= self.slots * ServerEstimate::BUSY_SHARE;
        if sample.answers == 0 {
            // A server that refuses requests while slots are free sustains fewer than it names.
            if concurrency < self.slots {
                self.record_busy(ServerEstimate::MAX_DEVIATION, 1.0);
            }
            return;
        }
        let weight = f64::from(sample.answers);
        let latency_log = sample.latency.as_ms().ln();
        let is_idle = concurrency <= (self.slots * ServerEstimate::IDLE_SHARE).max(1.0);
        if is_idle {
            self.last_idle_answer = Some(now);
        }
        let lacks_idle =
            self.last_idle_answer.is_none_or(|at| now.since(at) > ServerEstimate::IDLE_ANSWER_AGE);
        let stretch = (concurrency / self.concurrency()).max(1.0);
        let base_log = latency_log - stretch.ln();
        if is_idle || lacks_idle {
            self.record_base(base_log, weight);
        }
        self.detect_jump(now, base_log, sample.answers);
        if is_busy {
            let queue = (concurrency / self.slots).max(1.0);
            self.record_busy(latency_log - queue.ln() - self.base_log, weight);
        }
    }

    fn record_busy(&mut self, stretch_log: f64, weight: f64) {
        let max = ServerEstimate::MAX_DEVIATION;
        let deviation = (stretch_log - self.busy_log).clamp(-max, max);
        self.busy_log += (ServerEstimate::BUSY_WEIGHT * weight).min(0.5) * deviation;
        self.busy_log = self.busy_log.clamp(0.0, self.slots.ln());
    }

    fn record_base(&mut self, sample_log: f64, weight: f64) {
        let max = ServerEstimate::MAX_DEVIATION;
        self.answers += weight;
        let deviation = (sample_log - self.base_log).clamp(-max, max);
        self.base_log += deviation * (weight / self.answers);
        self.answers = self.answers.min(ServerEstimate::SPAN);
    }

    /// Replaces the average by the last answers if nearly all of them differ from it.
    fn detect_jump(&mut self, now: Time, sample_log: f64, answers: u8) {
        for _ in 0..answers {
            if self.recent.len() < ServerEstimate::MAX_RECENT {
                self.recent.push_back((now, sample_log));
            }
        }
        let is_old = |at: Time| now.since(at) >= ServerEstimate::MIN_JUMP_TIME;
        while self.recent.len() > ServerEstimate::MIN_RECENT
            && self.recent.get(1).is_some_and(|(at, _)| is_old(*at))
        {
            self.recent.pop_front();
        }
        let is_long = self.recent.front().is_some_and(|(at, _)| is_old(*at))
            && self.recent.len() >= ServerEstimate::MIN_RECENT;
        let above = self
            .recent
            .iter()
            .filter(|(_, each)| *each > self.base_log + ServerEstimate::JUMP_RATIO.ln())
            .count();
        let below = self
            .recent
            .iter()
            .filter(|(_, each)| *each < self.base_log - ServerEstimate::JUMP_RATIO.ln())
            .count();
        let share = above.max(below) as f64 / self.recent.len().max(1) as f64;
        if is_long && share >= ServerEstimate::MIN_SHARE_BEYOND {
            let mut sorted: Vec<f64> = self.recent.iter().map(|(_, each)| *each).collect();
            sorted.sort_by(f64::total_cmp);
            self.base_log = sorted[sorted.len() / 2];
            self.answers = sorted.len() as f64;
            self.recent.clear();
        }
    }

    fn concurrency(&self) -> f64 {
        let stretch = self.busy_log.exp();
        match stretch < ServerEstimate::MIN_STRETCH {
            true => self.slots,
            false => (self.slots / stretch).max(1.0),
        }
    }

    /// Returns the estimate.
    pub fn learned(&self) -> LearnedCapacity {
        LearnedCapacity { base_ms: self.base_log.exp(), concurrency: self.concurrency() }
    }
}
