use std::net::SocketAddr;

use bay_types::{ServerName, Token};
use serde::{Deserialize, Serialize};

use crate::KeyRange;

/// Identifies one process of a server. After a restart the server holds no keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OwnerId {
    /// The server's name.
    pub server: ServerName,
    /// When the server started, in Unix milliseconds by its own clock.
    pub started: u64,
}

/// A key range with its owner, as stored in the range table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The keys; holdings of one table do not overlap.
    pub range: KeyRange,
    /// The server that owns them.
    pub owner: OwnerId,
    /// Address at which the server accepts orders.
    pub address: SocketAddr,
    /// Fencing token of the grant.
    pub token: Token,
    /// The previous owner, as long as it may still hold the keys.
    pub former: Option<FormerOwner>,
    /// Whether an owner before `former` may still hold the keys too.
    ///
    /// An earlier granter may have saved a move to `former` without releasing the keys.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub has_earlier_former: bool,
}

/// A previous owner that may still hold keys now assigned to another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerOwner {
    /// The previous owner's process.
    pub owner: OwnerId,
    /// Address at which the server accepts orders.
    pub address: SocketAddr,
    /// Fencing token of its grant, which a release has to name.
    pub token: Token,
}
