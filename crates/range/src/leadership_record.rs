use bay_types::{HostName, Term};
use serde::{Deserialize, Serialize};

/// The store's object that names the granter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRecord {
    /// The granter's host.
    pub host: HostName,
    /// Numbers the start of the granter's process.
    pub incarnation: u64,
    /// Rises with each change of the granter.
    pub term: Term,
    /// Rises with each renewal.
    pub renewal: u64,
    /// Whether the granter has resigned, so that a successor need not wait.
    pub resigned: bool,
    /// Whether it resigned with all orders answered, its own and those of earlier granters.
    #[serde(default)]
    pub settled: bool,
    /// Earlier granters that may still renew holds.
    #[serde(rename = "lingering")]
    pub earlier_granters: Vec<EarlierGranter>,
}

/// A granter of an earlier term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierGranter {
    /// Its host.
    pub host: HostName,
    /// Numbers the start of its process.
    pub incarnation: u64,
}

impl LeadershipRecord {
    /// Most earlier granters that are kept; the oldest have given up by then.
    const MAX_EARLIER_GRANTERS: usize = 8;

    /// The granters that may renew holds after `successor` has taken over.
    pub(crate) fn earlier_granters_after(&self, successor: HostName) -> Vec<EarlierGranter> {
        let mut earlier_granters = self.earlier_granters.clone();
        if !self.resigned {
            earlier_granters
                .push(EarlierGranter { host: self.host, incarnation: self.incarnation });
        }
        // A host runs one process, so that an earlier one of the successor's host has ended.
        earlier_granters.retain(|earlier| earlier.host != successor);
        let surplus = earlier_granters.len().saturating_sub(LeadershipRecord::MAX_EARLIER_GRANTERS);
        earlier_granters.drain(..surplus);
        earlier_granters
    }
}
