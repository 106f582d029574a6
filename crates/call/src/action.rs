use std::net::SocketAddr;
use std::time::Duration;

use bay_types::ErrorKind;
use bay_wire::{PeerMessage, SliceGrant};

/// An instruction from the gate to its shell, which does the I/O.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends the request to a target.
    ///
    /// The shell calls `Gate::may_send` right before it writes the first byte, and sends nothing if
    /// the answer is no.
    StartAttempt {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
        /// The target's address.
        to: SocketAddr,
        /// The slice and fencing token to send to the owner of the request's key.
        grant: Option<SliceGrant>,
        /// The time until the request's deadline.
        time_left: Duration,
        /// Whether to open a new connection instead of reusing an idle one.
        fresh: bool,
    },
    /// Closes an attempt's connection; the gate ignores further events of the attempt.
    CancelAttempt {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Forwards an attempt's answer to the caller, with outcome `done`.
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
        /// The kind of error.
        kind: ErrorKind,
        /// How long the caller should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// Closes the caller's connection in the middle of an answer, so that the caller does not
    /// mistake the answer for a complete one.
    Abort {
        /// The request.
        call: CallId,
    },
    /// Sends a datagram to another gate.
    SendToPeer {
        /// The other gate's address for datagrams.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
}

/// Identifies a request at one gate; never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Numbers the attempts of a request, starting at 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
