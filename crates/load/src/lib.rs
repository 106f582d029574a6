//! Limits, target choice and cold starts.

mod budget;
mod config;
mod observation;
mod output;
mod permit;
mod pick;
mod pool;
mod target;
mod wish;

pub use config::{PoolConfig, TargetLimits};
pub use observation::{NotRun, Observation, ReportedLoad, Seen};
pub use output::LoadOutput;
pub use permit::Permit;
pub use pick::Pick;
pub use pool::Pool;
pub use target::{TargetId, TargetSpec};
pub use wish::{Purpose, Ticket, Wish};
