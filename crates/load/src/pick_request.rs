use std::net::SocketAddr;

use bay_time::Time;
use bay_types::CustomerName;

use crate::TargetId;

/// What a request asks of a pool.
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The only target that will do, such as a key's owner.
    pub only: Option<SocketAddr>,
    /// Targets that will not do, such as those already tried.
    pub exclude: &'a [TargetId],
    /// The customer that the request belongs to.
    pub customer: Option<CustomerName>,
    /// Why the request is sent.
    pub purpose: Purpose,
    /// The request's place in the queue, after an earlier [`crate::PickResult::Queued`].
    pub ticket: Option<Ticket>,
    /// When the request has to end.
    pub deadline: Time,
}

impl PickRequest<'_> {
    /// A first attempt at any target.
    pub fn new(deadline: Time) -> PickRequest<'static> {
        PickRequest {
            only: None,
            exclude: &[],
            customer: None,
            purpose: Purpose::First,
            ticket: None,
            deadline,
        }
    }
}

/// Why a request is sent to a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// It has not been sent before.
    First,
    /// An earlier attempt has failed; [`crate::Pool::try_spend_retry`] has paid for this one.
    Retry,
    /// An earlier attempt is slow; the pool pays for this one from the hedge budget.
    Hedge,
}

/// A request's place in a pool's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
