use crate::{CapacitySample, ServerId, TimeCode};

/// Answers of a server that a router has not reported yet.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct PendingSamples {
    answers: u8,
    refusals: u8,
    /// Sum of the latencies without the reported slowdown, in milliseconds.
    latency_ms: f64,
    /// Sum of the concurrency at the answers and refusals.
    concurrency: f64,
}

impl PendingSamples {
    /// Largest reported slowdown that is believed. A server that reports more would otherwise look
    /// faster than it is; the platform's neighbours triple the time of work.
    const MAX_SLOWDOWN: f64 = 3.0;

    /// Adds an answer that took `latency_ms` while `concurrency` requests ran or waited.
    pub fn record_answer(&mut self, latency_ms: f64, concurrency: f64, slowdown: f64) {
        if self.answers == u8::MAX {
            return;
        }
        self.drop_refusals();
        self.answers += 1;
        self.latency_ms += latency_ms / slowdown.clamp(1.0, PendingSamples::MAX_SLOWDOWN);
        self.concurrency += concurrency;
    }

    /// Adds a request that the server refused to run; answers count more and displace it.
    pub fn record_refusal(&mut self, concurrency: f64) {
        if self.answers == 0 && self.refusals < u8::MAX {
            self.refusals += 1;
            self.concurrency += concurrency;
        }
    }

    fn drop_refusals(&mut self) {
        if self.refusals > 0 {
            *self = PendingSamples::default();
        }
    }

    /// Drains the samples; `None` if there are none.
    pub fn drain(&mut self, server: ServerId) -> Option<CapacitySample> {
        let PendingSamples { answers, refusals, latency_ms, concurrency } = std::mem::take(self);
        let count = answers.max(refusals);
        if count == 0 {
            return None;
        }
        let mean = |sum: f64| sum / f64::from(count);
        Some(CapacitySample {
            server,
            latency: TimeCode::from_ms(mean(latency_ms)),
            concurrency: mean(concurrency).round() as u8,
            answers,
        })
    }

    /// Returns whether there are no samples.
    pub fn is_empty(&self) -> bool {
        self.answers == 0 && self.refusals == 0
    }
}
