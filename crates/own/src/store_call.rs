use bay_types::{ServiceName, ZoneName};

use crate::{Shard, TermRecord};

/// A call of the store that is under way.
#[derive(Debug)]
pub(crate) enum StoreCall {
    /// Reads a term.
    ListTerm { service: ServiceName, zone: ZoneName },
    /// Writes a term.
    PutTerm { service: ServiceName, zone: ZoneName, nonce: u64, record: Box<TermRecord> },
    /// Reads a shard.
    GetShard { service: ServiceName, index: u32 },
    /// Writes a shard.
    PutShard { service: ServiceName, index: u32, shard: Box<Shard> },
}
