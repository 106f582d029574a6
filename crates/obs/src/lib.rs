//! Logs with one JSON object per line, counters and latency histograms.

mod counters;
mod latency_histograms;
mod logger;
mod rate_limiter;

pub use counters::Counters;
pub use latency_histograms::LatencyHistograms;
pub use logger::{LogLevel, init_logger};
pub use rate_limiter::LogRateLimiter;
