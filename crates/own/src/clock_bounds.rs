use std::collections::BTreeMap;
use std::time::Duration;

use bay_conf::KeyedRules;
use bay_time::Time;
use bay_types::ServerName;

use crate::RemainingLease;

/// Two clocks differ in speed by at most one part in this many.
const MAX_DRIFT_DIVISOR: u32 = 500;

/// The latest end, on the observer's clock, of a span that another host counts from an event that
/// the observer saw no earlier than it happened.
pub(crate) fn latest_end(seen: Time, span: Duration) -> Time {
    seen + span + span / MAX_DRIFT_DIVISOR
}

/// The latest ends of the leases that another steward named in a message received at `seen`.
pub(crate) fn lease_ends(seen: Time, leases: &[RemainingLease]) -> BTreeMap<ServerName, Time> {
    let mut ends = BTreeMap::new();
    for lease in leases {
        let end = latest_end(seen, Duration::from_millis(lease.remaining_ms));
        let known: &mut Time = ends.entry(lease.server).or_default();
        *known = end.max(*known);
    }
    ends
}

/// How much longer than the longest outage a term holds: the time from its last renewal before the
/// outage to its first one after it.
const HOLD_MARGIN: Duration = Duration::from_secs(15);

/// How long a term holds from its last known renewal.
pub(crate) fn hold_time(rules: &KeyedRules) -> Duration {
    rules.outage_hold + HOLD_MARGIN
}
