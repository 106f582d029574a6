use bay_time::Time;
use bay_types::{Revision, SliceId, Term, ZoneName};

use crate::{ServerKey, Shard};

/// One shard as this process knows it, and its own write on the way.
#[derive(Debug, Default)]
pub(crate) struct ShardSlot {
    shard: Option<Shard>,
    pub(crate) revision: Revision,
    /// Whether a call for the shard is under way.
    pub(crate) busy: bool,
    /// Whether the shard has to be read before it is written.
    pub(crate) unread: bool,
    pub(crate) retry_at: Time,
    /// Writes over the present revision that may yet take effect.
    doubtful: Vec<Shard>,
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
    pub(crate) fn adopt(&mut self, revision: Revision, shard: Shard) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.shard = Some(shard);
        self.doubtful.clear();
        true
    }

    /// Notes a write that is about to be sent.
    pub(crate) fn doubt(&mut self, shard: Shard) {
        self.doubtful.push(shard);
    }

    /// Notes that the write sent last took no effect.
    pub(crate) fn clear_last_doubt(&mut self) {
        self.doubtful.pop();
    }

    /// Whether a write that may yet take effect counts a slice's owner out.
    pub(crate) fn may_be_lost(&self, slice: SliceId, owner: ServerKey) -> bool {
        self.doubtful.iter().any(|shard| {
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
