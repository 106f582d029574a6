use std::collections::HashMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::KeyHash;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Finds the most frequent keys at a gate in bounded memory.
///
/// Runs the space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005) over a sample of the
/// requests. When the table is full, a new key replaces the one with the lowest count and inherits
/// that count.
#[derive(Debug)]
pub struct HotKeys {
    counts: HashMap<KeyHash, u32>,
    last_rates: Vec<HotKeyRate>,
    last_total_rate: f64,
    window_start: Time,
    rng: SmallRng,
}

/// A key and its request rate at a gate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HotKeyRate {
    /// The key.
    pub key: KeyHash,
    /// Requests per second: an upper bound, apart from the error of the sampling.
    pub rate: f64,
}

impl HotKeys {
    /// Number of keys counted at a time.
    pub const CAPACITY: usize = 256;
    /// Maximum number of keys reported.
    pub const MAX_REPORTED: usize = 64;
    /// Length of a counting window; the rates of the last complete window are reported.
    pub const WINDOW: Duration = Duration::from_secs(5);
    /// One in this many requests is counted, chosen at random.
    pub const SAMPLING_INTERVAL: u32 = 8;

    /// Creates an empty counter; `seed` drives the sampling.
    pub fn new(now: Time, seed: u64) -> HotKeys {
        let rng = SmallRng::seed_from_u64(seed);
        HotKeys {
            counts: HashMap::new(),
            last_rates: Vec::new(),
            last_total_rate: 0.0,
            window_start: now,
            rng,
        }
    }

    /// Counts a request for a key if it is in the sample.
    pub fn record(&mut self, now: Time, key: KeyHash) {
        if !self.rng.random_ratio(1, HotKeys::SAMPLING_INTERVAL) {
            return;
        }
        self.roll_window(now);
        if let Some(count) = self.counts.get_mut(&key) {
            *count += 1;
            return;
        }
        let least = if self.counts.len() < HotKeys::CAPACITY { 0 } else { self.evict() };
        self.counts.insert(key, least + 1);
    }

    /// Returns the most frequent keys of the last complete window, in descending order of rate.
    pub fn rates(&mut self, now: Time) -> &[HotKeyRate] {
        self.roll_window(now);
        &self.last_rates
    }

    /// Returns the requests per second of the last complete window over all keys.
    pub fn total_rate(&mut self, now: Time) -> f64 {
        self.roll_window(now);
        self.last_total_rate
    }

    /// Removes the key with the lowest count and returns that count.
    fn evict(&mut self) -> u32 {
        let least = self.counts.iter().map(|(key, count)| (*count, *key)).min();
        let Some((count, key)) = least else {
            return 0;
        };
        self.counts.remove(&key);
        count
    }

    fn roll_window(&mut self, now: Time) {
        let span = now.since(self.window_start);
        if span < HotKeys::WINDOW {
            return;
        }
        let scale = f64::from(HotKeys::SAMPLING_INTERVAL) / span.as_secs_f64();
        // A new key inherits the evicted count, so the counts add up to the sampled requests.
        self.last_total_rate = self.counts.values().copied().map(f64::from).sum::<f64>() * scale;
        let rate = |(key, count)| HotKeyRate { key, rate: f64::from(count) * scale };
        self.last_rates = self.counts.drain().map(rate).collect();
        self.last_rates.sort_by(|a, b| b.rate.total_cmp(&a.rate).then(a.key.cmp(&b.key)));
        self.last_rates.truncate(HotKeys::MAX_REPORTED);
        self.window_start = now;
    }
}
