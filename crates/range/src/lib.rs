//! Ownership of ordered key ranges.
//!
//! One granter at a time, elected through the store, assigns key ranges to servers. It saves each
//! change before it sends orders for it, renews the servers' holds, and moves ranges by load.

mod candidate;
mod distribution;
mod fitness;
mod grant_order;
mod granter;
mod granter_action;
mod hold_times;
mod holding;
mod key_limits;
mod key_loads;
mod key_range;
mod key_rates;
mod known_holds;
mod leadership;
mod leadership_record;
mod optimal_rates;
mod owner_limits;
mod planner;
mod range_table;
mod rate_estimate;
mod slot;
mod staged_change;
mod takeover_delay;

pub use candidate::Candidate;
pub use fitness::Fitness;
pub use grant_order::{GrantOrder, OrderId, OrderResult};
pub use granter::Granter;
pub use granter_action::GranterAction;
pub use hold_times::HoldTimes;
pub use holding::{FormerOwner, Holding, OwnerId};
pub use key_limits::KeyLimit;
pub use key_loads::KeyLoads;
pub use key_range::KeyRange;
pub use key_rates::KeyRates;
pub use known_holds::{HoldProof, KnownHolds, ProvenTable};
pub use leadership::{Leadership, LeadershipAction, Role};
pub use leadership_record::{EarlierGranter, LeadershipRecord};
pub use optimal_rates::OptimalRates;
pub use owner_limits::{OwnerLimit, OwnerLimits, ServerOccupancy};
pub use planner::{Move, OwnedRange, Planner};
pub use range_table::RangeTable;
pub use rate_estimate::RateEstimate;
pub use takeover_delay::TakeoverDelay;
