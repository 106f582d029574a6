use std::net::SocketAddr;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

/// A process of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerProcess {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the process, as the server tells it.
    pub started: u64,
    /// Address at which it takes requests.
    pub address: SocketAddr,
}

/// What the answers of a server's process have told of it.
///
/// It holds for as long as the process runs, whatever its entry in the store says.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ServerStanding {
    /// Whether the server has said that it is about to stop.
    pub(crate) is_leaving: bool,
    /// When the standing last changed.
    pub(crate) changed_at: Time,
}

/// Whether requests may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAccess {
    /// They may.
    Open,
    /// No connection to it could be opened a moment ago.
    Unreachable,
    /// It takes no requests, or must get none.
    Closed,
}

/// What an answer tells of a server, for all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatement {
    /// The server is about to stop and must get no new requests.
    Leaving,
}

/// What a router has learned of a server, as it tells the other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerNotice {
    /// Process of the server.
    pub process: ServerProcess,
    /// What it has said.
    pub statement: ServerStatement,
}
