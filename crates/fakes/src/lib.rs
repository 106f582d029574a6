//! Small stand-ins of the outside systems, for tests, examples and benches.

mod mem_store;
mod owner_server;
pub mod queueing;
mod store_server;
mod target_server;

pub use mem_store::{MemStore, StoreFault};
pub use owner_server::{Admission, OwnerServer};
pub use store_server::StoreServer;
pub use target_server::{TargetOptions, TargetServer};
