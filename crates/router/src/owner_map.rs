use std::collections::HashSet;

use bay_range::{KeyRange, OwnerId};
use bay_types::Term;
use serde::{Deserialize, Serialize};

/// The owners of a service's key ranges, as the granter has published them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerMap {
    /// Term of the granter.
    pub term: Term,
    /// Number of the map within the term; it rises by one with each publication.
    pub sequence: u64,
    /// Served ranges with their owners, in the order of their keys.
    pub ranges: Vec<(KeyRange, OwnerId)>,
}

impl OwnerMap {
    /// Returns the version, which orders the maps of a service by age.
    pub fn version(&self) -> (Term, u64) {
        (self.term, self.sequence)
    }

    /// Splits the map into parts of at most `max_ranges` ranges; an empty map is one part.
    pub fn split(&self, max_ranges: usize) -> Vec<OwnerMap> {
        let part = |ranges: &[(KeyRange, OwnerId)]| OwnerMap {
            term: self.term,
            sequence: self.sequence,
            ranges: ranges.to_vec(),
        };
        match self.ranges.is_empty() {
            true => vec![self.clone()],
            false => self.ranges.chunks(max_ranges.max(1)).map(part).collect(),
        }
    }

    /// Joins the parts of a map; returns `None` if there are none.
    pub fn join(parts: Vec<OwnerMap>) -> Option<OwnerMap> {
        let mut parts = parts.into_iter();
        let mut map = parts.next()?;
        map.ranges.extend(parts.flat_map(|part| part.ranges));
        map.ranges.sort_by_key(|(range, _)| *range);
        Some(map)
    }

    /// Returns the changes from an older map to this one.
    pub fn changes_since(&self, older: &OwnerMap) -> OwnerChanges {
        let only = |a: &OwnerMap, b: &OwnerMap| {
            let in_b: HashSet<&(KeyRange, OwnerId)> = b.ranges.iter().collect();
            let missing = a.ranges.iter().filter(|each| !in_b.contains(each));
            missing.copied().collect::<Vec<_>>()
        };
        OwnerChanges {
            term: self.term,
            sequence: self.sequence,
            removed: only(older, self).into_iter().map(|(range, _)| range).collect(),
            added: only(self, older),
        }
    }

    /// Applies changes if they directly follow this map; returns whether they do.
    pub fn apply(&mut self, changes: &OwnerChanges) -> bool {
        if changes.term != self.term || changes.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = changes.sequence;
        let removed: HashSet<KeyRange> = changes.removed.iter().copied().collect();
        self.ranges.retain(|(range, _)| !removed.contains(range));
        self.ranges.extend(&changes.added);
        self.ranges.sort_by_key(|(range, _)| *range);
        true
    }

    /// Returns the owner of a key, if the key is served.
    pub fn owner(&self, key: u16) -> Option<OwnerId> {
        self.holding(key).map(|(_, owner)| owner)
    }

    /// Returns the range of a key with its owner, if the key is served.
    pub fn holding(&self, key: u16) -> Option<(KeyRange, OwnerId)> {
        let at = self.ranges.partition_point(|(range, _)| range.last < key);
        self.ranges.get(at).filter(|(range, _)| range.contains(key)).copied()
    }
}

/// The difference between two successive maps of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerChanges {
    /// Term of the granter.
    pub term: Term,
    /// Number of the later map within the term.
    pub sequence: u64,
    /// Ranges that only the earlier map has, or that changed their owner.
    pub removed: Vec<KeyRange>,
    /// Ranges that only the later map has, or that changed their owner.
    pub added: Vec<(KeyRange, OwnerId)>,
}

impl OwnerChanges {
    /// Returns the number of removed and added ranges.
    #[allow(clippy::len_without_is_empty, reason = "no caller needs it")]
    pub fn len(&self) -> usize {
        self.removed.len() + self.added.len()
    }
}
