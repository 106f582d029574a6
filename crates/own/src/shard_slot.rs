use bay_time::Time;
use bay_types::{Revision, SliceId, Term, ZoneName};

use crate::{ServerKey, Shard};

/// The latest known version of one shard, and this process's pending writes of it.
#[derive(Debug, Default)]
pub(crate) struct ShardSlot {
    shard: Option<Shard>,
    pub(crate) revision: Revision,
    /// Whether a store call for the shard is in flight.
    pub(crate) call_in_flight: bool,
    /// Whether the shard must be read before the next write.
    pub(crate) needs_read: bool,
    pub(crate) retry_at: Time,
    /// Writes over the current revision that may still take effect.
    pending_writes: Vec<Shard>,
}

impl ShardSlot {
    /// Returns the shard, or `None` if none was read yet.
    pub(crate) fn shard(&self) -> Option<&Shard> {
        self.shard.as_ref()
    }

    /// Returns the keeper's term that the shard names for a zone.
    pub(crate) fn keeper(&self, zone: ZoneName) -> Option<Term> {
        self.shard.as_ref()?.keepers.get(&zone).copied()
    }

    /// Replaces the shard if `revision` is newer; returns whether it was.
    pub(crate) fn update(&mut self, revision: Revision, shard: Shard) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.shard = Some(shard);
        self.pending_writes.clear();
        true
    }

    /// Records a write that is about to be sent.
    pub(crate) fn record_write(&mut self, shard: Shard) {
        self.pending_writes.push(shard);
    }

    /// Discards the last write, which took no effect.
    pub(crate) fn discard_last_write(&mut self) {
        self.pending_writes.pop();
    }

    /// Returns whether a pending write takes a slice from its owner without waiting for a
    /// release.
    pub(crate) fn may_lose_owner(&self, slice: SliceId, owner: ServerKey) -> bool {
        self.pending_writes.iter().any(|shard| {
            let Some(row) = shard.row(slice) else {
                return false;
            };
            let names = |index: Option<u16>| {
                let server = index.and_then(|index| shard.servers.get(usize::from(index)));
                server.is_some_and(|server| server.key == owner)
            };
            !names(row.owner) && !names(row.previous_owner)
        })
    }
}
