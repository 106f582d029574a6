use bay_types::ServerName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Short identifier of a server in messages: 32 bits of the hash of its name.
///
/// Two servers with the same identifier share an estimate. With 252 servers, the probability that
/// any two have the same one is 7 in a million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerId(pub [u8; 4]);

impl ServerId {
    /// Returns the identifier of a server.
    pub fn new(name: ServerName) -> ServerId {
        let hash = xxh3_64(name.as_str().as_bytes()) as u32;
        ServerId(hash.to_le_bytes())
    }
}
