use std::time::{SystemTime, UNIX_EPOCH};

/// Nanoseconds of the wall clock, for numbers of starts that rise over reboots; no decision
/// compares two hosts' clocks.
pub(crate) fn wall_nanos() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_nanos() as u64)
}
