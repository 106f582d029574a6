use std::net::SocketAddr;

use bay_types::ServiceName;
use serde::{Deserialize, Serialize};

use crate::LoadMessage;

/// A datagram from one gate to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Concerns the load of a service's targets.
    Load {
        /// The service.
        service: ServiceName,
        /// The message.
        message: LoadMessage,
    },
    /// Asks for the sole right to run requests with an idempotency key.
    Claim {
        /// The digest of service and idempotency key.
        digest: u64,
        /// The sender's number of the request.
        call: u64,
        /// How long the claim holds if it is not released.
        hold_ms: u64,
    },
    /// Answers a claim.
    ClaimReply {
        /// The digest of the claim.
        digest: u64,
        /// The sender's number of the request.
        call: u64,
        /// Whether the claim is granted.
        verdict: ClaimVerdict,
    },
    /// Gives a claim back.
    Release {
        /// The digest of the claim.
        digest: u64,
        /// The sender's number of the request.
        call: u64,
    },
    /// Says what the sender learned about requests that were in flight as a target crashed.
    Quarantine {
        /// The notices.
        notices: Vec<QuarantineNotice>,
    },
}

/// Whether a claim is granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// No other copy is known to be in flight.
    Granted,
    /// Another copy is in flight for at most this time.
    Held {
        /// The time, in milliseconds.
        for_ms: u64,
    },
}

/// What a gate learned about a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The service.
    pub service: ServiceName,
    /// The digest of the request.
    pub fingerprint: u64,
    /// What was learned.
    pub update: QuarantineUpdate,
}

/// What a fingerprint is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineUpdate {
    /// Requests with it were in flight as a target crashed.
    Suspected {
        /// The target.
        target: SocketAddr,
    },
    /// A suspect runs at a target, so that no other suspect is to be sent there.
    Running {
        /// The target.
        target: SocketAddr,
    },
    /// Requests with it are refused for a while.
    Quarantined {
        /// The time, in milliseconds.
        for_ms: u64,
    },
    /// A request with it ran to the end.
    Cleared,
}
