use std::net::SocketAddr;

use bay_store::StoreRequest;
use bay_wire::{ClusterStatus, LinkMessage, Order};

use crate::{LinkId, OrderId, StatusId, StoreCallId};

/// Something that a steward asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Calls the store.
    Store {
        /// The call.
        id: StoreCallId,
        /// What to call.
        request: StoreRequest,
    },
    /// Sends an order to a server.
    Order {
        /// The order.
        id: OrderId,
        /// The server's address.
        to: SocketAddr,
        /// What to send.
        order: Order,
    },
    /// Sends a message over a TCP connection that is open.
    Link {
        /// The connection.
        link: LinkId,
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
    /// Sends a datagram to another steward, to be sealed by the shell.
    Datagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// Answers a request for status.
    Status {
        /// The request.
        id: StatusId,
        /// The status.
        status: Box<ClusterStatus>,
    },
    /// Adds one to a counter.
    Count(&'static str),
}
