//! Terms, leases, assignments and the planner.

mod bounds;
mod call;
mod campaign;
mod config;
mod deputy;
mod former;
mod hot_plan;
mod input;
mod keeper;
mod keeper_edit;
mod kept;
mod loads;
mod mandate_state;
mod message;
mod output;
mod owner;
mod peers;
mod planner;
mod rates;
mod route_feed;
mod route_table;
mod service_state;
mod shard;
mod shard_slot;
mod shard_writes;
mod stewards;
mod term_judge;
mod term_record;
mod term_slot;

mod assignment;

pub use assignment::{Assignment, AssignmentRow};
pub use config::{Holder, OwnConfig, StewardState, StewardView};
pub use input::{CallId, KeyRate, OrderId, OwnInput, SliceRate};
pub use message::{DeputyReport, LeaseLeft, Mandate, OwnBody, OwnMessage};
pub use output::OwnOutput;
pub use owner::Owner;
pub use planner::rendezvous_owner;
pub use route_table::{Route, RouteTable};
pub use shard::{HotRow, SHARD_RANGES, ServerKey, Shard, ShardRow, ShardServer};
pub use term_record::{FormerHolder, TermRecord};
