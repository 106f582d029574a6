//! JSON-line logs and counters.

mod counters;
mod logger;

pub use counters::Counters;
pub use logger::{LogLevel, init_log};
