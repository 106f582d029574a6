use std::collections::BTreeMap;

use bay_time::Time;
use bay_types::{ServiceName, Term};

use crate::{OverloadLevels, OverloadReport, ServiceLevel, ShareController};

/// Adds up the routers' reports at the granter and decides the levels for all of them.
#[derive(Debug, Default)]
pub struct LevelLedger {
    services: BTreeMap<ServiceName, ShareController>,
    sequence: u64,
}

impl LevelLedger {
    /// Adds a router's report.
    pub fn record(&mut self, report: &OverloadReport) {
        for counts in &report.services {
            let controller = self.services.entry(counts.service);
            controller.or_insert_with(ShareController::for_fleet).add(counts);
        }
    }

    /// Returns the levels to be sent, at a steady interval; `None` if no ranks meet at any
    /// service, or too little is known of it yet.
    pub fn levels(&mut self, now: Time, term: Term) -> Option<OverloadLevels> {
        self.services.values_mut().for_each(|controller| controller.update(now));
        let informed = self.services.iter().filter(|(_, each)| each.is_informed(now));
        let services: Vec<ServiceLevel> = informed
            .map(|(service, each)| ServiceLevel { service: *service, shares: each.shares() })
            .collect();
        if services.is_empty() {
            return None;
        }
        self.sequence += 1;
        let valid_ms = OverloadLevels::VALIDITY.as_millis() as u32;
        Some(OverloadLevels { term, sequence: self.sequence, valid_ms, services })
    }
}
