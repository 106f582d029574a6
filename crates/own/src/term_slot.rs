use bay_time::Time;
use bay_types::{Revision, Term};

use crate::TermRecord;

/// The latest known version of one term's object, and this process's pending writes of it.
#[derive(Debug, Default)]
pub(crate) struct TermSlot {
    pub(crate) record: Option<TermRecord>,
    pub(crate) revision: Revision,
    /// When the current revision was first observed.
    pub(crate) seen_at: Time,
    /// Since when membership reports the keeper's process as not alive.
    pub(crate) gone_since: Option<Time>,
    /// When a read of the store first showed that the current revision is still the latest.
    pub(crate) confirmed_at: Option<Time>,
    /// Whether the store reported that the object doesn't exist.
    pub(crate) absent: bool,
    /// Whether a store call for the object is in flight.
    pub(crate) call_in_flight: bool,
    /// Whether the object must be read before the next write.
    pub(crate) needs_read: bool,
    pub(crate) retry_at: Time,
    /// The term below which this process has promised to hold no role.
    pub(crate) ended_before: Term,
    pending_writes: Vec<PendingWrite>,
}

/// A write whose outcome is unknown.
#[derive(Debug)]
struct PendingWrite {
    nonce: u64,
    sent: Time,
}

impl TermSlot {
    /// Replaces the record if `revision` is newer; returns whether it was.
    pub(crate) fn update(&mut self, now: Time, revision: Revision, record: TermRecord) -> bool {
        if revision <= self.revision {
            return false;
        }
        self.revision = revision;
        self.record = Some(record);
        self.seen_at = now;
        self.gone_since = None;
        self.confirmed_at = None;
        self.absent = false;
        true
    }

    /// Records a write that is about to be sent.
    pub(crate) fn record_write(&mut self, now: Time, nonce: u64) {
        self.pending_writes.push(PendingWrite { nonce, sent: now });
        self.call_in_flight = true;
    }

    /// Discards a write that took no effect.
    pub(crate) fn discard_write(&mut self, nonce: u64) {
        self.pending_writes.retain(|write| write.nonce != nonce);
    }

    /// Returns when this process sent the write of the current record, or `None` if another did.
    ///
    /// Discards all pending writes, since none can take effect over a newer revision.
    pub(crate) fn resolve_writes(&mut self) -> Option<Time> {
        let nonce = self.record.as_ref()?.nonce;
        let pending_writes = std::mem::take(&mut self.pending_writes);
        let found = pending_writes.iter().find(|write| write.nonce == nonce);
        found.map(|write| write.sent)
    }
}
