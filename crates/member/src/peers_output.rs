use std::net::SocketAddr;

use bay_wire::{Item, LinkMessage};

use crate::Member;

/// Identifies a TCP connection of this steward; assigned by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkHandle(pub u64);

/// An action or event that [`crate::Peers`] hands to its driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeersOutput {
    /// Send a datagram to another steward; the driver seals it.
    Datagram {
        /// The address of the receiving steward.
        to: SocketAddr,
        /// The encoded payload, without a seal.
        payload: Vec<u8>,
    },
    /// Send a message over an open connection.
    Link {
        /// The connection, opened by either side.
        link: LinkHandle,
        /// The message to send.
        message: LinkMessage,
    },
    /// Send a message to another steward, over a new connection if none is open.
    Steward {
        /// The address of the receiving steward.
        to: SocketAddr,
        /// The message to send.
        message: LinkMessage,
    },
    /// A member was added or has changed.
    MemberChanged(Member),
    /// An item has a higher version; contains the full item, never a delta.
    ItemChanged(Item),
    /// The survey is complete; [`crate::Peers::cluster_status`] returns its result.
    SurveyFinished,
}
