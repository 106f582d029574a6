use std::time::Duration;

use bay_time::Time;

/// Bounds the lines of a log, with a reserve for warnings and errors.
#[derive(Debug)]
pub struct LogRateLimiter {
    tokens: f64,
    filled: Time,
    left_out: u64,
}

impl LogRateLimiter {
    /// Lines a second in the long run; at 0.3 KB a line this is 60 KB a second.
    const PER_SECOND: f64 = 200.0;
    /// Lines that may come at once.
    const BURST: f64 = 400.0;
    /// Part of the burst that only warnings and errors may use.
    const RESERVE: f64 = 100.0;
    /// Shortest time over which lines that were left out are counted.
    const REPORT: Duration = Duration::from_secs(1);

    /// A limit that nothing has used.
    pub fn new(now: Time) -> LogRateLimiter {
        LogRateLimiter { tokens: LogRateLimiter::BURST, filled: now, left_out: 0 }
    }

    /// Whether a line may be written now; one that may not is counted.
    pub fn admit(&mut self, now: Time, urgent: bool) -> bool {
        let passed = now.since(self.filled).as_secs_f64();
        self.tokens =
            (self.tokens + passed * LogRateLimiter::PER_SECOND).min(LogRateLimiter::BURST);
        self.filled = now;
        let least = if urgent { 1.0 } else { 1.0 + LogRateLimiter::RESERVE };
        if self.tokens < least {
            self.left_out += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes note of a line that could not be written without waiting.
    pub fn record_blocked(&mut self) {
        self.left_out += 1;
    }

    /// How many lines were left out since this was last asked, if any.
    pub fn take_dropped_count(&mut self) -> Option<u64> {
        let left_out = std::mem::take(&mut self.left_out);
        (left_out > 0).then_some(left_out)
    }

    /// How long lines that were left out are counted before they are told.
    pub fn report_interval() -> Duration {
        LogRateLimiter::REPORT
    }
}
