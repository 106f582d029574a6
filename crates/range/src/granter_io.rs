use std::net::SocketAddr;

use crate::{GrantOrder, OrderId, OwnerId, RangeTable};

/// What a granter wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GranterAction {
    /// Writes the table to the store over the last one.
    Save(RangeTable),
    /// Sends an order to a server.
    Order {
        /// Identifies the order in its result.
        id: OrderId,
        /// The server.
        to: OwnerId,
        /// Where the server takes orders.
        address: SocketAddr,
        /// The order.
        order: GrantOrder,
    },
    /// Tells the routers that the table they route by has changed.
    Publish,
}
