use bay_types::{Incarnation, ServerName, ServiceName, Term, ZoneName};
use serde::{Deserialize, Serialize};

/// A message between the owners of two stewards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerMessage {
    /// The receiver's process; any other ignores the message.
    pub to: Incarnation,
    /// The sender's process.
    pub from: Incarnation,
    /// The service whose servers the message concerns.
    pub service: ServiceName,
    /// The servers' zone.
    pub zone: ZoneName,
    /// The keeper's term.
    pub term: Term,
    /// What the message says.
    pub body: OwnerMessageBody,
}

/// What an [`OwnerMessage`] says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerMessageBody {
    /// A keeper lets its deputy renew leases while the keeper is silent.
    Mandate(Mandate),
    /// A deputy's answer to a mandate.
    DeputyReport(DeputyReport),
    /// A keeper asks an earlier holder to end its part in all earlier terms.
    StepDown,
    /// An earlier holder has ended its part; the leases that it may have extended.
    SteppedDown(Vec<RemainingLease>),
}

/// What a deputy may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mandate {
    /// Counts the keeper's mandates within the term.
    pub sequence: u64,
    /// The deputy's clock from which the authority runs, out of its last report, in nanoseconds.
    pub echo: Option<u64>,
    /// How long the authority runs from the echoed reading, in milliseconds.
    pub authority_ms: u64,
    /// The length of a lease, in milliseconds.
    pub lease_ms: u64,
    /// Servers that the deputy may not renew.
    pub barred: Vec<ServerName>,
    /// Servers that do not answer the keeper, for the deputy to renew if they answer it.
    pub unreachable: Vec<ServerName>,
}

/// What a deputy has done.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeputyReport {
    /// The mandate that is in force.
    pub sequence: u64,
    /// The deputy's clock, in nanoseconds.
    pub stamp: u64,
    /// The leases that the deputy may have extended.
    pub leases: Vec<RemainingLease>,
}

/// How long a lease that the sender may have extended can still run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemainingLease {
    /// The server.
    pub server: ServerName,
    /// The longest time left when the message was sent, in milliseconds.
    pub remaining_ms: u64,
}
