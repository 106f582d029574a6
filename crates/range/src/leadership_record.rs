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
    /// Whether all earlier granters are known to renew no holds any more.
    pub settled: bool,
}
