use std::net::SocketAddr;

use bay_store::StoreRequest;
use bay_types::NodeId;
use bay_wire::{Item, Order};

use crate::{CallId, OrderId, OwnerMessage};

/// Something that an [`crate::Owner`] asks to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OwnerOutput {
    /// Calls the store.
    Store {
        /// The call.
        id: CallId,
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
    /// Sends a message to the owner of another steward; it may be lost.
    PeerMessage {
        /// The receiver's host.
        to: NodeId,
        /// The message.
        message: OwnerMessage,
    },
    /// Spreads routes to every node.
    PublishRoutes {
        /// The routes, whole.
        whole: Item,
        /// What changed since the version before, for nodes that have that one.
        change: Option<Item>,
    },
    /// Adds one to a counter.
    Count(&'static str),
}
