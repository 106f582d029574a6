use serde::{Deserialize, Serialize};

/// A contiguous range of keys that includes both ends; never empty.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyRange {
    /// The lowest key.
    pub first: u16,
    /// The highest key; not below `first`.
    pub last: u16,
}

impl KeyRange {
    /// The whole key space.
    pub const ALL: KeyRange = KeyRange { first: 0, last: u16::MAX };

    /// Creates the range from `first` to `last`.
    ///
    /// # Panics
    /// In debug builds, if `last` is below `first`.
    pub fn new(first: u16, last: u16) -> KeyRange {
        debug_assert!(first <= last);
        KeyRange { first, last }
    }

    /// Returns whether the key is in the range.
    pub fn contains(self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the ranges have a key in common.
    pub fn overlaps(self, other: KeyRange) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns the number of keys, at least 1 and at most 65,536.
    pub fn len(self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns `false`, as a range has at least one key.
    pub fn is_empty(self) -> bool {
        false
    }
}
