use std::time::Duration;

/// The result of one attempt, as input to target selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Time from the attempt's start to its end.
    pub latency: Duration,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The load that the target reported; it may be stale or wrong.
    pub reported: Option<ReportedLoad>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target sent a response.
    Answered,
    /// The target reported that it did not run the request.
    Rejected(Rejection),
    /// The connection could not be established, or broke.
    Failed,
    /// The connection timed out without data.
    Silent,
    /// The gate cancelled the attempt before it ended.
    Cancelled,
}

/// The reason that a target gave for not running a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The target does not own the key's slice.
    NotOwner,
    /// The target sheds load.
    Shed,
    /// The target is in a cold start.
    Cold,
    /// The target drains before a shutdown.
    Draining,
}

/// A target's load by its own account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that the target runs.
    pub in_flight: u32,
    /// Requests that the target can run at once.
    pub slots: u32,
}
