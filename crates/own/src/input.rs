use bay_conf::{ServiceDoc, ZoneState};
use bay_store::{Object, StoreResult};
use bay_types::{KeyHash, NodeId, Revision, ServiceName, SliceId, ZoneName};
use bay_wire::OrderReply;

use crate::{OwnerMessage, StewardView};

/// An event that an [`crate::Owner`] handles.
#[derive(Debug, Clone)]
pub enum OwnerInput {
    /// The deadline of [`crate::Owner::next_deadline`] has passed.
    Tick,
    /// A service's document came into force or was deleted.
    Document {
        /// The service.
        service: ServiceName,
        /// The document's revision.
        revision: Revision,
        /// The document, or `None` if it was deleted.
        doc: Option<ServiceDoc>,
    },
    /// A zone's state, set by an operator, came into force.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// The object's revision.
        revision: Revision,
        /// Whether the zone may own slices.
        state: ZoneState,
    },
    /// The complete list of stewards known to membership.
    Stewards(Vec<StewardView>),
    /// A term or assignment object was read from the store.
    StoreObject(Object),
    /// A store call has completed.
    Store {
        /// The call's identifier.
        id: CallId,
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
    /// A message of another steward was received.
    PeerMessage {
        /// The sender's host.
        from: NodeId,
        /// The message.
        message: OwnerMessage,
    },
    /// A gate reported the rates of its requests to a service.
    Rates {
        /// The service.
        service: ServiceName,
        /// The gate's host.
        gate: NodeId,
        /// Requests per second, over all keys.
        total: u32,
        /// The gate's hottest keys.
        keys: Vec<KeyRate>,
        /// The gate's busiest slices.
        slices: Vec<SliceRate>,
    },
    /// The process was asked to stop.
    Stop,
}

/// The request rate of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRate {
    /// The key's hash.
    pub key: KeyHash,
    /// Requests per second.
    pub per_second: u32,
}

/// The request rate of a slice, over its keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceRate {
    /// The slice.
    pub slice: SliceId,
    /// Requests per second.
    pub per_second: u32,
}

/// Identifies a store call of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies an order to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);
