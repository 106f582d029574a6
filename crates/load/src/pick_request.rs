use std::net::SocketAddr;

use bay_time::Time;
use bay_types::CustomerName;

use crate::TargetId;

/// Arguments of [`crate::Pool::pick`].
#[derive(Debug, Clone, Copy)]
pub struct PickRequest<'a> {
    /// The one target that the request is pinned to, such as a key's owner.
    pub only: Option<SocketAddr>,
    /// Targets to avoid, such as those already tried.
    pub exclude: &'a [TargetId],
    /// The customer whose share the request counts against.
    pub customer: Option<CustomerName>,
    /// Selects the budget that the attempt is charged to.
    pub purpose: Purpose,
    /// The request's place in the queue, after an earlier [`crate::PickResult::Queued`].
    pub ticket: Option<Ticket>,
    /// Time by which the request has to be complete; no request is queued beyond it.
    pub deadline: Time,
}

impl PickRequest<'_> {
    /// Creates a request for a first attempt at any target.
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
    /// The request has not been sent before.
    First,
    /// An earlier attempt failed. The caller has charged this one with
    /// [`crate::Pool::try_spend_retry`].
    Retry,
    /// An earlier attempt is slow. The pool charges this one to the hedge budget.
    Hedge,
}

/// A request's place in a pool's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);
