use std::net::SocketAddr;

use bay_store::ObjectKey;
use bay_types::{HostName, ServiceName};
use serde::{Deserialize, Serialize};

/// Keys of the objects that routers keep in the store.
pub mod object_key {
    use super::{HostName, ObjectKey, ServiceName};

    /// Prefix of the routers' records.
    pub const HOSTS: &str = "bay-hosts/";

    /// The record of a router.
    pub fn host(host: HostName) -> Option<ObjectKey> {
        ObjectKey::new(&format!("{HOSTS}{host}"))
    }

    /// The record that names the granter.
    pub fn leadership() -> Option<ObjectKey> {
        ObjectKey::new("bay-granter/leader")
    }

    /// The table of a service's ranges.
    pub fn ranges(service: ServiceName) -> Option<ObjectKey> {
        ObjectKey::new(&format!("bay-ranges/{service}"))
    }
}

/// Says where a router takes datagrams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The address.
    pub peer: SocketAddr,
    /// Numbers the start of the router's process.
    pub incarnation: u64,
}
