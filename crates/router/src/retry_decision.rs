use std::time::Duration;

use bay_types::ErrorKind;

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The server answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// Whether the server vouches for not having run the request.
        not_run: bool,
    },
    /// No connection could be opened; nothing was sent.
    NotConnected,
    /// The connection broke, or the answer was not whole.
    Lost(ErrorKind),
    /// The request's time ran out.
    TimedOut,
}

/// What becomes of a request after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The caller gets the server's answer.
    Deliver,
    /// The request is tried again.
    Retry,
    /// The caller gets an answer of the router's own.
    Refuse(ErrorKind, Option<Duration>),
}
