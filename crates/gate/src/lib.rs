//! The gate as a state machine without I/O.
//!
//! A shell feeds it requests, events, items, datagrams and time, and carries out its actions.

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
