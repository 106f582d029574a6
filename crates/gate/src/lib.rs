//! The gate without I/O, put together from its parts.

mod admission;
mod body_limit;
mod bounds;
mod claiming;
mod events;
mod fastest;
mod gate;
mod items;
mod limits;
mod notices;
mod peers;
mod pending;
mod placing;
mod service;
mod suspects;

pub use gate::{Gate, GateConfig};
pub use items::ApplyResult;
pub use limits::GateLimits;
