use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an account in messages by a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AccountId(pub u32);

impl AccountId {
    /// Computes the id of the account with this name.
    pub fn new(name: &str) -> AccountId {
        AccountId(xxh3_64(name.as_bytes()) as u32)
    }
}
