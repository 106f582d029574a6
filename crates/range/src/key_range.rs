use serde::{Deserialize, Serialize};

/// A contiguous range of keys, both ends included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The first key.
    pub first: u16,
    /// The last key.
    pub last: u16,
}

impl KeyRange {
    /// All keys.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u16::MAX };

    /// A range from the first to the last key.
    pub fn new(first: u16, last: u16) -> KeyRange {
        debug_assert!(first <= last);
        KeyRange { first, last }
    }

    /// Whether the range has the key.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Whether the ranges share a key.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// The number of keys.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Always false: a range has at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}
