use std::net::SocketAddr;

use bay_wire::{Item, LinkMessage};

use crate::Member;

/// Names a TCP connection of this steward; its driver chooses the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkHandle(pub u64);

/// Something that [`crate::Peers`] asks its driver to do, or tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeersOutput {
    /// Sends a datagram to another steward, to be sealed by the driver.
    Datagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// Sends a message over a connection that is open.
    Link {
        /// The connection.
        link: LinkHandle,
        /// The message.
        message: LinkMessage,
    },
    /// Sends a message to another steward, over a new connection if none is open.
    Steward {
        /// The steward's address.
        to: SocketAddr,
        /// The message.
        message: LinkMessage,
    },
    /// Says that a node has come, gone or changed.
    MemberChanged(Member),
    /// Says that an item has a higher version; it is whole.
    ItemChanged(Item),
    /// Says that the survey is complete, so that [`crate::Peers::cluster_status`] is fresh.
    SurveyFinished,
}
