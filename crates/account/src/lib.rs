//! Client accounts, without I/O.
//!
//! The operator's configuration names the accounts and their API keys. A request's key identifies
//! the account on whose behalf it runs.

mod account_spec;
mod account_table;
mod api_key;
mod freshness;

pub use account_spec::{AccountSpec, QuotaSpec};
pub use account_table::{AccountError, AccountTable};
pub use api_key::ApiKey;
pub use freshness::Freshness;
