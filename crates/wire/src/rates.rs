use bay_types::{KeyHash, ServiceName};
use serde::{Deserialize, Serialize};

/// The request rates of one gate to a service, as input for the service's planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRates {
    /// The service that receives the requests.
    pub service: ServiceName,
    /// Requests per second over all keys.
    pub total_per_second: u32,
    /// The keys with the highest rates.
    pub keys: Vec<HotKeyRate>,
}

/// The request rate of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKeyRate {
    /// The hash of the key.
    pub key: KeyHash,
    /// Requests per second for the key.
    pub per_second: u32,
}
