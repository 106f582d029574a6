use std::net::SocketAddr;

use bay_store::StoreResult;
use bay_types::NodeId;
use bay_wire::{LinkMessage, OrderReply};

/// An event that a [`crate::Steward`] handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// The deadline of [`crate::Steward::next_deadline`] has passed.
    Tick,
    /// A store call has completed.
    Store {
        /// The call's identifier.
        id: StoreCallId,
        /// The call's result.
        result: StoreResult,
    },
    /// An order was answered or has timed out.
    Order {
        /// The order's identifier.
        id: OrderId,
        /// The server's reply, or `None` after a timeout.
        reply: Option<OrderReply>,
    },
    /// A message was received over a TCP connection.
    Link {
        /// The connection.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// A TCP connection was closed.
    LinkClosed {
        /// The connection.
        link: LinkId,
    },
    /// A datagram of another steward was received and authenticated.
    Datagram {
        /// The sender's host, proven by the datagram's seal.
        node: NodeId,
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// An operator requested the status of the system.
    StatusRequest(StatusId),
    /// The process was asked to stop.
    Stop,
}

/// Identifies a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// Identifies an order to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// Identifies a TCP connection of a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Identifies a status request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatusId(pub u64);
