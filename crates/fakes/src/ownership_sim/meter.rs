use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServiceName, SliceId};

/// Longest time that a slice on a planned move may go unserved.
const PLANNED_MOVE: Duration = Duration::from_millis(500);

/// Measures how long slices go unserved.
#[derive(Debug, Default)]
pub struct GapMeter {
    down_since: BTreeMap<(ServiceName, SliceId), Time>,
    /// The spans in which a slice that had been served was not, once they ended.
    pub gaps: Vec<Gap>,
    served_before: BTreeMap<(ServiceName, SliceId), bool>,
}

/// A span in which a slice was not served.
#[derive(Debug, Clone, Copy)]
pub struct Gap {
    /// The slice.
    pub slice: SliceId,
    /// When it began.
    pub start: Time,
    /// How long it took.
    pub length: Duration,
}

impl GapMeter {
    /// Takes a sample.
    pub(crate) fn sample(&mut self, now: Time, service: ServiceName, slice: SliceId, served: bool) {
        let key = (service, slice);
        if served {
            self.served_before.insert(key, true);
            if let Some(start) = self.down_since.remove(&key) {
                self.gaps.push(Gap { slice, start, length: now.since(start) });
            }
        } else if self.served_before.contains_key(&key) {
            self.down_since.entry(key).or_insert(now);
        }
    }

    /// How many slices are not served at the moment.
    pub fn unserved_count(&self) -> usize {
        self.down_since.len()
    }

    /// How many slices have not been served for longer than a planned move takes.
    pub fn overdue_count(&self, now: Time) -> usize {
        self.down_since.values().filter(|start| now > **start + PLANNED_MOVE).count()
    }

    /// Forgets the gaps so far.
    pub fn clear_gaps(&mut self) {
        self.gaps.clear();
    }

    /// The gap lengths at a share of all gaps, in order of length.
    pub fn gap_percentile(&self, share: f64) -> Duration {
        let mut lengths: Vec<Duration> = self.gaps.iter().map(|gap| gap.length).collect();
        lengths.sort_unstable();
        let index = (lengths.len() as f64 * share).ceil() as usize;
        lengths.get(index.saturating_sub(1)).copied().unwrap_or_default()
    }
}
