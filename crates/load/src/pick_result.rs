use std::time::Duration;

use bay_time::Time;
use bay_types::ErrorKind;

use crate::{Permit, Ticket};

/// Where a request may go.
#[derive(Debug)]
pub enum PickResult {
    /// To the permit's target, now.
    Granted(Permit),
    /// Nowhere yet; it asks again with the ticket at this time, or earlier when
    /// [`crate::Pool::pop_ready`] returns the ticket.
    Queued {
        /// The request's place in the queue.
        ticket: Ticket,
        /// When to ask again at the latest.
        until: Time,
    },
    /// Nowhere; it is answered at once.
    Refused {
        /// The reason.
        kind: ErrorKind,
        /// When the caller may come back.
        retry_after: Duration,
    },
}
