use bay_own::OwnerMessage;
use bay_types::NodeId;
use bay_wire::ServiceRates;
use serde::{Deserialize, Serialize};

/// A datagram from one steward to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StewardDatagram {
    /// Membership and gossip of items, as encoded by `bay_member`.
    Peers(Vec<u8>),
    /// A message between owners.
    Ownership(OwnerMessage),
    /// The request rates of a gate for one service, sent to the service's planner.
    Rates {
        /// The gate's host.
        gate: NodeId,
        /// The rates.
        rates: ServiceRates,
    },
}
