//! Attempts, retries, hedges, outcomes and quarantine.

mod action;
mod call;
mod counter;
mod event;
mod load_report;
mod request_head;
mod tally;

pub use action::{Action, AttemptId, CallId};
pub use call::{Call, Step};
pub use counter::{Count, CountName, Counter};
pub use event::{AttemptFailure, Event, NotRunReason};
pub use load_report::LoadReport;
pub use request_head::RequestHead;
pub use tally::Tally;
