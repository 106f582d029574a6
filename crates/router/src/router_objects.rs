use std::net::SocketAddr;

use bay_store::ObjectKey;
use bay_types::{HostName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// Keys of the objects that routers keep in the store.
pub mod object_key {
    use super::{HostName, ObjectKey, ServiceName};

    /// Prefix of the keys of the routers' records.
    pub const HOSTS: &str = "bay-hosts/";

    /// Returns the key of a router's record.
    pub fn host(host: HostName) -> Option<ObjectKey> {
        ObjectKey::new(&format!("{HOSTS}{host}"))
    }

    /// Returns the key of the record that names the granter.
    pub fn leadership() -> Option<ObjectKey> {
        ObjectKey::new("bay-granter/leader")
    }

    /// Returns the key of a service's range table.
    pub fn ranges(service: ServiceName) -> Option<ObjectKey> {
        ObjectKey::new(&format!("bay-ranges/{service}"))
    }
}

/// A router's registration in the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostRecord {
    /// Address for datagrams from other routers.
    pub peer: SocketAddr,
    /// Tells the incarnations of the router's process apart.
    pub incarnation: u64,
    /// Zone of the machine; `None` if the record is that of an earlier version.
    #[serde(default)]
    pub zone: Option<ZoneName>,
    /// Size of the machine relative to one that is large enough to be the granter; 1 at most.
    #[serde(default)]
    pub size: f64,
}
