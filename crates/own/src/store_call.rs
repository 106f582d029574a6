use bay_types::{ServiceName, ZoneName};

use crate::{Shard, TermRecord};

/// A store call in flight, with the data for handling its reply.
#[derive(Debug)]
pub(crate) enum StoreCall {
    /// Reads a term record.
    ListTerm { service: ServiceName, zone: ZoneName },
    /// Writes a term record.
    PutTerm { service: ServiceName, zone: ZoneName, nonce: u64, record: Box<TermRecord> },
    /// Reads a shard.
    GetShard { service: ServiceName, index: u32 },
    /// Writes a shard.
    PutShard { service: ServiceName, index: u32, shard: Box<Shard> },
}
