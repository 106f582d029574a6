use bay_types::NodeId;
use serde::{Deserialize, Serialize};

/// Hosts without a live steward whose gates follow another host's steward.
///
/// A fixed number, so that a node's record stays small and can be copied.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdoptedGates([Option<NodeId>; AdoptedGates::MAX]);

impl AdoptedGates {
    /// Most gates that one steward reports; each gate follows several stewards.
    pub const MAX: usize = 4;

    /// The first few of these hosts.
    pub fn new<I>(hosts: I) -> AdoptedGates
    where
        I: IntoIterator<Item = NodeId>,
    {
        let mut adopted = AdoptedGates::default();
        for (place, host) in adopted.0.iter_mut().zip(hosts) {
            *place = Some(host);
        }
        adopted
    }

    /// Whether a host's gate is among them.
    pub fn contains(&self, host: NodeId) -> bool {
        self.0.contains(&Some(host))
    }
}
