/// What the router counts besides the refusals in the error table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// A caller's request with a route.
    Request,
    /// A request sent to a server.
    Attempt,
    /// A further attempt after a server did not run the request.
    RetryNotRun,
    /// A further attempt after a connection failed before the request was sent.
    RetryNotConnected,
    /// A further attempt of an idempotent request whose answer was lost.
    RetryLost,
    /// A further attempt of an idempotent request that the server failed.
    RetryFailed,
    /// A further attempt that the budget did not allow.
    RetryDenied,
}

impl Counter {
    /// The counter's name.
    pub fn as_str(self) -> &'static str {
        match self {
            Counter::Request => "request",
            Counter::Attempt => "attempt",
            Counter::RetryNotRun => "retry.not-run",
            Counter::RetryNotConnected => "retry.not-connected",
            Counter::RetryLost => "retry.answer-lost",
            Counter::RetryFailed => "retry.server-failed",
            Counter::RetryDenied => "retry.budget-spent",
        }
    }
}
