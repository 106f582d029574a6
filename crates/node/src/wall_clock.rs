use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall clock in nanoseconds since the Unix epoch.
///
/// Used for seeds and for incarnation numbers, which must rise over reboots. No decision compares
/// the clocks of two hosts.
pub(crate) fn wall_nanos() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_nanos() as u64)
}
