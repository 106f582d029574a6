//! JSON-line logs, counters and latency histograms.

mod counters;
mod latencies;
mod line_limit;
mod logger;

pub use counters::Counters;
pub use latencies::Latencies;
pub use line_limit::LineLimit;
pub use logger::{LogLevel, init_log};
