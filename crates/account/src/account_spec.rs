use bay_types::AccountName;

use crate::ApiKey;

/// A client account of the operator's configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSpec {
    /// Name of the account.
    pub name: AccountName,
    /// Identifier that the operator has chosen, which servers are told.
    pub identifier: String,
    /// Keys with which its callers identify themselves.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, which takes precedence over that of the route; 0 is the highest.
    pub rank: Option<u32>,
    /// Limit of its requests over all routers; `None` if there is none.
    pub quota: Option<QuotaSpec>,
}

/// Limit of an account's requests over all routers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaSpec {
    /// Requests per second.
    pub rate: f64,
    /// Requests by which the account may exceed the rate at a time.
    pub burst: f64,
}
