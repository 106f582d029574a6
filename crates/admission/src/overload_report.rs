use bay_types::ServiceName;
use serde::{Deserialize, Serialize};

/// A router's counts by service and rank since its last report.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OverloadReport {
    /// Services at which requests of different ranks meet.
    pub services: Vec<ServiceCounts>,
}

/// A router's counts for a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Name of the service.
    pub service: ServiceName,
    /// Sum of the waiting requests in the servers' load reports.
    pub waiting: u32,
    /// Sum of the slots in the same load reports.
    pub slots: u32,
    /// Counts by rank.
    pub ranks: Vec<RankCounts>,
}

/// Counts of the requests of a rank.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RankCounts {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Requests that arrived.
    pub offered: u32,
    /// Requests that were admitted by rank.
    pub admitted: u32,
    /// Their attempts that servers rejected, or that were not sent for lack of capacity.
    pub refused: u32,
    /// Their attempts that were answered.
    pub answered: u32,
    /// Sum of their estimated times of work, in milliseconds.
    pub work_ms: u32,
}
