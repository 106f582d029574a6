use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The 64-bit XXH3 hash of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key.
    pub fn of(key: &[u8]) -> KeyHash {
        KeyHash(xxh3_64(key))
    }
}
