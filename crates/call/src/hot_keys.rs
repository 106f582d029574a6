use std::collections::HashMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::KeyHash;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Finds the keys that a gate sees most, in bounded memory.
///
/// The space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005) over a sample of the
/// requests: a key not yet counted takes the place of the one with the fewest hits, and its count.
#[derive(Debug)]
pub struct HotKeys {
    counts: HashMap<KeyHash, u32>,
    last: Vec<HotKeyRate>,
    last_total: f64,
    started: Time,
    rng: SmallRng,
}

/// A key and how often a gate sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests a second, at most this.
    pub rate: f64,
}

impl HotKeys {
    /// Keys counted at a time.
    pub const CAPACITY: usize = 256;
    /// Keys reported.
    pub const MAX_REPORTED: usize = 64;
    /// Time over which keys are counted before they are reported.
    pub const WINDOW: Duration = Duration::from_secs(5);
    /// One in this many requests is counted.
    pub const SAMPLING_INTERVAL: u32 = 8;

    /// A sketch that has seen nothing; the seed picks the sample.
    pub fn new(now: Time, seed: u64) -> HotKeys {
        let rng = SmallRng::seed_from_u64(seed);
        HotKeys { counts: HashMap::new(), last: Vec::new(), last_total: 0.0, started: now, rng }
    }

    /// Counts a request.
    pub fn record(&mut self, now: Time, key: KeyHash) {
        if !self.rng.random_ratio(1, HotKeys::SAMPLING_INTERVAL) {
            return;
        }
        self.roll(now);
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1;
            return;
        }
        let least = if self.counts.len() < HotKeys::CAPACITY { 0 } else { self.evict() };
        self.counts.insert(key, least + 1);
    }

    /// The keys of the last whole window, the hottest first.
    pub fn rates(&mut self, now: Time) -> &[HotKeyRate] {
        self.roll(now);
        &self.last
    }

    /// Requests a second of the last whole window, over all keys.
    pub fn total_rate(&mut self, now: Time) -> f64 {
        self.roll(now);
        self.last_total
    }

    fn evict(&mut self) -> u32 {
        let least = self.counts.iter().map(|(key, count)| (*count, *key)).min();
        let Some((count, key)) = least else {
            return 0;
        };
        self.counts.remove(&key);
        count
    }

    fn roll(&mut self, now: Time) {
        let span = now.since(self.started);
        if span < HotKeys::WINDOW {
            return;
        }
        let scale = f64::from(HotKeys::SAMPLING_INTERVAL) / span.as_secs_f64();
        // The counts of the algorithm add up to the hits.
        self.last_total = self.counts.values().copied().map(f64::from).sum::<f64>() * scale;
        let rate = |(key, count)| HotKeyRate { key, rate: f64::from(count) * scale };
        self.last = self.counts.drain().map(rate).collect();
        self.last.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.key.cmp(&b.key)));
        self.last.truncate(HotKeys::MAX_REPORTED);
        self.started = now;
    }
}
