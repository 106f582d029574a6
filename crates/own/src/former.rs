use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServerName, Term};

use crate::FormerHolder;
use crate::bounds::latest_end;

/// An earlier holder of a term, as the present keeper counts it out.
#[derive(Debug)]
pub(crate) struct Former {
    pub(crate) record: FormerHolder,
    /// The last moment at which it can have acted, if it says nothing.
    silent_bound: Time,
    /// When it was known to have ended its part, and the leases that it said were left.
    ended: Option<Ended>,
}

#[derive(Debug)]
struct Ended {
    at: Time,
    /// The leases left, or `None` if it could not be asked.
    leases: Option<BTreeMap<ServerName, Time>>,
}

impl Former {
    /// A holder whose last renewal was seen at `seen`.
    pub(crate) fn new(record: FormerHolder, seen: Time) -> Former {
        let hold = Duration::from_millis(record.hold_ms);
        let ended = record.stopped.then_some(Ended { at: seen, leases: None });
        Former { record, silent_bound: latest_end(seen, hold), ended }
    }

    /// Whether the holder is known to have ended its part.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Notes that the holder's process is gone.
    pub(crate) fn gone(&mut self, now: Time) {
        self.ended.get_or_insert(Ended { at: now, leases: None });
    }

    /// Takes the holder's word that it has ended its part.
    pub(crate) fn end(&mut self, now: Time, leases: BTreeMap<ServerName, Time>) {
        if !self.has_ended() {
            self.ended = Some(Ended { at: now, leases: Some(leases) });
        }
    }

    /// The last moment at which a lease that the holder extended can still run.
    ///
    /// A server that has taken a later term refuses the holder since then.
    pub(crate) fn lease_bound(&self, server: ServerName, refused: Option<(Term, Time)>) -> Time {
        let lease = Duration::from_millis(self.record.lease_ms);
        if let Some((term, since)) = refused
            && term >= self.record.before
        {
            return latest_end(since, lease);
        }
        match &self.ended {
            None => latest_end(self.silent_bound, lease),
            Some(Ended { at, leases: None }) => latest_end(*at, lease),
            Some(Ended { at, leases: Some(leases) }) => leases.get(&server).copied().unwrap_or(*at),
        }
    }

    /// The last moment at which a server that checks no terms can still take an order of the holder.
    pub(crate) fn quiet_at(&self) -> Time {
        let last = self.ended.as_ref().map_or(self.silent_bound, |ended| ended.at);
        latest_end(last, Duration::from_millis(self.record.lease_ms))
    }
}
