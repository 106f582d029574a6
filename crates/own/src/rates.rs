use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{KeyHash, NodeId, SliceId};

use crate::{KeyRate, SliceRate};

/// How long a gate's report counts.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// What the gates send to one service.
#[derive(Debug, Default)]
pub(crate) struct Rates {
    reports: BTreeMap<NodeId, Report>,
    keys: BTreeMap<KeyHash, f64>,
    slices: BTreeMap<SliceId, f64>,
    total: f64,
}

#[derive(Debug)]
struct Report {
    at: Time,
    total: u32,
    keys: Vec<KeyRate>,
    slices: Vec<SliceRate>,
}

impl Rates {
    /// Takes a gate's report in place of its last one.
    pub(crate) fn record_report(
        &mut self,
        now: Time,
        gate: NodeId,
        total: u32,
        keys: Vec<KeyRate>,
        slices: Vec<SliceRate>,
    ) {
        self.reports.insert(gate, Report { at: now, total, keys, slices });
        self.reports.retain(|_, report| now < report.at + REPORT_TTL);
        self.keys.clear();
        self.slices.clear();
        for report in self.reports.values() {
            for key in &report.keys {
                *self.keys.entry(key.key).or_default() += f64::from(key.per_second);
            }
            for slice in &report.slices {
                *self.slices.entry(slice.slice).or_default() += f64::from(slice.per_second);
            }
        }
        let totals = self.reports.values().map(|report| f64::from(report.total));
        // Reports of slices may leave out the idle ones, and totals may be missing.
        self.total = self.slices.values().sum::<f64>().max(totals.sum());
    }

    /// A slice's load, where a slice of mean rate counts as two: one for being owned, one for its
    /// requests.
    pub(crate) fn load(&self, slice: SliceId, ranges: u32) -> f64 {
        let rate = self.slices.get(&slice).copied().unwrap_or_default();
        if self.total == 0.0 {
            return 1.0;
        }
        1.0 + rate * f64::from(ranges) / self.total
    }

    /// A key's rate as a multiple of the mean rate of a range.
    pub(crate) fn heat(&self, key: KeyHash, ranges: u32) -> f64 {
        let rate = self.keys.get(&key).copied().unwrap_or_default();
        if self.total == 0.0 { 0.0 } else { rate * f64::from(ranges) / self.total }
    }

    /// The keys in reports, hottest first.
    pub(crate) fn hottest_keys(&self) -> Vec<KeyHash> {
        let mut keys: Vec<(KeyHash, f64)> =
            self.keys.iter().map(|(key, rate)| (*key, *rate)).collect();
        keys.sort_by(|left, right| right.1.total_cmp(&left.1));
        keys.into_iter().map(|(key, _)| key).collect()
    }
}
