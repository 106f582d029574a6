use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServerName, Term};

use crate::FormerHolder;
use crate::clock_bounds::latest_end;

/// An earlier holder of a term, as the present keeper counts it out.
#[derive(Debug)]
pub(crate) struct FormerTracker {
    pub(crate) record: FormerHolder,
    /// The last moment at which it can have acted, if it says nothing.
    authority_end: Time,
    /// When it was known to have ended its part, and the leases that it said were left.
    ended: Option<Termination>,
}

#[derive(Debug)]
struct Termination {
    at: Time,
    /// The leases left, or `None` if it could not be asked.
    leases: Option<BTreeMap<ServerName, Time>>,
}

impl FormerTracker {
    /// A holder whose last renewal was seen at `seen`.
    pub(crate) fn new(record: FormerHolder, seen: Time) -> FormerTracker {
        let hold = Duration::from_millis(record.hold_ms);
        let ended = record.stopped.then_some(Termination { at: seen, leases: None });
        FormerTracker { record, authority_end: latest_end(seen, hold), ended }
    }

    /// Whether the holder is known to have ended its part.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Notes that the holder's process is gone.
    pub(crate) fn mark_gone(&mut self, now: Time) {
        self.ended.get_or_insert(Termination { at: now, leases: None });
    }

    /// Takes the holder's word that it has ended its part.
    pub(crate) fn mark_ended(&mut self, now: Time, leases: BTreeMap<ServerName, Time>) {
        if !self.has_ended() {
            self.ended = Some(Termination { at: now, leases: Some(leases) });
        }
    }

    /// The last moment at which a lease that the holder extended can still run.
    ///
    /// A server that has taken a later term refuses the holder since then.
    pub(crate) fn latest_expiry(&self, server: ServerName, refused: Option<(Term, Time)>) -> Time {
        let lease = Duration::from_millis(self.record.lease_ms);
        if let Some((term, since)) = refused
            && term >= self.record.before
        {
            return latest_end(since, lease);
        }
        match &self.ended {
            None => latest_end(self.authority_end, lease),
            Some(Termination { at, leases: None }) => latest_end(*at, lease),
            Some(Termination { at, leases: Some(leases) }) => {
                leases.get(&server).copied().unwrap_or(*at)
            }
        }
    }

    /// The last moment at which a server that checks no terms can still take an order of the holder.
    pub(crate) fn orders_expire_at(&self) -> Time {
        let last = self.ended.as_ref().map_or(self.authority_end, |ended| ended.at);
        latest_end(last, Duration::from_millis(self.record.lease_ms))
    }
}
