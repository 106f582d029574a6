//! State machine of a steward, without I/O: membership, store watch and ownership in one.

mod config;
mod config_items;
mod datagram;
mod input;
mod output;
mod steward;
mod store_calls;
mod store_watch;
mod views;

pub use config::StewardConfig;
pub use datagram::StewardDatagram;
pub use input::{Input, LinkId, OrderId, StatusId, StoreCallId};
pub use output::Output;
pub use steward::Steward;
pub use store_watch::{
    StoreWatch, WatchCallId, WatchOutput, item_from_change, object_key_from_item,
};
