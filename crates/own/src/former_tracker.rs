use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServerName, Term};

use crate::FormerHolder;
use crate::clock_bounds::latest_end;

/// Computes when the orders and leases of a former term holder have certainly expired.
#[derive(Debug)]
pub(crate) struct FormerTracker {
    pub(crate) record: FormerHolder,
    /// The latest time at which the holder can act without a renewal.
    authority_end: Time,
    /// Set once the holder is known to send no more orders.
    ended: Option<Termination>,
}

#[derive(Debug)]
struct Termination {
    at: Time,
    /// The expiries that the holder reported, or `None` if it has reported none.
    leases: Option<BTreeMap<ServerName, Time>>,
}

impl FormerTracker {
    /// Creates the tracker of a holder whose last renewal was observed at `seen`.
    pub(crate) fn new(record: FormerHolder, seen: Time) -> FormerTracker {
        let hold = Duration::from_millis(record.hold_ms);
        let ended = record.stopped.then_some(Termination { at: seen, leases: None });
        FormerTracker { record, authority_end: latest_end(seen, hold), ended }
    }

    /// Returns whether the holder is known to send no more orders.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_some()
    }

    /// Records that the holder's process no longer runs.
    pub(crate) fn mark_gone(&mut self, now: Time) {
        self.ended.get_or_insert(Termination { at: now, leases: None });
    }

    /// Records that the holder has stepped down, with the expiries of its leases.
    pub(crate) fn mark_ended(&mut self, now: Time, leases: BTreeMap<ServerName, Time>) {
        if !self.has_ended() {
            self.ended = Some(Termination { at: now, leases: Some(leases) });
        }
    }

    /// Returns the latest time at which a lease renewed by the holder can still run.
    ///
    /// A server that has accepted a later term rejects the holder's orders from then on.
    pub(crate) fn latest_expiry(&self, server: ServerName, floor: Option<(Term, Time)>) -> Time {
        let lease = Duration::from_millis(self.record.lease_ms);
        if let Some((term, since)) = floor
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

    /// Returns the latest time at which a server that checks no terms can accept an order of the
    /// holder.
    pub(crate) fn orders_expire_at(&self) -> Time {
        let last = self.ended.as_ref().map_or(self.authority_end, |ended| ended.at);
        latest_end(last, Duration::from_millis(self.record.lease_ms))
    }
}
