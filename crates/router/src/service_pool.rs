use std::collections::{BTreeSet, HashMap};

use bay_types::{ServerName, Term};

use crate::{OwnerMap, ReassemblyBuffer, RetryBudget, ServiceSpec};

/// A service with its servers and budgets.
#[derive(Debug)]
pub struct ServicePool {
    /// What the configuration says of it.
    pub spec: ServiceSpec,
    /// Its servers.
    pub servers: BTreeSet<ServerName>,
    /// Further attempts.
    pub retry_budget: RetryBudget,
    /// The owners of its keys, if it is keyed.
    pub owners: OwnerMap,
    /// The parts of a newer map.
    pub(crate) owner_parts: ReassemblyBuffer<(Term, u64), OwnerMap>,
    /// Requests by key since the last report to the granter.
    pub key_counts: HashMap<u16, u32>,
    /// Time of a request at a server that was not measured, in milliseconds.
    pub average_ms: f64,
}

impl ServicePool {
    /// Time of a request where nothing was measured, in milliseconds.
    const UNKNOWN_MS: f64 = 50.0;
    /// Weight of a new measurement in the moving average.
    const GAIN: f64 = 0.02;
    /// Most keys that are counted between two reports.
    const MAX_KEYS: usize = 2_048;

    /// A service without servers.
    pub fn new(spec: ServiceSpec, retry_budget: RetryBudget) -> ServicePool {
        ServicePool {
            spec,
            servers: BTreeSet::new(),
            retry_budget,
            owners: OwnerMap::default(),
            owner_parts: ReassemblyBuffer::default(),
            key_counts: HashMap::new(),
            average_ms: ServicePool::UNKNOWN_MS,
        }
    }

    /// Takes note of a request's time at a server.
    pub fn record_time(&mut self, service_ms: f64) {
        self.average_ms += ServicePool::GAIN * (service_ms - self.average_ms);
    }

    /// Counts a request for a key.
    pub fn count_key(&mut self, key: u16) {
        if self.key_counts.len() < ServicePool::MAX_KEYS || self.key_counts.contains_key(&key) {
            *self.key_counts.entry(key).or_default() += 1;
        }
    }
}
