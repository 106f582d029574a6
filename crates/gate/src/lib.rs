//! The gate without I/O, put together from its parts.

mod gate;
mod hot_key_rate;
mod service;

pub use gate::{Applied, Gate, GateConfig};
pub use hot_key_rate::HotKeyRate;
