use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// What the callers saw during one phase.
#[derive(Debug)]
pub(crate) struct Phase {
    pub(crate) name: &'static str,
    pub(crate) outcomes: BTreeMap<String, u64>,
    pub(crate) latency_us: Histogram<u64>,
    pub(crate) unavailable: Vec<Duration>,
    pub(crate) mismatched: u64,
}

impl Phase {
    /// Requests in all.
    pub(crate) fn requests(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// The longest time that any probed key went without an answer.
    pub(crate) fn longest_unavailable(&self) -> Duration {
        self.unavailable.iter().max().copied().unwrap_or_default()
    }
}
