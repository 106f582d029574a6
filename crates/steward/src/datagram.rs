use bay_own::OwnerMessage;
use bay_types::NodeId;
use bay_wire::ServiceRates;
use serde::{Deserialize, Serialize};

/// A datagram from one steward to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StewardDatagram {
    /// Membership and the spread of items, as `bay_member` encodes them.
    Peers(Vec<u8>),
    /// Ownership.
    Ownership(OwnerMessage),
    /// What a gate sends to a service, for the service's planner.
    Rates {
        /// The gate's host.
        gate: NodeId,
        /// What it sends.
        rates: ServiceRates,
    },
}
