//! The steward without I/O, put together from its parts.

mod input;
mod keeper;
mod output;
mod steward;

pub use input::{Input, LinkId, OrderId, StoreCallId};
pub use output::Output;
pub use steward::{Steward, StewardConfig};
