use bay_types::{KeyHash, ServiceName};
use serde::{Deserialize, Serialize};

/// What one gate sends to a service, for the service's planner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRates {
    /// The service.
    pub service: ServiceName,
    /// Requests a second, over all keys.
    pub total_per_second: u32,
    /// The gate's hottest keys.
    pub keys: Vec<HotKeyRate>,
}

/// How often a key is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotKeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests a second.
    pub per_second: u32,
}
