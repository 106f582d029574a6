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
}
