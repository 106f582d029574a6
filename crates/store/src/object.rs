use std::fmt;

use bay_types::{HostName, Revision, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// An object in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// The object's key.
    pub key: ObjectKey,
    /// The store revision of the object's last write.
    pub revision: Revision,
    /// The object's content, as text.
    pub body: String,
}

/// The key of an object, a path such as `service/booking`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectKey(String);

impl ObjectKey {
    /// Maximum length of a key, in bytes.
    pub const MAX_BYTES: usize = 200;
    /// Key prefix of service documents.
    pub const SERVICES: &'static str = "service/";
    /// Key prefix of zone objects, which say whether a zone is in service.
    pub const ZONES: &'static str = "zone/";
    /// Key prefix of assignment shards.
    pub const ASSIGNMENTS: &'static str = "assignment/";
    /// Key prefix of term records.
    pub const TERMS: &'static str = "term/";

    /// Validates a key: non-empty parts of `a-z`, `0-9`, `-` and `.`, separated by `/`.
    pub fn new(text: &str) -> Option<ObjectKey> {
        let is_valid_part = |part: &str| {
            let is_valid_byte =
                |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-.".contains(&b);
            !part.is_empty() && part.bytes().all(is_valid_byte)
        };
        let valid = text.len() <= ObjectKey::MAX_BYTES && text.split('/').all(is_valid_part);
        valid.then(|| ObjectKey(text.to_owned()))
    }

    /// Creates the key of an object that others have named; its name may be any text. `None` if the kind
    /// is no valid part of a key.
    pub fn of_others(kind: &str, name: &str) -> Option<ObjectKey> {
        ObjectKey::new(kind).map(|kind| ObjectKey(format!("{}/{name}", kind.0)))
    }

    /// Returns the key of a service's document.
    pub fn service(service: ServiceName) -> ObjectKey {
        ObjectKey(format!("{}{service}", ObjectKey::SERVICES))
    }

    /// Returns the key of a zone's object.
    pub fn zone(zone: ZoneName) -> ObjectKey {
        ObjectKey(format!("{}{zone}", ObjectKey::ZONES))
    }

    /// Returns the key of a shard of a service's assignment.
    pub fn assignment(service: ServiceName, shard: u32) -> ObjectKey {
        ObjectKey(format!("{}{service}/{shard}", ObjectKey::ASSIGNMENTS))
    }

    /// Returns the key of the term record for a service's servers in a zone.
    pub fn term(service: ServiceName, zone: ZoneName) -> ObjectKey {
        ObjectKey(format!("{}{service}/{zone}", ObjectKey::TERMS))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the object's kind and its name, the parts before and after the first slash.
    pub fn split(&self) -> (&str, &str) {
        self.0.split_once('/').unwrap_or((&self.0, ""))
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A change to an object, reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The changed object's key.
    pub key: ObjectKey,
    /// The store revision of the change.
    pub revision: Revision,
    /// The object's new content, or `None` if the object was deleted.
    pub body: Option<String>,
}

/// An entry of the platform's host list, which may lag behind the actual state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name.
    pub name: HostName,
    /// The host's zone.
    pub zone: ZoneName,
    /// The address of the host's steward.
    pub steward: std::net::SocketAddr,
    /// The host's state as reported by the platform.
    pub state: HostState,
}

/// The state of a host as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is running.
    Live,
    /// The host is about to be stopped.
    Leaving,
}
