use bay_range::{KeyRange, OwnerId};
use bay_types::Term;
use serde::{Deserialize, Serialize};

/// The owners that requests are routed to, as the granter has published them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerMap {
    /// The granter's term.
    pub term: Term,
    /// Counts what the granter has published in its term.
    pub published: u64,
    /// The served ranges, in the order of their keys.
    pub ranges: Vec<(KeyRange, OwnerId)>,
}

impl OwnerMap {
    /// The version: later terms and later publications are newer.
    pub fn version(&self) -> (Term, u64) {
        (self.term, self.published)
    }

    /// The owner of a key, if it is served.
    pub fn owner(&self, key: u16) -> Option<OwnerId> {
        let at = self.ranges.partition_point(|(range, _)| range.last < key);
        let (range, owner) = self.ranges.get(at)?;
        range.contains(key).then_some(*owner)
    }
}
