use bay_call::{AttemptId, Call, Fingerprint};
use bay_load::{Permit, TargetId, Ticket};
use bay_time::Time;
use bay_types::{CustomerName, ErrorKind, KeyHash, NodeId, Token};

use crate::service::ServiceId;

/// A request that has not ended, with its slots, timers and place in the queues.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) service: ServiceId,
    pub(crate) call: Call,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key: Option<KeyHash>,
    pub(crate) customer: Option<CustomerName>,
    /// The digest of the idempotency key, if the request needs a claim.
    pub(crate) claim_digest: Option<u64>,
    pub(crate) phase: Phase,
    /// The slots that live attempts hold at their targets.
    pub(crate) permits: [Option<(AttemptId, Permit)>; Call::MAX_LIVE_ATTEMPTS],
    /// Targets where an attempt failed or was rejected.
    pub(crate) excluded_targets: Vec<TargetId>,
    /// The request's place in the pool's queue.
    pub(crate) ticket: Option<Ticket>,
    /// Whether the retry budget was charged for the next attempt.
    pub(crate) retry_paid: bool,
    /// The fencing token of the latest attempt.
    pub(crate) sent_token: Option<Token>,
    /// The highest fencing token under which a server rejected the request because it does not own
    /// the slice.
    pub(crate) rejected_token: Option<Token>,
    /// When the request first found no owner for its key.
    pub(crate) ownerless_since: Option<Time>,
    /// When to start a hedge.
    pub(crate) hedge_at: Option<Time>,
    /// Whether the request is placed as a suspect of crashing targets.
    pub(crate) is_suspect: bool,
    /// The error to answer with if the request cannot be placed again.
    pub(crate) fallback_error: ErrorKind,
}

/// A phase of a request: what it waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Placement, in the current call to the gate.
    Placing,
    /// Replies of other gates to its claim.
    Claiming(PendingClaim),
    /// A free target, or the time to try again.
    Queued { until: Time },
    /// An owner of its key, until the time `until`.
    Ownerless { until: Time, next_try: Time },
    /// The answer to a live attempt.
    Running,
}

/// A claim whose replies are incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingClaim {
    /// The home gates that have not replied.
    pub(crate) unanswered: [Option<NodeId>; 2],
    /// Number of grants from home gates other than this one.
    pub(crate) grants: u32,
    /// When to send the claim again; `None` after it was.
    pub(crate) resend_at: Option<Time>,
    /// When to stop waiting for replies.
    pub(crate) until: Time,
}

impl Phase {
    /// Returns whether the request waits without a live attempt.
    pub(crate) fn is_waiting(self) -> bool {
        matches!(self, Phase::Claiming(_) | Phase::Queued { .. } | Phase::Ownerless { .. })
    }

    /// Returns when the phase needs its timer.
    fn next_wakeup(self) -> Time {
        match self {
            Phase::Placing | Phase::Running => Time::MAX,
            Phase::Claiming(claim) => claim.resend_at.unwrap_or(claim.until),
            Phase::Queued { until } => until,
            Phase::Ownerless { until, next_try } => until.min(next_try),
        }
    }
}

impl PendingCall {
    /// Returns the time for the request's timer: deadline, hedge or phase, whichever is first.
    pub(crate) fn next_wakeup(&self) -> Time {
        let hedge_at = self.hedge_at.unwrap_or(Time::MAX);
        self.call.deadline().min(self.phase.next_wakeup()).min(hedge_at)
    }

    /// Removes and returns the permit of an attempt.
    pub(crate) fn take_permit(&mut self, id: AttemptId) -> Option<Permit> {
        let holds = |slot: &&mut Option<(AttemptId, Permit)>| {
            slot.as_ref().is_some_and(|(attempt, _)| *attempt == id)
        };
        let slot = self.permits.iter_mut().find(holds)?;
        slot.take().map(|(_, permit)| permit)
    }

    /// Returns the target of an attempt that holds a permit.
    pub(crate) fn target_of(&self, id: AttemptId) -> Option<TargetId> {
        let held = self.permits.iter().flatten().find(|(attempt, _)| *attempt == id);
        held.map(|(_, permit)| permit.target())
    }

    /// Stores the permit of an attempt.
    pub(crate) fn store_permit(&mut self, id: AttemptId, permit: Permit) {
        if let Some(slot) = self.permits.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some((id, permit));
        }
    }
}
