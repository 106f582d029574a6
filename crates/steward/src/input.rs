use std::net::SocketAddr;

use bay_store::StoreResult;
use bay_types::NodeId;
use bay_wire::{LinkMessage, OrderReply};

/// Something that happened to a steward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Input {
    /// A deadline has come.
    Tick,
    /// A call of the store has ended.
    Store {
        /// The call.
        id: StoreCallId,
        /// What it came to.
        result: StoreResult,
    },
    /// An order was answered, or got no answer.
    Order {
        /// The order.
        id: OrderId,
        /// The server's answer, if there was one.
        reply: Option<OrderReply>,
    },
    /// A message came over a TCP connection.
    Link {
        /// The connection.
        link: LinkId,
        /// The message.
        message: LinkMessage,
    },
    /// A TCP connection ended.
    LinkClosed {
        /// The connection.
        link: LinkId,
    },
    /// A datagram of another steward came, its seal already checked.
    Datagram {
        /// The sender's host, as the seal proves it.
        node: NodeId,
        /// The sender's address.
        from: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// An operator asked for the status of the system.
    StatusRequest(StatusId),
    /// The process has been asked to stop.
    Stop,
}

/// Numbers the calls of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StoreCallId(pub u64);

/// Numbers the orders to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// Numbers the TCP connections of a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Numbers the requests for status.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StatusId(pub u64);
