use std::collections::BTreeMap;

use crate::KeyRange;

/// Requests per second by key; keys without requests have no entry.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct KeyRates(BTreeMap<u16, f64>);

impl KeyRates {
    /// Adds to the rate of a key.
    pub fn add(&mut self, key: u16, rate: f64) {
        *self.0.entry(key).or_default() += rate;
    }

    /// Multiplies all rates by a factor and removes those not above `floor`.
    pub(crate) fn scale(&mut self, factor: f64, floor: f64) {
        self.0.retain(|_, rate| {
            *rate *= factor;
            *rate > floor
        });
    }

    /// Copies the rates of a range from `other`, times a factor, replacing those of the same keys.
    pub(crate) fn extend_scaled(&mut self, other: &KeyRates, factor: f64, range: KeyRange) {
        self.0.extend(other.iter_range(range).map(|(key, rate)| (key, rate * factor)));
    }

    /// Returns whether no key has a rate.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the total rate of a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        self.iter_range(range).map(|(_, rate)| rate).sum()
    }

    /// Iterates over the keys of a range that have a rate, in ascending order.
    pub fn iter_range(&self, range: KeyRange) -> impl DoubleEndedIterator<Item = (u16, f64)> + '_ {
        self.0.range(range.first..=range.last).map(|(key, rate)| (*key, *rate))
    }

    /// Returns the total rate of all keys.
    pub fn total(&self) -> f64 {
        self.0.values().sum()
    }
}
