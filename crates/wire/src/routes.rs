use std::net::SocketAddr;

use bay_types::{KeyHash, SliceId, Token};
use serde::{Deserialize, Serialize};

/// The granted slices of a service's servers in a zone.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routes {
    /// The servers that the rows name by index.
    pub servers: Vec<SocketAddr>,
    /// The slices.
    pub rows: Vec<RouteRow>,
    /// The keys that have a slice of their own.
    pub hot: Vec<HotKey>,
}

/// One slice and its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRow {
    /// The slice.
    pub slice: SliceId,
    /// The fencing token; the row with the highest one holds.
    pub token: Token,
    /// The owner's index in [`Routes::servers`], or `None` if the slice was given up.
    pub server: Option<u16>,
}

/// A key with a slice of its own.
///
/// Where a range's row is listed, the keys listed for that range are all that it has; a table that
/// takes the row drops the range's other hot keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HotKey {
    /// The hot-key slot.
    pub slice: SliceId,
    /// The key in it.
    pub key: KeyHash,
    /// The slot's token when it got this key; rows with lower ones are of an earlier key.
    pub since: Token,
}
