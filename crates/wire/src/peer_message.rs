use std::net::SocketAddr;

use bay_types::ServiceName;
use serde::{Deserialize, Serialize};

use crate::LoadMessage;

/// The content of a datagram between gates.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Carries a message about the slots of a service's targets.
    Load {
        /// The service whose targets the message concerns.
        service: ServiceName,
        /// The message about slots.
        message: LoadMessage,
    },
    /// Claims the exclusive right to run a request with an idempotency key.
    Claim {
        /// The hash of the service and the idempotency key.
        digest: u64,
        /// The claimant's number for the request.
        call: u64,
        /// Time until the claim expires if it is not released, in milliseconds.
        hold_ms: u64,
    },
    /// Answers [`PeerMessage::Claim`].
    ClaimReply {
        /// The digest of the claim.
        digest: u64,
        /// The claimant's number for the request.
        call: u64,
        /// Whether the claim is granted.
        verdict: ClaimVerdict,
    },
    /// Releases a claim.
    Release {
        /// The digest of the claim.
        digest: u64,
        /// The claimant's number for the request.
        call: u64,
    },
    /// Reports changes in the quarantine state of requests that may crash targets.
    Quarantine {
        /// The notices, one for each change.
        notices: Vec<QuarantineNotice>,
    },
}

/// The answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimVerdict {
    /// No other copy of the request is known to be in flight.
    Granted,
    /// Another copy of the request holds the claim.
    Held {
        /// Time until the other claim expires, in milliseconds.
        for_ms: u64,
    },
}

/// A change in the quarantine state of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineNotice {
    /// The service to which the requests are sent.
    pub service: ServiceName,
    /// The hash that identifies equal requests.
    pub fingerprint: u64,
    /// The new state.
    pub update: QuarantineUpdate,
}

/// The new quarantine state of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineUpdate {
    /// A request with the fingerprint was in flight when a target crashed.
    Suspected {
        /// The target that crashed.
        target: SocketAddr,
    },
    /// A suspected request runs on a target. No other suspected request may be sent there.
    Running {
        /// The target that runs the request.
        target: SocketAddr,
    },
    /// Requests with the fingerprint are refused for a limited time.
    Quarantined {
        /// Time until the quarantine ends, in milliseconds.
        for_ms: u64,
    },
    /// A request with the fingerprint completed, so it is no longer suspected.
    Cleared,
}
