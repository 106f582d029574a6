use std::time::Duration;

use bay_time::Time;

/// A token bucket that limits the lines of a log, with a reserve for warnings and errors.
#[derive(Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    refilled_at: Time,
    dropped: u64,
}

impl LogRateLimiter {
    /// Tokens added per second. At 0.3 KB a line this is 60 KB a second.
    const LINES_PER_SECOND: f64 = 200.0;
    /// Capacity of the bucket: the maximum number of lines in a burst.
    const BURST: f64 = 400.0;
    /// Tokens that only warnings and errors may use.
    const RESERVE: f64 = 100.0;
    /// Minimum time between two reports of dropped lines.
    const REPORT_INTERVAL: Duration = Duration::from_secs(1);

    /// Creates a full token bucket.
    pub fn new(now: Time) -> LogRateLimiter {
        LogRateLimiter { tokens: LogRateLimiter::BURST, refilled_at: now, dropped: 0 }
    }

    /// Returns whether a line may be written now. If not, counts it as dropped. Warnings and errors
    /// are `urgent`.
    pub fn admit(&mut self, now: Time, urgent: bool) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.tokens =
            (self.tokens + elapsed * LogRateLimiter::LINES_PER_SECOND).min(LogRateLimiter::BURST);
        self.refilled_at = now;
        let required = if urgent { 1.0 } else { 1.0 + LogRateLimiter::RESERVE };
        if self.tokens < required {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Counts a line as dropped because writing it would block or failed.
    pub fn record_blocked(&mut self) {
        self.dropped += 1;
    }

    /// Returns and resets the number of dropped lines, or `None` if there were none.
    pub fn take_dropped_count(&mut self) -> Option<u64> {
        let dropped = std::mem::take(&mut self.dropped);
        (dropped > 0).then_some(dropped)
    }

    /// Returns the minimum time between two reports of dropped lines.
    pub fn report_interval() -> Duration {
        LogRateLimiter::REPORT_INTERVAL
    }
}
