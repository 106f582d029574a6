/// A counter of the router; refused requests are counted by their error kind instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Admitted requests: with a route, and with a key if the service is keyed.
    Request,
    /// Attempts sent to a server.
    Attempt,
    /// Retries after a server didn't run the request.
    RetryNotRun,
    /// Retries after another server than the one that was meant refused the request, or an owner that
    /// doesn't hold its key.
    RetryMisdirected,
    /// Failed connections, before the request was sent. Retries after them cost no budget.
    RetryNotConnected,
    /// Retries of an idempotent request whose answer was lost.
    RetryLost,
    /// Retries of an idempotent request after an answer with a server error.
    RetryFailed,
    /// Retries that the retry budget denied.
    RetryDenied,
    /// Requests refused at once because their key gets more than its owner can run.
    KeyLimited,
    /// Requests refused at once because the owner of their key gets more than it can run.
    OwnerLimited,
    /// Requests refused at once because of the rate limit that a server names.
    RateLimited,
    /// Pauses for which servers have asked this router.
    ServerPause,
    /// Requests refused at once because of a server's pause.
    PauseRefused,
    /// Requests refused at once because of their rank, while their service is short of capacity.
    RankLimited,
}

impl Counter {
    /// Returns the name under which the counter is exported.
    pub fn as_str(self) -> &'static str {
        match self {
            Counter::Request => "request",
            Counter::Attempt => "attempt",
            Counter::RetryNotRun => "retry.not-run",
            Counter::RetryMisdirected => "retry.misdirected",
            Counter::RetryNotConnected => "retry.not-connected",
            Counter::RetryLost => "retry.answer-lost",
            Counter::RetryFailed => "retry.server-failed",
            Counter::RetryDenied => "retry.budget-spent",
            Counter::KeyLimited => "request.key-limited",
            Counter::OwnerLimited => "request.owner-limited",
            Counter::RateLimited => "request.rate-limited",
            Counter::ServerPause => "server.pause",
            Counter::PauseRefused => "request.pause-refused",
            Counter::RankLimited => "request.rank-limited",
        }
    }
}
