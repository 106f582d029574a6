//! Ownership of keyed services: terms, leases, slice assignments, the planner and route tables.
//!
//! A keyed service's keys are divided into slices, each owned by at most one server. The planner,
//! one steward per service, assigns the slices. In each zone of the service, one steward is the
//! keeper: it grants and revokes slices, renews the leases of the zone's servers, and reassigns the
//! slices of a server whose leases have expired. Planner and keepers write the assignment to the
//! store in shards. A keeper's deputy renews leases that the keeper can't, but neither grants nor
//! revokes. A term is a numbered period with one keeper and at most one deputy.

mod clock_bounds;
mod config;
mod deputy;
mod former_tracker;
mod hot_key_planner;
mod input;
mod keeper;
mod keeper_shard;
mod loads;
mod mandate_state;
mod message;
mod output;
mod owner;
mod owner_status;
mod peer_messages;
mod planner;
mod rates;
mod route_feed;
mod route_table;
mod server_state;
mod service_state;
mod shard;
mod shard_slot;
mod shard_writes;
mod stewards;
mod store_call;
mod term_action;
mod term_record;
mod term_slot;
mod terms;

pub use config::{Holder, OwnerConfig, StewardState, StewardView};
pub use input::{CallId, KeyRate, OrderId, OwnerInput, SliceRate};
pub use message::{DeputyReport, Mandate, OwnerMessage, OwnerMessageBody, RemainingLease};
pub use output::OwnerOutput;
pub use owner::Owner;
pub use planner::rendezvous_owner;
pub use route_table::{Route, RouteTable};
pub use shard::{HotRow, SHARD_RANGES, ServerKey, Shard, ShardRow, ShardServer};
pub use term_record::{FormerHolder, TermRecord};
