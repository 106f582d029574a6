use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;

use crate::clock_bounds::lease_ends;
use crate::{DeputyReport, Mandate};

/// Number of missed reports after which a deputy counts as silent.
const MAX_MISSED_REPORTS: u32 = 10;

/// The state of the mandate that a keeper gives its deputy.
#[derive(Debug)]
pub(crate) struct MandateState {
    sequence: u64,
    next_send: Time,
    echo: Option<u64>,
    started_at: Time,
    last_report_at: Option<Time>,
    reported_sequence: u64,
    lease_ends: BTreeMap<ServerName, Time>,
    /// The servers that the deputy may not renew, with the first mandate that bars each.
    barred: BTreeMap<ServerName, u64>,
}

impl MandateState {
    /// Creates the state of a deputy that has sent no report yet.
    pub(crate) fn new(now: Time) -> MandateState {
        MandateState {
            sequence: 0,
            next_send: now,
            echo: None,
            started_at: now,
            last_report_at: None,
            reported_sequence: 0,
            lease_ends: BTreeMap::new(),
            barred: BTreeMap::new(),
        }
    }

    /// Returns when the next mandate is due.
    pub(crate) fn next_send(&self) -> Time {
        self.next_send
    }

    /// Makes the next mandate due at once.
    pub(crate) fn schedule_now(&mut self, now: Time) {
        self.next_send = now;
    }

    /// Returns whether the deputy has missed too many reports.
    pub(crate) fn is_silent(&self, now: Time, interval: Duration) -> bool {
        now > self.last_report_at.unwrap_or(self.started_at) + interval * MAX_MISSED_REPORTS
    }

    /// Builds the next mandate and schedules the one after it.
    pub(crate) fn next_mandate(
        &mut self,
        now: Time,
        interval: Duration,
        authority: Duration,
        lease: Duration,
        unreachable: Vec<ServerName>,
    ) -> Mandate {
        self.sequence += 1;
        self.next_send = now + interval;
        Mandate {
            sequence: self.sequence,
            echo: self.echo,
            authority_ms: authority.as_millis() as u64,
            lease_ms: lease.as_millis() as u64,
            barred: self.barred.keys().copied().collect(),
            unreachable,
        }
    }

    /// Applies a report of the deputy, unless it is out of order.
    pub(crate) fn handle_report(&mut self, now: Time, report: &DeputyReport) {
        if report.sequence < self.reported_sequence || report.sequence > self.sequence {
            return;
        }
        self.reported_sequence = report.sequence;
        self.echo = Some(report.stamp);
        self.last_report_at = Some(now);
        self.lease_ends = lease_ends(now, &report.leases);
    }

    /// Bars the deputy from renewing a server's lease, unless a lease that it renewed still runs.
    pub(crate) fn bar(&mut self, now: Time, server: ServerName) {
        let renewing = self.lease_ends.get(&server).is_some_and(|expiry| *expiry > now);
        if !renewing && !self.barred.contains_key(&server) {
            self.barred.insert(server, self.sequence + 1);
            self.next_send = now;
        }
    }

    /// Allows the deputy to renew a server's lease again.
    pub(crate) fn unbar(&mut self, server: ServerName) {
        self.barred.remove(&server);
    }

    /// Returns the latest time at which a lease renewed by the deputy can still run.
    ///
    /// Returns `None` while the deputy may still renew it.
    pub(crate) fn latest_expiry(&self, server: ServerName) -> Option<Time> {
        let since = *self.barred.get(&server)?;
        if self.reported_sequence < since {
            return None;
        }
        Some(self.lease_ends.get(&server).copied().unwrap_or(Time::ZERO))
    }
}
