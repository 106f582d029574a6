use std::time::Duration;

use bay_account::ApiKey;
use bay_types::StoreEra;

use crate::LoadReport;

/// Values from the headers of a caller's request.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestFields {
    /// Identifier of the request, set by the caller.
    pub id: Option<String>,
    /// Time for which the caller waits.
    pub deadline: Option<Duration>,
    /// Key of the request, for keyed services.
    pub key: Option<u16>,
    /// API key of the caller's account.
    pub api_key: Option<ApiKey>,
}

/// Values from the headers of a server's answer.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct AnswerFields {
    /// Identifier of the answered request.
    pub id: Option<String>,
    /// Whether the server has signed the answer.
    pub signed: bool,
    /// Whether the server guarantees that it didn't run the request.
    pub not_run: bool,
    /// Load of the server.
    pub load: Option<LoadReport>,
    /// Requests per second that the server takes from all routers together, while it is limited.
    pub rate_limit: Option<f64>,
    /// Whether the server is about to stop and must get no new requests.
    pub leaving: bool,
    /// Time for which the server wants no requests from this router.
    pub retry_after: Option<Duration>,
    /// Remaining warm-up time of the server.
    pub warm_up_left: Option<Duration>,
    /// Era of the store, in its answers.
    pub store_era: Option<StoreEra>,
    /// Handover value that the former owner of keys passes to the next owner.
    pub handover: Option<String>,
}

/// Values of the headers that the router sets for an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFields<'a> {
    /// Identifier of the only server that may run the request.
    pub server: &'a str,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// Identifier of the client account on whose behalf the request runs.
    pub account: Option<&'a str>,
}

/// Treatment of a header of a caller's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderAction {
    /// Pass it on unchanged.
    Pass,
    /// Drop it; the router sets its own value for each attempt.
    Replace,
    /// Drop it if the configuration has client accounts, else pass it on unchanged.
    ReplaceForAccounts,
    /// Refuse the request, because the value is malformed.
    Malformed,
}
