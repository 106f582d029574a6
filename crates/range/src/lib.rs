//! Ownership of ordered key ranges.
//!
//! One granter at a time decides which server holds which keys. It writes each change to the
//! store before it acts on it, renews the holds of the servers, and moves ranges by load.

mod candidate;
mod grant_order;
mod granter;
mod granter_io;
mod hold;
mod holding;
mod key_loads;
mod key_range;
mod key_rates;
mod leadership;
mod leadership_record;
mod planner;
mod range_table;
mod sharing;
mod slot;
mod staging;
mod wanted_rates;

pub use candidate::Candidate;
pub use grant_order::{GrantOrder, OrderId, OrderResult};
pub use granter::Granter;
pub use granter_io::GranterAction;
pub use hold::HoldTimes;
pub use holding::{FormerOwner, Holding, OwnerId};
pub use key_loads::KeyLoads;
pub use key_range::KeyRange;
pub use key_rates::KeyRates;
pub use leadership::{Leadership, LeadershipAction, Role};
pub use leadership_record::{EarlierGranter, LeadershipRecord};
pub use planner::{Move, OwnedRange, Planner};
pub use range_table::RangeTable;
