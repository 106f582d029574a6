use std::net::SocketAddr;

use bay_time::Time;

use crate::{AttemptFailure, AttemptId, NotRunReason};

/// One sending of a request to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's number.
    pub id: AttemptId,
    /// The target's address.
    pub to: SocketAddr,
    /// When the attempt was started.
    pub started: Time,
    /// Whether a byte of it may have been handed to its connection.
    pub sent: bool,
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedAttempt {
    /// The attempt as it was.
    pub attempt: Attempt,
    /// How it ended.
    pub end: AttemptEnd,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its answer was passed on whole.
    Completed,
    /// Its target did not run the request.
    NotRun(NotRunReason),
    /// It failed.
    Failed(AttemptFailure),
    /// It was given up.
    Cancelled,
}

impl Attempt {
    pub(crate) fn ended(self, end: AttemptEnd) -> EndedAttempt {
        EndedAttempt { attempt: self, end }
    }
}
