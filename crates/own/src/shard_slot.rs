use bay_time::Time;
use bay_types::{Revision, SliceId, Term, ZoneName};

use crate::{ServerKey, Shard};

/// One shard as this process knows it, and its own write on the way.
#[derive(Debug, Default)]
pub(crate) struct ShardSlot {
    shard: Option<Shard>,
    pub(crate) revision: Revision,
    /// Whether a call for the shard is under way.
    pub(crate) call_in_flight: bool,
    /// Whether the shard has to be read before it is written.
    pub(crate) needs_read: bool,
    pub(crate) retry_at: Time,
    /// Writes over the present revision that may yet take effect.
    unconfirmed: Vec<Shard>,
}

impl ShardSlot {
    /// The shard, if it is known.
    pub(crate) fn shard(&self) -> Option<&Shard> {
        self.shard.as_ref()
    }

    /// The keeper's term that the shard names for a zone.
    pub(crate) fn keeper(&self, zone: ZoneName) -> Option<Term> {
        self.shard.as_ref()?.keepers.get(&zone).copied()
    }

    /// Takes over a newer version; returns whether it was newer.
    pub(crate) fn update(&mut self, revision: Revision, shard: Shard) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.shard = Some(shard);
        self.unconfirmed.clear();
        true
    }

    /// Notes a write that is about to be sent.
    pub(crate) fn record_write(&mut self, shard: Shard) {
        self.unconfirmed.push(shard);
    }

    /// Notes that the write sent last took no effect.
    pub(crate) fn discard_last_write(&mut self) {
        self.unconfirmed.pop();
    }

    /// Whether a write that may yet take effect counts a slice's owner out.
    pub(crate) fn may_lose_owner(&self, slice: SliceId, owner: ServerKey) -> bool {
        self.unconfirmed.iter().any(|shard| {
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
