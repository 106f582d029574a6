use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::KeyRange;

/// Request rates by key, as a moving average.
#[derive(Debug, Default, Clone)]
pub struct KeyLoads {
    rates: BTreeMap<u16, f64>,
    decayed: Time,
}

impl KeyLoads {
    /// Time constant of the moving average.
    const SPAN: Duration = Duration::from_millis(2_500);
    /// Time between two decays.
    const STEP: Duration = Duration::from_millis(250);
    /// Rates below this are forgotten, in requests a second.
    const FLOOR: f64 = 0.02;

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        *self.rates.entry(key).or_default() += f64::from(requests) / KeyLoads::SPAN.as_secs_f64();
    }

    /// Lets old requests count less.
    pub fn decay(&mut self, now: Time) {
        let passed = now.since(self.decayed);
        if passed < KeyLoads::STEP {
            return;
        }
        let factor = (-passed.as_secs_f64() / KeyLoads::SPAN.as_secs_f64()).exp();
        self.decayed = now;
        self.rates.retain(|_, rate| {
            *rate *= factor;
            *rate > KeyLoads::FLOOR
        });
    }

    /// The rate of a range, in requests a second.
    pub fn rate(&self, range: KeyRange) -> f64 {
        self.within(range).map(|(_, rate)| rate).sum()
    }

    /// The rates of the busy keys of a range, in the order of the keys.
    pub fn within(&self, range: KeyRange) -> impl DoubleEndedIterator<Item = (u16, f64)> + '_ {
        self.rates.range(range.first..=range.last).map(|(key, rate)| (*key, *rate))
    }

    /// The rate of all keys, in requests a second.
    pub fn total(&self) -> f64 {
        self.rates.values().sum()
    }
}
