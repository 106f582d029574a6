//! Fake back ends, stores and simulated networks for tests, examples and benches.

mod mem_store;
mod owner_server;
pub mod ownership_sim;
mod process_memory;
pub mod queueing;
mod raw_server;
mod store_server;
mod switch;
mod target_connection;
mod target_handle;
mod target_options;
mod target_response;
mod target_server;
mod target_service;
mod target_state;

pub use mem_store::{MemStore, StoreFault};
pub use owner_server::{Admission, OwnerServer};
pub use process_memory::peak_resident_bytes;
pub use raw_server::{RawResponse, start_raw_server};
pub use store_server::StoreServer;
pub use target_handle::TargetHandle;
pub use target_options::{ColdStart, Freeze, LoadReporting, ResponseFault, TargetOptions};
pub use target_server::TargetServer;
pub use target_state::TargetCounts;
