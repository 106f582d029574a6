use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bay_admission::KeyShares;
use bay_range::{KeyLimit, OwnerLimit};
use bay_time::Time;
use bay_types::{ServerName, Term};

use crate::owner_rejections::OwnerRejections;
use crate::sample_shares::SampleShares;
use crate::{OwnerMap, ReassemblyBuffer, RetryBudget, ServiceSpec};

/// A service with its servers, retry budget and key owners.
#[derive(Debug)]
pub struct ServicePool {
    /// Specification from the configuration.
    pub spec: ServiceSpec,
    /// Names of the registered servers, also those that take no requests now.
    pub servers: BTreeSet<ServerName>,
    /// Limit of the retries of its requests.
    pub retry_budget: RetryBudget,
    /// Owners of its keys; empty unless the service is keyed.
    pub owners: OwnerMap,
    /// Ranges whose owners have refused requests for their keys.
    pub(crate) rejections: OwnerRejections,
    /// Received parts of a newer owner map.
    pub(crate) owner_parts: ReassemblyBuffer<(Term, u64), OwnerMap>,
    /// Shares of the requests for overloaded keys to admit, and until when they hold.
    key_limits: (Vec<KeyLimit>, Time),
    /// Limits of overloaded owners, and until when they hold.
    owner_limits: (Vec<OwnerLimit>, Time),
    /// Enforces the shares exactly, if overload control is on.
    pub(crate) key_shares: KeyShares,
    /// Requests by key since the last report to the granter.
    pub key_counts: HashMap<u16, u32>,
    /// Moving average of the servers' service times, in milliseconds.
    ///
    /// It stands in for servers without measurements.
    pub average_ms: f64,
    /// Shares of the servers in the sample, with overload control.
    pub(crate) sample_shares: SampleShares,
}

impl ServicePool {
    /// Time for which limits hold unless the granter repeats them.
    const LIMIT_TIME: Duration = Duration::from_millis(1_000);
    /// Initial value of `average_ms`.
    const INITIAL_MS: f64 = 50.0;
    /// Weight of a new measurement in the moving average.
    const EWMA_WEIGHT: f64 = 0.02;
    /// Upper bound of the keys counted between two reports; further keys are ignored.
    const MAX_KEYS: usize = 2_048;

    /// Creates a service without servers.
    pub fn new(spec: ServiceSpec, retry_budget: RetryBudget) -> ServicePool {
        ServicePool {
            spec,
            servers: BTreeSet::new(),
            retry_budget,
            owners: OwnerMap::default(),
            rejections: OwnerRejections::default(),
            owner_parts: ReassemblyBuffer::default(),
            key_limits: (Vec::new(), Time::ZERO),
            owner_limits: (Vec::new(), Time::ZERO),
            key_shares: KeyShares::default(),
            key_counts: HashMap::new(),
            average_ms: ServicePool::INITIAL_MS,
            sample_shares: SampleShares::default(),
        }
    }

    /// Adds the service time of a server that answered to the average.
    pub fn record_time(&mut self, service_ms: f64) {
        self.average_ms += ServicePool::EWMA_WEIGHT * (service_ms - self.average_ms);
    }

    /// Replaces the limits of overloaded keys, which are in the order of the keys.
    ///
    /// A share that is no number is ignored: it would be no probability.
    pub fn set_key_limits(&mut self, now: Time, mut limits: Vec<KeyLimit>) {
        limits.retain(|limit| !limit.share.is_nan());
        let is_limited = |key| limits.binary_search_by_key(&key, |limit| limit.key).is_ok();
        self.key_shares.retain(is_limited);
        self.key_limits = (limits, now + ServicePool::LIMIT_TIME);
    }

    /// Returns the share of the requests for a key to admit; `None` if all are.
    pub fn admitted_share(&self, now: Time, key: u16) -> Option<f32> {
        let (limits, until) = &self.key_limits;
        let at = limits.binary_search_by_key(&key, |limit| limit.key).ok()?;
        (now < *until).then(|| limits[at].share)
    }

    /// Replaces the limits of overloaded owners. A share that is no number is ignored.
    pub fn set_owner_limits(&mut self, now: Time, mut limits: Vec<OwnerLimit>) {
        limits.retain(|limit| !limit.share.is_nan());
        self.owner_limits = (limits, now + ServicePool::LIMIT_TIME);
    }

    /// Returns the share of the requests for an owner's keys to admit; `None` if all are.
    pub fn owner_share(&self, now: Time, owner: ServerName) -> Option<f32> {
        let (limits, until) = &self.owner_limits;
        let limit = limits.iter().find(|limit| limit.server == owner)?;
        (now < *until).then_some(limit.share)
    }

    /// Counts a request for a key.
    pub fn count_key(&mut self, key: u16) {
        if self.key_counts.len() < ServicePool::MAX_KEYS || self.key_counts.contains_key(&key) {
            *self.key_counts.entry(key).or_default() += 1;
        }
    }
}
