use std::net::SocketAddr;
use std::time::Duration;

use bay_types::ErrorKind;
use bay_wire::{PeerMessage, SliceGrant};

/// Something that the gate asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Sends the request to a target.
    ///
    /// Right before it hands the first byte to the connection, the shell asks `Gate::may_send`.
    StartAttempt {
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
    /// Gives up an attempt and closes its connection; no more events of it are expected.
    CancelAttempt {
        /// The request.
        call: CallId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Passes an attempt's answer on to the caller, as outcome `done`.
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
    /// Closes the caller's connection in the middle of an answer, so that the answer is not taken
    /// for a whole one.
    Abort {
        /// The request.
        call: CallId,
    },
    /// Sends a datagram to another gate.
    SendToPeer {
        /// Where that gate takes datagrams.
        to: SocketAddr,
        /// The message.
        message: PeerMessage,
    },
}

/// Numbers the requests of a gate; a number is not used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Numbers the attempts of a request, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u32);
