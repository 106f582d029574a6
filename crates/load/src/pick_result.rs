use std::time::Duration;

use bay_time::Time;
use bay_types::ErrorKind;

use crate::{Permit, Ticket};

/// The result of [`crate::Pool::pick`].
#[derive(Debug)]
pub enum PickResult {
    /// The request may be sent to the permit's target now.
    Granted(Permit),
    /// The request waits. The caller picks again with the ticket at the given time, or earlier when
    /// [`crate::Pool::pop_ready`] returns the ticket.
    Queued {
        /// The request's place in the queue.
        ticket: Ticket,
        /// Latest time to pick again.
        until: Time,
    },
    /// The request is answered with an error at once.
    Refused {
        /// The error to answer with.
        kind: ErrorKind,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
