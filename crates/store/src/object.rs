use std::fmt;

use bay_types::{HostName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: ObjectKey,
    /// The revision of its last write.
    pub revision: Revision,
    /// The object's text.
    pub body: String,
}

/// The key of an object, a path such as `service/booking`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Longest key, in bytes.
    pub const MAX_BYTES: usize = 200;
    /// The prefix of the service documents.
    pub const SERVICES: &'static str = "service/";
    /// The prefix of the zone objects.
    pub const ZONES: &'static str = "zone/";
    /// The prefix of the assignment objects.
    pub const ASSIGNMENTS: &'static str = "assignment/";
    /// The prefix of the term objects.
    pub const TERMS: &'static str = "term/";

    /// Checks a key: non-empty parts of `a-z`, `0-9`, `-` and `.`, parted by `/`.
    pub fn new(text: &str) -> Option<ObjectKey> {
        let part_ok = |part: &str| {
            let byte_ok =
                |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
            !part.is_empty() && part.bytes().all(byte_ok)
        };
        let valid = text.len() <= ObjectKey::MAX_BYTES && text.split('/').all(part_ok);
        valid.then(|| ObjectKey(text.to_owned()))
    }

    /// The key of a service's document.
    pub fn service(service: ServiceName) -> ObjectKey {
        ObjectKey(format!("{}{service}", ObjectKey::SERVICES))
    }

    /// The key of a zone's object.
    pub fn zone(zone: ZoneName) -> ObjectKey {
        ObjectKey(format!("{}{zone}", ObjectKey::ZONES))
    }

    /// The key of one shard of a service's assignment.
    pub fn assignment(service: ServiceName, shard: u32) -> ObjectKey {
        ObjectKey(format!("{}{service}/{shard}", ObjectKey::ASSIGNMENTS))
    }

    /// The key of the term for a service's servers in a zone.
    pub fn term(service: ServiceName, zone: ZoneName) -> ObjectKey {
        ObjectKey(format!("{}{service}/{zone}", ObjectKey::TERMS))
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One change that a watch reports.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The changed object's key.
    pub key: ObjectKey,
    /// The revision of the change.
    pub revision: Revision,
    /// The object's new text, or `None` if it was deleted.
    pub body: Option<String>,
}

/// One entry of the platform's lagging list of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: HostName,
    /// The host's zone.
    pub zone: ZoneName,
    /// Where its steward listens.
    pub steward: std::net::SocketAddr,
    /// What the platform says of it.
    pub state: HostState,
}

/// What the platform says of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host runs.
    Live,
    /// The host is about to stop.
    Leaving,
}
