use bay_conf::{ServiceDoc, ZoneState};
use bay_store::{Object, StoreResult};
use bay_types::{KeyHash, NodeId, Revision, ServiceName, SliceId, ZoneName};
use bay_wire::OrderReply;

use crate::{OwnerMessage, StewardView};

/// Something that an [`crate::Owner`] is told.
#[derive(Debug, Clone)]
pub enum OwnerInput {
    /// A deadline has come.
    Tick,
    /// A service's document came into force, or was deleted if there is none.
    Document {
        /// The service.
        service: ServiceName,
        /// The document's revision.
        revision: Revision,
        /// The document.
        doc: Option<ServiceDoc>,
    },
    /// An operator's word on a zone came into force.
    Zone {
        /// The zone.
        zone: ZoneName,
        /// The object's revision.
        revision: Revision,
        /// Whether the zone takes work.
        state: ZoneState,
    },
    /// The stewards that membership knows, all of them.
    Stewards(Vec<StewardView>),
    /// A term or assignment object was seen in the store.
    StoreObject(Object),
    /// A call of the store has ended.
    Store {
        /// The call.
        id: CallId,
        /// What it came to.
        result: StoreResult,
    },
    /// An order was answered, or got no answer in time.
    Order {
        /// The order.
        id: OrderId,
        /// The server's answer, if there was one.
        reply: Option<OrderReply>,
    },
    /// A message of another steward came.
    PeerMessage {
        /// The sender's host.
        from: NodeId,
        /// The message.
        message: OwnerMessage,
    },
    /// A gate reported what it sends to a service.
    Rates {
        /// The service.
        service: ServiceName,
        /// The gate's host.
        gate: NodeId,
        /// Requests a second, over all keys.
        total: u32,
        /// The gate's hottest keys.
        keys: Vec<KeyRate>,
        /// The gate's busiest slices.
        slices: Vec<SliceRate>,
    },
    /// The process has been asked to stop.
    Stop,
}

/// How often a key is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests a second.
    pub per_second: u32,
}

/// How often the keys of a slice are asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceRate {
    /// The slice.
    pub slice: SliceId,
    /// Requests a second.
    pub per_second: u32,
}

/// Numbers the calls of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Numbers the orders to servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);
