use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServiceName, SliceId};

/// Longest time that a planned move may leave a slice unserved.
const MAX_MOVE_GAP: Duration = Duration::from_millis(500);

/// Measures the time that slices spend unserved, from samples.
#[derive(Debug, Default)]
pub struct GapMeter {
    /// Start of the open gap, by slice.
    unserved_since: BTreeMap<(ServiceName, SliceId), Time>,
    /// Ended gaps of slices that had been served before.
    pub gaps: Vec<Gap>,
    served_before: BTreeMap<(ServiceName, SliceId), bool>,
}

/// A period in which a slice was not served.
#[derive(Debug, Clone, Copy)]
pub struct Gap {
    /// Unserved slice.
    pub slice: SliceId,
    /// Virtual time of the first unserved sample.
    pub start: Time,
    /// Time until the first served sample.
    pub length: Duration,
}

impl GapMeter {
    /// Records whether a slice is served at `now`.
    pub(crate) fn sample(&mut self, now: Time, service: ServiceName, slice: SliceId, served: bool) {
        let key = (service, slice);
        if served {
            self.served_before.insert(key, true);
            if let Some(start) = self.unserved_since.remove(&key) {
                self.gaps.push(Gap { slice, start, length: now.since(start) });
            }
        } else if self.served_before.contains_key(&key) {
            self.unserved_since.entry(key).or_insert(now);
        }
    }

    /// Returns the number of slices that were served before but not at their last sample.
    pub fn unserved_count(&self) -> usize {
        self.unserved_since.len()
    }

    /// Returns the number of slices that have been unserved for longer than a planned move may
    /// take.
    pub fn overdue_count(&self, now: Time) -> usize {
        self.unserved_since.values().filter(|start| now > **start + MAX_MOVE_GAP).count()
    }

    /// Removes the ended gaps.
    pub fn clear_gaps(&mut self) {
        self.gaps.clear();
    }

    /// Returns the gap length at a quantile from 0 to 1, or zero without gaps.
    pub fn gap_percentile(&self, quantile: f64) -> Duration {
        let mut lengths: Vec<Duration> = self.gaps.iter().map(|gap| gap.length).collect();
        lengths.sort_unstable();
        let index = (lengths.len() as f64 * quantile).ceil() as usize;
        lengths.get(index.saturating_sub(1)).copied().unwrap_or_default()
    }
}
