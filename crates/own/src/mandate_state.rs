use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;

use crate::bounds::lease_ends;
use crate::{DeputyReport, Mandate};

/// Reports missed before a deputy counts as silent.
const SILENT_REPORTS: u32 = 10;

/// What a keeper knows of its deputy.
#[derive(Debug)]
pub(crate) struct MandateState {
    sequence: u64,
    next_send: Time,
    echo: Option<u64>,
    started: Time,
    last_report: Option<Time>,
    reported: u64,
    leases: BTreeMap<ServerName, Time>,
    /// The servers that the deputy may not renew, and the first mandate that said so.
    barred: BTreeMap<ServerName, u64>,
}

impl MandateState {
    /// A deputy that has not been heard of yet.
    pub(crate) fn new(now: Time) -> MandateState {
        MandateState {
            sequence: 0,
            next_send: now,
            echo: None,
            started: now,
            last_report: None,
            reported: 0,
            leases: BTreeMap::new(),
            barred: BTreeMap::new(),
        }
    }

    /// When the next mandate is due.
    pub(crate) fn next_send(&self) -> Time {
        self.next_send
    }

    /// Makes the next mandate due at once.
    pub(crate) fn hurry(&mut self, now: Time) {
        self.next_send = now;
    }

    /// Whether the deputy has missed too many reports.
    pub(crate) fn silent(&self, now: Time, interval: Duration) -> bool {
        now > self.last_report.unwrap_or(self.started) + interval * SILENT_REPORTS
    }

    /// Makes the next mandate.
    pub(crate) fn mandate(
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

    /// Takes the deputy's answer.
    pub(crate) fn report(&mut self, now: Time, report: &DeputyReport) {
        if report.sequence < self.reported || report.sequence > self.sequence {
            return;
        }
        self.reported = report.sequence;
        self.echo = Some(report.stamp);
        self.last_report = Some(now);
        self.leases = lease_ends(now, &report.leases);
    }

    /// Asks the deputy to keep away from a server, unless it is renewing that server's lease.
    pub(crate) fn bar(&mut self, now: Time, server: ServerName) {
        let renewed = self.leases.get(&server).is_some_and(|bound| *bound > now);
        if !renewed && !self.barred.contains_key(&server) {
            self.barred.insert(server, self.sequence + 1);
            self.next_send = now;
        }
    }

    /// Lets the deputy renew a server again.
    pub(crate) fn allow(&mut self, server: ServerName) {
        self.barred.remove(&server);
    }

    /// The last moment at which a lease that the deputy extended can still run, or `None` while
    /// the deputy may extend it.
    pub(crate) fn lease_bound(&self, server: ServerName) -> Option<Time> {
        let since = *self.barred.get(&server)?;
        if self.reported < since {
            return None;
        }
        Some(self.leases.get(&server).copied().unwrap_or(Time::ZERO))
    }
}
