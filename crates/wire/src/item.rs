use std::fmt;

use bay_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A versioned piece of state that is replicated to every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The identity of the item across versions.
    pub key: ItemKey,
    /// The item's version. An item is replaced by higher versions only.
    pub version: ItemVersion,
    /// The version to which the body is a delta, or `None` if the body is complete.
    pub base: Option<ItemVersion>,
    /// The encoded content; its format depends on the key.
    pub body: Vec<u8>,
}

/// The key of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A service's document, as text. An empty body marks a deleted document.
    Document(ServiceName),
    /// The object that says whether a zone is in service, as text.
    Zone(ZoneName),
    /// The slices granted to a service's servers in a zone, as [`crate::Routes`].
    Routes(ServiceName, ZoneName),
}

/// The version of an item. The major number is compared first.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ItemVersion {
    /// The store revision or the term in which the version was created.
    pub major: u64,
    /// The sequence number of the version within the major number.
    pub minor: u64,
}

impl ItemKey {
    /// Returns whether the item is configuration from the store. Routes aren't: stewards compute
    /// them.
    pub fn is_configuration(self) -> bool {
        match self {
            ItemKey::Document(_) | ItemKey::Zone(_) => true,
            ItemKey::Routes(..) => false,
        }
    }
}

impl fmt::Display for ItemKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemKey::Document(service) => write!(f, "service/{service}"),
            ItemKey::Zone(zone) => write!(f, "zone/{zone}"),
            ItemKey::Routes(service, zone) => write!(f, "routes/{service}/{zone}"),
        }
    }
}
