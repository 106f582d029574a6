use std::time::Duration;

/// What one attempt showed about its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// Time from the attempt's start to its end.
    pub latency: Duration,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The load that the target reported, which may be old or wrong.
    pub reported: Option<ReportedLoad>,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target answered.
    Answered,
    /// The target said that it did not run the request.
    Rejected(Rejection),
    /// The connection could not be made or broke.
    Failed,
    /// The connection went silent.
    Silent,
    /// The attempt was given up before its end.
    Cancelled,
}

/// Why a target did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// It does not own the key's slice.
    NotOwner,
    /// It sheds load.
    Shed,
    /// It is in a cold start.
    Cold,
    /// It is about to leave.
    Draining,
}

/// The load that a target says it has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it runs.
    pub in_flight: u32,
    /// Requests that it says it can run at once.
    pub slots: u32,
}
