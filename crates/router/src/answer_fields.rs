use std::time::Duration;

use bay_types::ServerName;

use crate::LoadReport;

/// What a request's headers tell the router.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct RequestFields {
    /// The caller's identifier of the request.
    pub id: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The key, for services whose keys have owners.
    pub key: Option<u16>,
}

/// What an answer's headers tell the router.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct AnswerFields {
    /// The identifier of the request that it answers.
    pub id: Option<String>,
    /// Whether the server has signed it.
    pub signed: bool,
    /// Whether the server vouches for not having run the request.
    pub not_run: bool,
    /// The server's load.
    pub load: Option<LoadReport>,
    /// How much longer the server stays cold.
    pub warm_up_left: Option<Duration>,
    /// What a former owner of keys hands to the next.
    pub handover: Option<String>,
}

/// What an attempt tells its server besides the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFields {
    /// The server that is to run it.
    pub server: ServerName,
    /// The time it has.
    pub time_left: Duration,
}

/// What becomes of a header of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeaderAction {
    /// It is passed on as it is.
    Pass,
    /// The router sets it anew for each attempt.
    Replace,
    /// Its value is malformed.
    Malformed,
}
