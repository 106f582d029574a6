use std::fmt;

use bay_types::{ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// A versioned piece of state that spreads to every node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What the item is.
    pub key: ItemKey,
    /// Its version; a higher one replaces a lower one, never the reverse.
    pub version: ItemVersion,
    /// The version that the body builds on, or `None` if the body is whole.
    pub base: Option<ItemVersion>,
    /// The item's encoded body.
    pub body: Vec<u8>,
}

/// Names an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ItemKey {
    /// A service's document, as text; an empty body says that it was deleted.
    Document(ServiceName),
    /// Whether a zone is in or out, as the text of its object.
    Zone(ZoneName),
    /// The granted slices of a service's servers in a zone, as [`crate::Routes`].
    Routes(ServiceName, ZoneName),
}

/// The version of an item, compared field by field.
#[derive(
    Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ItemVersion {
    /// The store revision or term under which the item was made.
    pub major: u64,
    /// Counts the versions made under it.
    pub minor: u64,
}

impl ItemKey {
    /// Whether the item is configuration, and not a map that the system makes itself.
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
