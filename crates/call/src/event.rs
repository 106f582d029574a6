use bay_types::ErrorKind;

use crate::{AttemptId, LoadReport};

/// An event that the shell reports about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The head of a target's answer has arrived; the body may follow.
    Answered {
        /// The attempt's number.
        attempt: AttemptId,
        /// The answer's HTTP status.
        status: u16,
        /// The reason, if the target reported that it did not run the request.
        not_run: Option<NotRunReason>,
        /// The load reported in the `Bay-Load` header.
        load: Option<LoadReport>,
    },
    /// The whole answer of an attempt has been forwarded.
    Completed {
        /// The attempt's number.
        attempt: AttemptId,
    },
    /// An attempt has failed.
    Failed {
        /// The attempt's number.
        attempt: AttemptId,
        /// How it failed.
        failure: AttemptFailure,
        /// Whether the shell still holds the whole request and can send it again.
        replayable: bool,
    },
    /// The caller has closed the connection and can no longer be answered.
    CallerGone,
    /// The caller's body is too large, too slow or malformed. The caller can still be answered.
    CallerFailed {
        /// The error to answer with.
        kind: ErrorKind,
    },
}

/// Why a target did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The server does not own the slice of the request's key.
    NotOwner,
    /// The target is shedding load.
    Shed,
    /// The target is in a cold start.
    Cold,
    /// The target is draining before it stops.
    Draining,
}

impl NotRunReason {
    /// Parses the value of the `Bay-Reason` header.
    pub fn parse(text: &str) -> Option<NotRunReason> {
        match text {
            "not-owner" => Some(NotRunReason::NotOwner),
            "shed" => Some(NotRunReason::Shed),
            "cold" => Some(NotRunReason::Cold),
            "draining" => Some(NotRunReason::Draining),
            _ => None,
        }
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptFailure {
    /// No byte of the request was written to a connection.
    NotConnected,
    /// The target closed or reset the connection after bytes may have reached it.
    Lost,
    /// The connection timed out waiting for data.
    Silent,
    /// The answer was malformed or belonged to another request.
    BadAnswer,
    /// The answer ended before it was complete.
    Cut,
}

impl AttemptFailure {
    /// Returns whether nothing was sent, in which case the target cannot have run the request.
    pub fn is_unsent(self) -> bool {
        self == AttemptFailure::NotConnected
    }
}
