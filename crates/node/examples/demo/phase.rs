use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Results of the requests that callers sent during one phase.
#[derive(Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    /// Number of requests by outcome: `done`, an error kind, or another failure.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Latencies of the requests that were answered, in microseconds.
    pub(crate) latency_us: Histogram<u64>,
    /// The total time without a success of each probed key that had any. It may include time
    /// before the phase, if the key already failed when the phase started.
    pub(crate) unavailable_times: Vec<Duration>,
    /// Number of responses that did not match their requests.
    pub(crate) mismatched: u64,
}

impl Phase {
    /// Returns the total number of requests.
    pub(crate) fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the total unavailable time of the probed key that has the most.
    pub(crate) fn max_unavailable_time(&self) -> Duration {
        self.unavailable_times.iter().max().copied().unwrap_or_default()
    }
}
