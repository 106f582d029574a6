use std::net::SocketAddr;

use bay_store::StoreRequest;
use bay_types::NodeId;
use bay_wire::{Item, Order};

use crate::{CallId, OrderId, OwnerMessage};

/// An action that an [`crate::Owner`] requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerOutput {
    /// Calls the store.
    Store {
        /// The call's identifier, which its result carries.
        id: CallId,
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
    /// Sends a message to the owner of another steward. The message may be lost.
    PeerMessage {
        /// The receiver's host.
        to: NodeId,
        /// The message.
        message: OwnerMessage,
    },
    /// Publishes routes to every node.
    PublishRoutes {
        /// The complete routes.
        whole: Item,
        /// The changes since the previous version, for nodes that have it.
        change: Option<Item>,
    },
    /// Increments a counter.
    Count(&'static str),
}
