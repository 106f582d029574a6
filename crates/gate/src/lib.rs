//! The gate without I/O, put together from its parts.

mod admission;
mod body_limit;
mod bounds;
mod claims;
mod events;
mod gate;
mod items;
mod limits;
mod min_latency;
mod notice_queue;
mod peers;
mod pending_call;
mod placement;
mod service;
mod suspects;

pub use gate::{Gate, GateConfig};
pub use items::ApplyResult;
pub use limits::GateLimits;
