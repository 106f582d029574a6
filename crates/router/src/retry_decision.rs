use std::time::Duration;

use bay_types::ErrorKind;

/// Result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answered.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// Whether the server guarantees that it didn't run the request.
        not_run: bool,
    },
    /// The server doesn't hold the request's key, or another server answered at its address. The
    /// request has not run.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    NotConnected,
    /// The connection broke, or the answer was incomplete or malformed.
    Lost(ErrorKind),
    /// The request's deadline passed.
    TimedOut,
}

/// Next step of a request after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pass the server's answer on to the caller.
    Deliver,
    /// Try the request again.
    Retry,
    /// Refuse the request with an error, and a `Retry-After` if the caller may repeat it.
    Refuse(ErrorKind, Option<Duration>),
}
