use bay_time::Time;
use bay_types::{Revision, Term};

use crate::TermRecord;

/// One term's object as this process knows it, and its own writes on the way.
#[derive(Debug, Default)]
pub(crate) struct TermSlot {
    pub(crate) record: Option<TermRecord>,
    pub(crate) revision: Revision,
    /// When the present revision was first seen.
    pub(crate) seen_at: Time,
    /// Since when membership has said that the keeper's process is gone.
    pub(crate) gone_since: Option<Time>,
    /// When the store first showed that a silent keeper had not renewed.
    pub(crate) confirmed_at: Option<Time>,
    /// Whether the store has shown that there is no object.
    pub(crate) absent: bool,
    /// Whether a call for the object is under way.
    pub(crate) call_in_flight: bool,
    /// Whether the object has to be read before it is written.
    pub(crate) needs_read: bool,
    pub(crate) retry_at: Time,
    /// This process has said that it has no part in any earlier term.
    pub(crate) ended_before: Term,
    pending_writes: Vec<PendingWrite>,
}

/// A write whose outcome is not known yet.
#[derive(Debug)]
struct PendingWrite {
    nonce: u64,
    sent: Time,
}

impl TermSlot {
    /// Takes over a newer version; returns whether it was newer.
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

    /// Notes a write that is about to be sent.
    pub(crate) fn record_write(&mut self, now: Time, nonce: u64) {
        self.pending_writes.push(PendingWrite { nonce, sent: now });
        self.call_in_flight = true;
    }

    /// Notes that a write took no effect.
    pub(crate) fn discard_write(&mut self, nonce: u64) {
        self.pending_writes.retain(|write| write.nonce != nonce);
    }

    /// When this process sent the write that stands, or `None` if it was another's.
    ///
    /// Forgets the other writes, which can no longer take effect.
    pub(crate) fn resolve_writes(&mut self) -> Option<Time> {
        let nonce = self.record.as_ref()?.nonce;
        let pending_writes = std::mem::take(&mut self.pending_writes);
        let found = pending_writes.iter().find(|write| write.nonce == nonce);
        found.map(|write| write.sent)
    }
}
