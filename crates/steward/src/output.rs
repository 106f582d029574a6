use std::net::SocketAddr;

use bay_store::StoreRequest;
use bay_wire::{ClusterStatus, LinkMessage, Order};

use crate::{LinkId, OrderId, StatusId, StoreCallId};

/// An action that a [`crate::Steward`] requests from its shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Calls the store.
    Store {
        /// The call's identifier, which its result carries.
        id: StoreCallId,
        /// The request.
        request: StoreRequest,
    },
    /// Sends an order to a server.
    Order {
        /// The order's identifier, which its reply carries.
        id: OrderId,
        /// The server's address.
        to: SocketAddr,
        /// The order.
        order: Order,
    },
    /// Sends a message over an open TCP connection.
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
    /// Sends a datagram to another steward. The shell seals it.
    Datagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The payload.
        payload: Vec<u8>,
    },
    /// Answers a status request.
    Status {
        /// The request's identifier.
        id: StatusId,
        /// The status.
        status: Box<ClusterStatus>,
    },
    /// Increments a counter.
    Count(&'static str),
}
