use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{KeyHash, NodeId, SliceId};

use crate::{KeyRate, SliceRate};

/// Time after which a gate's report expires.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Request rates of one service, summed over the gates' reports.
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
    /// Replaces the last report of a gate and recomputes the sums.
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
        // Reports may omit idle slices, and some carry no total.
        self.total = self.slices.values().sum::<f64>().max(totals.sum());
    }

    /// Returns the load of a slice: 1 for being owned, plus its rate relative to the mean range.
    pub(crate) fn load(&self, slice: SliceId, ranges: u32) -> f64 {
        let rate = self.slices.get(&slice).copied().unwrap_or_default();
        if self.total == 0.0 {
            return 1.0;
        }
        1.0 + rate * f64::from(ranges) / self.total
    }

    /// Returns a key's rate as a multiple of the mean rate of a range.
    pub(crate) fn heat(&self, key: KeyHash, ranges: u32) -> f64 {
        let rate = self.keys.get(&key).copied().unwrap_or_default();
        if self.total == 0.0 { 0.0 } else { rate * f64::from(ranges) / self.total }
    }

    /// Returns the reported keys, hottest first.
    pub(crate) fn hottest_keys(&self) -> Vec<KeyHash> {
        let mut keys: Vec<(KeyHash, f64)> =
            self.keys.iter().map(|(key, rate)| (*key, *rate)).collect();
        keys.sort_by(|left, right| right.1.total_cmp(&left.1));
        keys.into_iter().map(|(key, _)| key).collect()
    }
}
