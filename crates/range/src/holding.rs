use std::net::SocketAddr;

use bay_types::{ServerName, Token};
use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// One life of a server; a restarted server holds nothing of what it held before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerId {
    /// The server's name.
    pub server: ServerName,
    /// When the server started, in Unix milliseconds by its own clock.
    pub started: u64,
}

/// A range with its owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The keys.
    pub range: KeyRange,
    /// The server that owns them.
    pub owner: OwnerId,
    /// Where the server takes orders.
    pub address: SocketAddr,
    /// The fencing token of the grant.
    pub token: Token,
    /// The owner before, as long as it may still hold the keys.
    pub former: Option<FormerOwner>,
}

/// An owner that may still hold keys that were given to another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The server.
    pub owner: OwnerId,
    /// Where the server takes orders.
    pub address: SocketAddr,
    /// The fencing token of its grant.
    pub token: Token,
}
