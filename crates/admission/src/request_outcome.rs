use std::time::Duration;

use crate::RefusalReason;

/// How a request ended that was admitted by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered; the time is that of its work at the server, without queueing.
    Answered {
        /// Estimated time of work.
        work: Duration,
        /// Whether it missed its latency objective.
        late: bool,
    },
    /// It was given up for lack of capacity.
    Refused(RefusalReason),
}
