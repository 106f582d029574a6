use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::HostName;

/// The routers that have reported to the granter recently.
#[derive(Debug, Default)]
pub struct LiveRouters {
    last_report: BTreeMap<HostName, Time>,
}

impl LiveRouters {
    /// Time without a report after which a router no longer counts as alive.
    const TIMEOUT: Duration = Duration::from_secs(4);

    /// Records a report of a router.
    pub fn record_report(&mut self, now: Time, host: HostName) {
        self.last_report.insert(host, now);
    }

    /// Removes all routers.
    pub fn clear(&mut self) {
        self.last_report.clear();
    }

    /// Returns how many routers have reported within the last `span`.
    pub fn count_within(&self, now: Time, span: Duration) -> usize {
        self.last_report.values().filter(|at| now.since(**at) <= span).count()
    }

    /// Returns whether a router has reported within the last `span`.
    pub fn has_reported_within(&self, now: Time, host: HostName, span: Duration) -> bool {
        self.last_report.get(&host).is_some_and(|at| now.since(*at) <= span)
    }

    /// Removes the routers that timed out and returns how many are left.
    pub fn count_live(&mut self, now: Time) -> u32 {
        self.last_report.retain(|_, at| now.since(*at) < LiveRouters::TIMEOUT);
        self.last_report.len() as u32
    }
}
