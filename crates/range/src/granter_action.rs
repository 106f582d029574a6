use std::net::SocketAddr;

use crate::{GrantOrder, OrderId, OwnerId, RangeTable};

/// An effect that the caller of a granter has to perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GranterAction {
    /// Writes the table to the store in place of the previous one.
    Save(RangeTable),
    /// Sends an order to a server.
    Order {
        /// Identifies the order in its result.
        id: OrderId,
        /// The server process that the order is for.
        to: OwnerId,
        /// Address at which the server accepts orders.
        address: SocketAddr,
        /// The order to send.
        order: GrantOrder,
    },
    /// Publishes the served ranges to the routers, as they have changed.
    Publish,
}
