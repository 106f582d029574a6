//! Quotas of client accounts, kept by all routers together, without I/O.
//!
//! Each router counts its requests by account in [`LocalQuota`] and reports them to the granter. The
//! granter adds them up in [`QuotaLedger`] and sends the shares of the accounts that are near their
//! limit back to all routers. A router without recent shares keeps to bounds whose sum is within
//! the limit.

mod account_id;
mod fallback;
mod ledger;
mod local_account;
mod local_quota;
mod message;
mod quota_limit;
mod window_count;

pub use account_id::AccountId;
pub use ledger::QuotaLedger;
pub use local_quota::LocalQuota;
pub use message::{AccountShare, AccountUsage, QuotaShares, UsageEntry};
pub use quota_limit::QuotaLimit;
