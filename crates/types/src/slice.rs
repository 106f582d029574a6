use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// Numbers a slice of a service's keys.
///
/// The numbers below the service's slice count are ranges of the key hash; the numbers from there
/// on are slots for hot keys, one key each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceId(pub u32);

/// Maps key hashes to the ranges of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceLayout {
    bits: u32,
}

impl SliceLayout {
    /// Most ranges of a service.
    pub const MAX_RANGES: u32 = 65_536;
    /// Most hot keys of a service with a slice of their own.
    pub const MAX_HOT_KEYS: u32 = 64;

    /// A layout with this many ranges, or `None` unless it is a power of two within
    /// [`SliceLayout::MAX_RANGES`].
    pub fn new(ranges: u32) -> Option<SliceLayout> {
        let valid = ranges.is_power_of_two() && ranges <= SliceLayout::MAX_RANGES;
        valid.then(|| SliceLayout { bits: ranges.trailing_zeros() })
    }

    /// How many ranges there are.
    pub fn ranges(self) -> u32 {
        1 << self.bits
    }

    /// The range that holds a key which has no slice of its own.
    pub fn range_of(self, key: KeyHash) -> SliceId {
        let index = if self.bits == 0 { 0 } else { key.0 >> (64 - self.bits) };
        SliceId(index as u32)
    }

    /// The slice of the hot-key slot with this index.
    pub fn hot_slot(self, index: u32) -> SliceId {
        SliceId(self.ranges() + index)
    }

    /// Whether a slice is a hot-key slot.
    pub fn is_hot(self, slice: SliceId) -> bool {
        slice.0 >= self.ranges()
    }
}
