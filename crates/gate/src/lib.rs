//! The gate without I/O, put together from its parts.

mod gate;
mod service;

pub use gate::{Applied, Gate, GateConfig};
