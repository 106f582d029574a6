use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// The number of a slice of a service's keys.
///
/// Numbers below the service's range count are ranges of the key hash. Higher numbers are slots
/// for hot keys, each of which holds one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SliceId(pub u32);

/// The division of a service's key hashes into ranges of equal size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SliceLayout {
    range_bits: u32,
}

impl SliceLayout {
    /// Maximum number of ranges of a service.
    pub const MAX_RANGES: u32 = 65_536;
    /// Maximum number of hot-key slots of a service.
    pub const MAX_HOT_KEYS: u32 = 64;

    /// Creates a layout with this number of ranges. Returns `None` unless the number is a power of
    /// two of at most [`SliceLayout::MAX_RANGES`].
    pub fn new(ranges: u32) -> Option<SliceLayout> {
        let valid = ranges.is_power_of_two() && ranges <= SliceLayout::MAX_RANGES;
        valid.then(|| SliceLayout { range_bits: ranges.trailing_zeros() })
    }

    /// Returns the number of ranges.
    pub fn ranges(self) -> u32 {
        1 << self.range_bits
    }

    /// Returns the range of a key that has no hot-key slot.
    pub fn range_of(self, key: KeyHash) -> SliceId {
        let index = if self.range_bits == 0 { 0 } else { key.0 >> (64 - self.range_bits) };
        SliceId(index as u32)
    }

    /// Returns the slice of the hot-key slot with this index, counted from zero.
    pub fn hot_slot(self, index: u32) -> SliceId {
        SliceId(self.ranges() + index)
    }

    /// Returns whether the slice is a hot-key slot.
    pub fn is_hot(self, slice: SliceId) -> bool {
        slice.0 >= self.ranges()
    }
}
