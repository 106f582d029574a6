use bay_call::{AttemptId, Call, Fingerprint};
use bay_load::{Permit, TargetId, Ticket};
use bay_time::Time;
use bay_types::{CustomerName, ErrorKind, KeyHash, NodeId, Token};

use crate::service::ServiceId;

/// A request that has not ended, as the gate keeps it.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) service: ServiceId,
    pub(crate) call: Call,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) key: Option<KeyHash>,
    pub(crate) customer: Option<CustomerName>,
    /// The digest of the idempotency key, if the request has one that is claimed.
    pub(crate) claim_digest: Option<u64>,
    pub(crate) phase: Phase,
    pub(crate) permits: [Option<(AttemptId, Permit)>; Call::MAX_LIVE_ATTEMPTS],
    /// Targets that an attempt came to nothing at.
    pub(crate) excluded_targets: Vec<TargetId>,
    pub(crate) ticket: Option<Ticket>,
    /// Whether the next attempt is a retry that the budget has paid for.
    pub(crate) retry_paid: bool,
    /// The token of the latest attempt.
    pub(crate) sent_token: Option<Token>,
    /// The highest token that a server refused.
    pub(crate) refused_token: Option<Token>,
    /// When the request first lacked an owner.
    pub(crate) ownerless_since: Option<Time>,
    /// When a second attempt is started beside a slow one.
    pub(crate) hedge_at: Option<Time>,
    /// Whether the request is a suspect's only run.
    pub(crate) is_suspect: bool,
    /// The answer if the request ends before any attempt was sent.
    pub(crate) fallback_error: ErrorKind,
}

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It is being placed.
    Placing,
    /// Other gates' answers to its claim.
    Claiming(PendingClaim),
    /// A target with room, or a moment to try again.
    Queued { until: Time },
    /// An owner, and for at most this long.
    Ownerless { until: Time, next_try: Time },
    /// An attempt.
    Running,
}

/// The answers to a claim so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PendingClaim {
    /// The homes that have not answered.
    pub(crate) unanswered: [Option<NodeId>; 2],
    /// How many other homes have granted it.
    pub(crate) grants: u32,
    /// When the claim is sent again.
    pub(crate) resend_at: Option<Time>,
    /// When the gate waits no longer.
    pub(crate) until: Time,
}

impl Phase {
    /// Whether the request waits without an attempt.
    pub(crate) fn is_waiting(self) -> bool {
        matches!(self, Phase::Claiming(_) | Phase::Queued { .. } | Phase::Ownerless { .. })
    }

    /// When the request needs attention at the latest.
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
    /// When the request needs attention at the latest.
    pub(crate) fn next_wakeup(&self) -> Time {
        let hedge_at = self.hedge_at.unwrap_or(Time::MAX);
        self.call.deadline().min(self.phase.next_wakeup()).min(hedge_at)
    }

    /// Takes the slot that an attempt holds.
    pub(crate) fn take_permit(&mut self, id: AttemptId) -> Option<Permit> {
        let holds = |slot: &&mut Option<(AttemptId, Permit)>| {
            slot.as_ref().is_some_and(|(attempt, _)| *attempt == id)
        };
        let slot = self.permits.iter_mut().find(holds)?;
        slot.take().map(|(_, permit)| permit)
    }

    /// The target that an attempt went to.
    pub(crate) fn target_of(&self, id: AttemptId) -> Option<TargetId> {
        let held = self.permits.iter().flatten().find(|(attempt, _)| *attempt == id);
        held.map(|(_, permit)| permit.target())
    }

    /// Keeps the slot that an attempt holds.
    pub(crate) fn store_permit(&mut self, id: AttemptId, permit: Permit) {
        if let Some(slot) = self.permits.iter_mut().find(|slot| slot.is_none()) {
            *slot = Some((id, permit));
        }
    }
}
