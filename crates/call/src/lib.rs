//! Attempts, retries, hedges, outcomes and quarantine.

mod action;
mod call;
mod event;
mod request_head;

pub use action::{Action, AttemptId, CallId};
pub use call::{Call, Step};
pub use event::{AttemptFailure, Event, NotRunReason};
pub use request_head::RequestHead;
