use bay_types::{HostName, StoreEra, Term};
use serde::{Deserialize, Serialize};

/// The stored object that names the granter, replaced by compare-and-set only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// Host of the granter.
    pub host: HostName,
    /// Identifies the granter's process among those of its host.
    pub incarnation: u64,
    /// Increases with each change of the granter.
    pub term: Term,
    /// Increases with each renewal; a successor that sees it unchanged may take over.
    pub renewal: u64,
    /// Whether the granter has resigned. A successor then takes over without waiting.
    pub resigned: bool,
    /// Whether all orders were answered when it resigned, also those of earlier granters.
    #[serde(default)]
    pub settled: bool,
    /// Earlier granters that may still renew holds.
    #[serde(rename = "lingering")]
    pub earlier_granters: Vec<EarlierGranter>,
    /// Era of the store in which the record was written; `None` if the store tells none, or the granter
    /// is of an earlier build.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store_era: Option<StoreEra>,
    /// Era of the store in which the range tables name all holds, as far as the granter knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds_known_in: Option<StoreEra>,
}

/// A granter of an earlier term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierGranter {
    /// Host of the granter.
    pub host: HostName,
    /// Identifies the granter's process among those of its host.
    pub incarnation: u64,
}

impl LeadershipRecord {
    /// Limit of listed earlier granters; older ones have stopped renewing by then.
    const MAX_EARLIER_GRANTERS: usize = 8;

    /// Returns the granters that may renew holds after a process on `successor` has taken over.
    pub(crate) fn earlier_granters_after(&self, successor: HostName) -> Vec<EarlierGranter> {
        let mut earlier_granters = self.earlier_granters.clone();
        if !self.resigned {
            earlier_granters
                .push(EarlierGranter { host: self.host, incarnation: self.incarnation });
        }
        // A host runs one process at a time. An earlier granter on the successor's host has ended.
        earlier_granters.retain(|earlier| earlier.host != successor);
        let surplus = earlier_granters.len().saturating_sub(LeadershipRecord::MAX_EARLIER_GRANTERS);
        earlier_granters.drain(..surplus);
        earlier_granters
    }
}
