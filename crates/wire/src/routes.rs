use std::net::SocketAddr;

use bay_types::{KeyHash, SliceId, Token};
use serde::{Deserialize, Serialize};

/// The slices granted to a service's servers in a zone.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routes {
    /// The addresses of the servers. Rows refer to them by index.
    pub servers: Vec<SocketAddr>,
    /// The slices and their owners.
    pub rows: Vec<RouteRow>,
    /// The keys that have a slice of their own.
    pub hot: Vec<HotKey>,
}

/// One slice and its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRow {
    /// A range or a hot-key slot.
    pub slice: SliceId,
    /// The slice's fencing token. Of two rows for a slice, the one with the higher token is valid.
    pub token: Token,
    /// The owner's index in [`Routes::servers`], or `None` if the slice has no owner.
    pub server: Option<u16>,
}

/// A key with a slice of its own.
///
/// If [`Routes`] contain the row of a range, they list all hot keys of that range. A table that
/// applies the row removes the range's other hot keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HotKey {
    /// The hot-key slot that holds the key.
    pub slice: SliceId,
    /// The hash of the key in the slot.
    pub key: KeyHash,
    /// The slot's token when the key was assigned to it. Rows of the slot with lower tokens belong
    /// to an earlier key.
    pub since: Token,
}
