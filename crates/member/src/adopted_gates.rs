use bay_types::NodeId;
use serde::{Deserialize, Serialize};

/// Hosts without a live steward whose gates are connected to another host's steward.
///
/// The number is fixed to keep a node's record small and `Copy`.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdoptedGates([Option<NodeId>; AdoptedGates::MAX]);

impl AdoptedGates {
    /// Most gates that one steward reports. Each gate is connected to several stewards, so others
    /// report the rest.
    pub const MAX: usize = 4;

    /// Creates the set from the first [`AdoptedGates::MAX`] hosts; the rest are ignored.
    pub fn new<I>(hosts: I) -> AdoptedGates
    where
        I: IntoIterator<Item = NodeId>,
    {
        let mut adopted = AdoptedGates::default();
        for (entry, host) in adopted.0.iter_mut().zip(hosts) {
            *entry = Some(host);
        }
        adopted
    }

    /// Whether the gate of this host is in the set.
    pub fn contains(&self, host: NodeId) -> bool {
        self.0.contains(&Some(host))
    }
}
