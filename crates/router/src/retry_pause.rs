use std::time::Duration;

/// Pauses of a task between failed calls to the store.
#[derive(Debug, Default)]
pub struct RetryPause {
    /// Failed calls in a row.
    failures: u32,
}

/// How a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The circuit breaker did not allow it.
    Suspended,
    /// The store rejected it or did not answer.
    Failed,
}

impl RetryPause {
    /// Pause after the first failure; it doubles with each further one.
    const BASE: Duration = Duration::from_millis(150);
    /// Longest pause of the granter, on which the other routers rely.
    const MAX_GRANTER: Duration = Duration::from_millis(600);
    /// Longest pause of a follower. It is shorter than the time within which a router must follow
    /// the store again after an outage.
    const MAX_FOLLOWER: Duration = Duration::from_millis(1_200);
    /// Upper bound of the doublings.
    const MAX_DOUBLINGS: u32 = 3;

    /// Creates the pauses of a task that has made no call.
    pub const fn new() -> RetryPause {
        RetryPause { failures: 0 }
    }

    /// Records that a call succeeded.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records that a call failed, and returns the pause before the next one.
    ///
    /// A suspended call costs the store nothing, and the circuit breaker spaces the others. So the
    /// task asks again soon, and learns at once when another task's call has succeeded.
    pub fn record_failure(&mut self, failure: CallFailure, is_granter: bool) -> Duration {
        if failure == CallFailure::Suspended {
            self.failures = 0;
            return RetryPause::BASE;
        }
        let pause = RetryPause::BASE * (1 << self.failures.min(RetryPause::MAX_DOUBLINGS));
        self.failures += 1;
        pause.min(if is_granter { RetryPause::MAX_GRANTER } else { RetryPause::MAX_FOLLOWER })
    }
}
