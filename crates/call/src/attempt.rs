use std::net::SocketAddr;

use bay_time::Time;

use crate::{AttemptFailure, AttemptId, NotRunReason};

/// One try at sending a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's number within its request.
    pub id: AttemptId,
    /// The target's address.
    pub to: SocketAddr,
    /// When the gate started the attempt; latency is measured from here.
    pub started: Time,
    /// Whether bytes of the request may have been written to the connection.
    pub sent: bool,
}

/// An ended attempt and how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The attempt's state when it ended.
    pub attempt: Attempt,
    /// The way in which it ended.
    pub end: AttemptEnd,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its whole answer was forwarded.
    Completed,
    /// Its target reported that it did not run the request.
    NotRun(NotRunReason),
    /// It failed without a usable answer, or its answer broke off.
    Failed(AttemptFailure),
    /// The gate cancelled it.
    Cancelled,
}

impl Attempt {
    pub(crate) fn into_ended(self, end: AttemptEnd) -> EndedAttempt {
        EndedAttempt { attempt: self, end }
    }
}
