/// Something that happened to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A target's answer has begun.
    Answered {
        /// The attempt's number.
        attempt: crate::AttemptId,
        /// The answer's HTTP status.
        status: u16,
        /// Why the target did not run the request, if it said so.
        not_run: Option<NotRunReason>,
    },
    /// A target's whole answer has been passed on.
    Completed {
        /// The attempt's number.
        attempt: crate::AttemptId,
    },
    /// An attempt has failed.
    Failed {
        /// The attempt's number.
        attempt: crate::AttemptId,
        /// How it failed.
        failure: AttemptFailure,
        /// Whether the shell still has the whole request, so that it can be sent again.
        replayable: bool,
    },
    /// The caller has hung up.
    CallerGone,
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
    /// No connection came about, so no byte reached the target.
    NotConnected,
    /// The connection broke after bytes may have reached the target.
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
    pub fn not_run(self) -> bool {
        self == AttemptFailure::NotConnected
    }
}
