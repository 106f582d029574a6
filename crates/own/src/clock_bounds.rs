use std::collections::BTreeMap;
use std::time::Duration;

use bay_conf::KeyedRules;
use bay_time::Time;
use bay_types::ServerName;

use crate::RemainingLease;

/// Divisor for the assumed maximum drift: the rates of two clocks differ by at most 1/500.
const MAX_DRIFT_DIVISOR: u32 = 500;

/// Returns the latest end, on the local clock, of a span that another host measures.
///
/// The span starts on the other host no later than `seen` on the local clock.
pub(crate) fn latest_end(seen: Time, span: Duration) -> Time {
    seen + span + span / MAX_DRIFT_DIVISOR
}

/// Returns the latest ends of the leases in a message of another steward received at `seen`.
pub(crate) fn lease_ends(seen: Time, leases: &[RemainingLease]) -> BTreeMap<ServerName, Time> {
    let mut ends = BTreeMap::new();
    for lease in leases {
        let end = latest_end(seen, Duration::from_millis(lease.remaining_ms));
        let known: &mut Time = ends.entry(lease.server).or_default();
        *known = end.max(*known);
    }
    ends
}

/// Time by which the hold exceeds the longest tolerated outage. It covers the time from the last
/// renewal before an outage to the first one after it.
const HOLD_MARGIN: Duration = Duration::from_secs(15);

/// Returns how long a keeper may act after its last known renewal.
pub(crate) fn hold_time(rules: &KeyedRules) -> Duration {
    rules.outage_hold + HOLD_MARGIN
}
