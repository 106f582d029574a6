//! The parts of a gate that handle single requests: attempts, retries, hedges and outcomes, claims
//! of idempotency keys, the quarantine of requests that crash targets, hot keys and counters.

mod action;
mod attempt;
mod call;
mod claim_table;
mod counter;
mod counter_buffer;
mod event;
mod fingerprint;
mod hot_keys;
mod load_report;
mod quarantine;
mod request_head;
mod retry_reason;

pub use action::{Action, AttemptId, CallId};
pub use attempt::{Attempt, AttemptEnd, EndedAttempt};
pub use call::{Call, Decision, Step};
pub use claim_table::{ClaimTable, Claimant};
pub use counter::{Count, Counter, CounterName};
pub use counter_buffer::CounterBuffer;
pub use event::{AttemptFailure, Event, NotRunReason};
pub use fingerprint::Fingerprint;
pub use hot_keys::{HotKeyRate, HotKeys};
pub use load_report::LoadReport;
pub use quarantine::{LossEffect, Quarantine, SuspicionState};
pub use request_head::RequestHead;
pub use retry_reason::RetryReason;
