//! Concurrency limits, target selection and cold starts.
//!
//! Each target of a service has one home among the gates. The home lends the target's slots to
//! the other gates on demand, under short leases. The target's limit therefore holds over all
//! gates together.

mod borrowing;
mod capacity;
mod config;
mod home;
mod home_assignment;
mod late_streak;
mod latencies;
mod lending;
mod observation;
mod output;
mod permit;
mod pick_request;
mod pick_result;
mod pool;
mod queue;
mod ready_list;
mod reconfiguration;
mod retry_pacer;
mod selection;
mod slot_ledger;
mod sweep;
mod target;
mod target_condition;
mod token_bucket;
mod usage;

pub use config::{PoolConfig, TargetLimits};
pub use observation::{AttemptOutcome, Observation, Rejection, ReportedLoad};
pub use output::LoadOutput;
pub use permit::Permit;
pub use pick_request::{PickRequest, Purpose, Ticket};
pub use pick_result::PickResult;
pub use pool::Pool;
pub use slot_ledger::LOAN_TERM;
pub use target::{TargetId, TargetSpec};
pub use usage::Usage;
