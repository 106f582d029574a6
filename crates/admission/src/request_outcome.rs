use std::time::Duration;

use crate::RefusalReason;

/// How an attempt of a request ended that was admitted by rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was answered.
    Answered {
        /// Estimated time of work at the server, without queueing.
        work: Duration,
    },
    /// A server rejected it, or it was not sent for lack of capacity.
    Refused(RefusalReason),
}
