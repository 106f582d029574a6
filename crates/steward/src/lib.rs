//! The steward without I/O, put together from its parts.

mod input;
mod keeper;
mod output;
mod steward;
mod store_watch;

pub use input::{Input, LinkId, OrderId, StoreCallId};
pub use output::Output;
pub use steward::{Steward, StewardConfig};
pub use store_watch::{StoreWatch, WatchCallId, WatchOutput, item_of_change, object_of_item};
