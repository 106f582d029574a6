use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::HostName;

/// The routers that the granter has heard of lately.
#[derive(Debug, Default)]
pub struct LiveRouters {
    last: BTreeMap<HostName, Time>,
}

impl LiveRouters {
    /// Time without a report after which a router no longer counts.
    const SILENCE: Duration = Duration::from_secs(4);

    /// Takes note of a router's report.
    pub fn record_report(&mut self, now: Time, host: HostName) {
        self.last.insert(host, now);
    }

    /// Forgets all reports.
    pub fn clear(&mut self) {
        self.last.clear();
    }

    /// How many routers have reported within a time.
    pub fn count_within(&self, now: Time, span: Duration) -> usize {
        self.last.values().filter(|at| now.since(**at) <= span).count()
    }

    /// How many routers are alive.
    pub fn count_live(&mut self, now: Time) -> u32 {
        self.last.retain(|_, at| now.since(*at) < LiveRouters::SILENCE);
        self.last.len() as u32
    }
}
