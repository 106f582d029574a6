use std::net::SocketAddr;
use std::time::Duration;

use bay_types::ErrorKind;
use bay_wire::SliceGrant;

/// Something that the gate asks its shell to do for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Sends the request to a target.
    Attempt {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The target's address.
        to: SocketAddr,
        /// The slice and token to send along, for an owner.
        grant: Option<SliceGrant>,
        /// The time that the target has.
        time_left: Duration,
        /// Whether a new connection is to be used.
        fresh: bool,
    },
    /// Gives up an attempt and closes its connection.
    Cancel {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Passes an attempt's answer on to the caller.
    Forward {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Answers the request with an error of the gate's own.
    Refuse {
        /// The request.
        call: CallId,
        /// The reason.
        kind: ErrorKind,
        /// When the caller may come back.
        retry_after: Option<Duration>,
    },
}

/// Numbers the requests of a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Numbers the attempts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
