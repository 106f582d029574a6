//! A queueing model of two sites on virtual time, which compares policies for sharing targets.

mod attempts;
mod central;
mod faults;
mod forward;
mod lending;
mod network;
mod policy;
mod report;
mod scenario;
mod sim;
mod simple;
mod site;
mod target;

pub use policy::Policy;
pub use report::Report;
pub use scenario::{ColdStart, GateLoss, Scenario, Stragglers, ZoneOut};
pub use sim::run;
pub use site::Site;
