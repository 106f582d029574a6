use bay_types::ErrorKind;

use crate::{AttemptId, LoadReport};

/// Something that happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The head of a target's answer has come; its body may still be on the way.
    Answered {
        /// The attempt's number.
        attempt: AttemptId,
        /// The answer's HTTP status.
        status: u16,
        /// Why the target did not run the request, if it said so.
        not_run: Option<NotRunReason>,
        /// The load that the target reported along with the answer.
        load: Option<LoadReport>,
    },
    /// A target's whole answer has been passed on.
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
        /// Whether the shell still has the whole request, so that it can be sent again.
        replayable: bool,
    },
    /// The caller has closed the connection; nothing can be answered any more.
    CallerGone,
    /// The rest of the caller's request cannot be taken: its body is too large, too slow or
    /// malformed. The caller can still be answered.
    CallerFailed {
        /// The reason.
        kind: ErrorKind,
    },
}

/// Why a target did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotRunReason {
    /// The server does not own the key's slice.
    NotOwner,
    /// The target sheds load.
    Shed,
    /// The target is in a cold start.
    Cold,
    /// The target is about to leave.
    Draining,
}

impl NotRunReason {
    /// Reads the value of the `Bay-Reason` header.
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
    /// No byte of the request was handed to a connection.
    NotConnected,
    /// The target closed or reset the connection after bytes may have reached it.
    Lost,
    /// The connection went silent.
    Silent,
    /// The answer was malformed or belongs to another request.
    BadAnswer,
    /// The answer ended before it was complete.
    Cut,
}

impl AttemptFailure {
    /// Whether the target cannot have run the request.
    pub fn is_unsent(self) -> bool {
        self == AttemptFailure::NotConnected
    }
}
