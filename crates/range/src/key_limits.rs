use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::planner::{OwnedRange, Planner};
use crate::{Candidate, KeyLoads, KeyRange, OwnerId};

/// Share of the requests for a key that its owner can run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct KeyLimit {
    /// The key.
    pub key: u16,
    /// Share of its requests to admit, from 0 to 1.
    pub share: f32,
}

/// Utilisation of an owner up to which the requests for a limited key are admitted.
const ADMITTED_UTILISATION: f64 = 0.8;

/// Ratio of a key's rate to its owner's capacity from which the key is limited. Below it, the
/// owner's queue and callers who return serve more requests than a share admitted by chance.
const MIN_OVERLOAD: f64 = 4.0;

/// Returns the limits of the keys that get far more requests than a server can run.
///
/// A key has one owner, so such a load cannot be spread. Without a limit, the owner's queue fills up
/// until every request for the key is late, and the owner rejects or resets the rest. `owned_ranges`
/// are in key order; a key without an owner is limited to what a server can run on average.
pub(crate) fn key_limits(
    owned_ranges: &[OwnedRange],
    candidates: &[Candidate],
    loads: &KeyLoads,
) -> Vec<KeyLimit> {
    if candidates.is_empty() {
        return Vec::new();
    }
    let mean_service_ms = Planner::mean_service_ms(candidates);
    let capacities: BTreeMap<OwnerId, f64> =
        candidates.iter().map(|each| (each.owner, each.capacity(mean_service_ms))).collect();
    let mean = capacities.values().sum::<f64>() / capacities.len() as f64;
    let capacity = |key: u16| {
        let at = owned_ranges.partition_point(|owned| owned.range.last < key);
        let owned = owned_ranges.get(at).filter(|owned| owned.range.contains(key));
        owned.and_then(|owned| capacities.get(&owned.owner)).copied().unwrap_or(mean)
    };
    let limit = |(key, rate): (u16, f64)| {
        let capacity = capacity(key);
        let share = (capacity * ADMITTED_UTILISATION / rate) as f32;
        (rate > capacity * MIN_OVERLOAD).then_some(KeyLimit { key, share })
    };
    loads.recent().iter_range(KeyRange::ALL).filter_map(limit).collect()
}
