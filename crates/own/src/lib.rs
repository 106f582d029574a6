//! Terms, leases, assignments and the planner.

mod assignment;
mod planner;
mod route_table;

pub use assignment::{Assignment, AssignmentRow};
pub use planner::rendezvous_owner;
pub use route_table::{Route, RouteTable};
