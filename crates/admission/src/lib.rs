//! Admission of requests by rank while a service is short of capacity, without I/O.
//!
//! Routers report their counts by service and rank. The granter adds them up and sends back the
//! share of each rank's requests to admit. A router without a recent share decides by its own counts.

mod allocation;
mod key_shares;
mod level_ledger;
mod local_admission;
mod overload_levels;
mod overload_report;
mod refusal_reason;
mod request_outcome;
mod service_admission;
mod share_accumulator;
mod share_controller;

pub use allocation::{RankDemand, allocate_shares};
pub use key_shares::KeyShares;
pub use level_ledger::LevelLedger;
pub use local_admission::LocalAdmission;
pub use overload_levels::{OverloadLevels, RankShare, ServiceLevel};
pub use overload_report::{OverloadReport, RankCounts, ServiceCounts};
pub use refusal_reason::RefusalReason;
pub use request_outcome::RequestOutcome;
pub use share_accumulator::ShareAccumulator;
pub use share_controller::ShareController;
