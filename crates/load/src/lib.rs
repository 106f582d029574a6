//! Limits, target choice and cold starts.
//!
//! Each target of a service has one home among the gates. The home lends the target's slots to
//! gates by demand, for a short time, so that the limit holds over all gates.

mod borrowing;
mod budget;
mod capacity;
mod config;
mod health;
mod home;
mod latencies;
mod lender;
mod lending;
mod membership;
mod observation;
mod observing;
mod output;
mod permit;
mod pick_request;
mod pick_result;
mod picking;
mod pool;
mod queue;
mod ready;
mod reconfigure;
mod return_times;
mod sweep;
mod target;
mod usage;

pub use config::{PoolConfig, TargetLimits};
pub use lender::LOAN_TERM;
pub use observation::{AttemptOutcome, Observation, Rejection, ReportedLoad};
pub use output::LoadOutput;
pub use permit::Permit;
pub use pick_request::{PickRequest, Purpose, Ticket};
pub use pick_result::PickResult;
pub use pool::Pool;
pub use target::{TargetId, TargetSpec};
pub use usage::Usage;
