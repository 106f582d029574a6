use bay_range::{KeyRange, OwnerId};
use bay_types::Term;
use serde::{Deserialize, Serialize};

/// The owners that requests are routed to, as the granter has published them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerMap {
    /// The granter's term.
    pub term: Term,
    /// Counts what the granter has published in its term.
    pub sequence: u64,
    /// The served ranges, in the order of their keys.
    pub ranges: Vec<(KeyRange, OwnerId)>,
}

impl OwnerMap {
    /// The version: later terms and later publications are newer.
    pub fn version(&self) -> (Term, u64) {
        (self.term, self.sequence)
    }

    /// The map in parts of at most so many ranges, at least one part.
    pub fn split(&self, ranges: usize) -> Vec<OwnerMap> {
        let part = |ranges: &[(KeyRange, OwnerId)]| OwnerMap {
            term: self.term,
            sequence: self.sequence,
            ranges: ranges.to_vec(),
        };
        match self.ranges.is_empty() {
            true => vec![self.clone()],
            false => self.ranges.chunks(ranges.max(1)).map(part).collect(),
        }
    }

    /// The map of these parts.
    pub fn join(parts: Vec<OwnerMap>) -> Option<OwnerMap> {
        let mut parts = parts.into_iter();
        let mut map = parts.next()?;
        map.ranges.extend(parts.flat_map(|part| part.ranges));
        map.ranges.sort_by_key(|(range, _)| *range);
        Some(map)
    }

    /// What leads from an older map to this one.
    pub fn changes_since(&self, older: &OwnerMap) -> OwnerChanges {
        let only = |a: &OwnerMap, b: &OwnerMap| {
            let missing = a.ranges.iter().filter(|each| !b.ranges.contains(each));
            missing.copied().collect::<Vec<_>>()
        };
        OwnerChanges {
            term: self.term,
            sequence: self.sequence,
            removed: only(older, self).into_iter().map(|(range, _)| range).collect(),
            added: only(self, older),
        }
    }

    /// Applies the changes that follow this map; returns whether they do.
    pub fn apply(&mut self, changes: &OwnerChanges) -> bool {
        if changes.term != self.term || changes.sequence != self.sequence + 1 {
            return false;
        }
        self.sequence = changes.sequence;
        self.ranges.retain(|(range, _)| !changes.removed.contains(range));
        self.ranges.extend(&changes.added);
        self.ranges.sort_by_key(|(range, _)| *range);
        true
    }

    /// The owner of a key, if it is served.
    pub fn owner(&self, key: u16) -> Option<OwnerId> {
        let at = self.ranges.partition_point(|(range, _)| range.last < key);
        let (range, owner) = self.ranges.get(at)?;
        range.contains(key).then_some(*owner)
    }
}

/// The difference between two maps of which one follows the other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerChanges {
    /// The granter's term.
    pub term: Term,
    /// The number of the later map.
    pub sequence: u64,
    /// Ranges of the earlier map that the later one does not have.
    pub removed: Vec<KeyRange>,
    /// Ranges of the later map that the earlier one does not have.
    pub added: Vec<(KeyRange, OwnerId)>,
}

impl OwnerChanges {
    /// How many ranges it names.
    #[allow(clippy::len_without_is_empty, reason = "it is never asked for")]
    pub fn len(&self) -> usize {
        self.removed.len() + self.added.len()
    }
}
