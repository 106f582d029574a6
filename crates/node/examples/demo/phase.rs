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
    /// The unavailable time of each probed key that had any.
    pub(crate) unavailable_times: Vec<Duration>,
    pub(crate) mismatched: u64,
}

impl Phase {
    /// Returns the total number of requests.
    pub(crate) fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the longest time for which a probed key was unavailable.
    pub(crate) fn longest_unavailable(&self) -> Duration {
        self.unavailable_times.iter().max().copied().unwrap_or_default()
    }
}
