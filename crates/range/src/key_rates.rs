use std::collections::BTreeMap;

use crate::KeyRange;

/// Requests a second by key, of the keys that are asked for.
#[derive(Debug, Default, Clone, PartialEq)]
pub struct KeyRates(BTreeMap<u16, f64>);

impl KeyRates {
    /// Raises the rate of a key.
    pub fn add(&mut self, key: u16, rate: f64) {
        *self.0.entry(key).or_default() += rate;
    }

    /// Multiplies all rates and forgets those that are not above the floor.
    pub(crate) fn scale(&mut self, factor: f64, floor: f64) {
        self.0.retain(|_, rate| {
            *rate *= factor;
            *rate > floor
        });
    }

    /// Takes the rates of a range from another account.
    pub(crate) fn extend_from(&mut self, other: &KeyRates, range: KeyRange) {
        self.0.extend(other.iter_range(range));
    }

    /// The rate of a range.
    pub fn rate(&self, range: KeyRange) -> f64 {
        self.iter_range(range).map(|(_, rate)| rate).sum()
    }

    /// The rates of the keys of a range, in the order of the keys.
    pub fn iter_range(&self, range: KeyRange) -> impl DoubleEndedIterator<Item = (u16, f64)> + '_ {
        self.0.range(range.first..=range.last).map(|(key, rate)| (*key, *rate))
    }

    /// The rate of all keys.
    pub fn total(&self) -> f64 {
        self.0.values().sum()
    }
}
