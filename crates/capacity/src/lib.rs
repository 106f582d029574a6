//! Service times and sustained concurrency of servers, learned from answers, without I/O.
//!
//! Each router collects [`PendingSamples`] of the servers that have answered it. The granter feeds
//! the samples of all routers to a [`CapacityTable`], and sends the changed [`LearnedCapacity`]s
//! back.

mod capacity_sample;
mod capacity_table;
mod learned_capacity;
mod pending_samples;
mod server_capacity;
mod server_estimate;
mod server_id;
mod time_code;

pub use capacity_sample::CapacitySample;
pub use capacity_table::CapacityTable;
pub use learned_capacity::LearnedCapacity;
pub use pending_samples::PendingSamples;
pub use server_capacity::ServerCapacity;
pub use server_estimate::ServerEstimate;
pub use server_id::ServerId;
pub use time_code::TimeCode;
