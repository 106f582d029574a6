use bay_types::{Incarnation, ServerName, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

/// A message between the owners of two stewards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerMessage {
    /// The receiver's process. Any other process ignores the message.
    pub to: Incarnation,
    /// The sender's process.
    pub from: Incarnation,
    /// The service whose servers the message concerns.
    pub service: ServiceName,
    /// The servers' zone.
    pub zone: ZoneName,
    /// The keeper's term.
    pub term: Term,
    /// The message's content.
    pub body: OwnerMessageBody,
}

/// The content of an [`OwnerMessage`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessageBody {
    /// A keeper authorizes its deputy to renew leases that the keeper can't.
    Mandate(Mandate),
    /// A deputy acknowledges a mandate.
    DeputyReport(DeputyReport),
    /// A keeper asks a former holder to end its roles in all earlier terms.
    StepDown,
    /// A former holder has ended its roles; lists the leases that it may have renewed.
    SteppedDown(Vec<RemainingLease>),
}

/// The authority of a deputy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mandate {
    /// Sequence number of the mandate within the term.
    pub sequence: u64,
    /// The reading of the deputy's clock from which the authority runs, in nanoseconds. It is the
    /// stamp of the deputy's last report.
    pub echo: Option<u64>,
    /// How long the authority runs from the echoed stamp, in milliseconds.
    pub authority_ms: u64,
    /// The length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Servers whose leases the deputy may not renew.
    pub barred: Vec<ServerName>,
    /// Servers that don't answer the keeper. The deputy renews the leases of those that answer
    /// it.
    pub unreachable: Vec<ServerName>,
}

/// A deputy's reply to a mandate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeputyReport {
    /// Sequence number of the mandate in force.
    pub sequence: u64,
    /// The reading of the deputy's clock, in nanoseconds.
    pub stamp: u64,
    /// The leases that the deputy may have renewed.
    pub leases: Vec<RemainingLease>,
}

/// A lease that the sender may have renewed, with its remaining time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingLease {
    /// The server.
    pub server: ServerName,
    /// Upper bound of the remaining time when the message was sent, in milliseconds.
    pub remaining_ms: u64,
}
