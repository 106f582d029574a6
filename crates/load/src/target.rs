use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use bay_wire::{Loan, LoanId};

use crate::late_streak::LateStreak;
use crate::slot_ledger::SlotLedger;

slotmap::new_key_type! {
    /// A target's key in one pool; invalid once the target is removed.
    pub struct TargetId;
}

/// A target's configuration, from the service's document and the state of the zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSpec {
    /// The address, which identifies the target across gates.
    pub address: SocketAddr,
    /// The zone, compared with the gate's own to prefer local targets.
    pub zone: ZoneName,
    /// Whether the target accepts new requests. It does not while it drains or its zone is out.
    pub in_service: bool,
}

/// The pool's state of one target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    /// Whether the target is in the gate's own zone.
    pub(crate) same_zone: bool,
    /// The gate that lends the target's slots; `None` until homes are assigned.
    pub(crate) home: Option<NodeId>,
    /// The ledger of the target's slots, if this gate is its home.
    pub(crate) ledger: Option<SlotLedger>,
    /// Slots borrowed from the target's home.
    pub(crate) loans: Vec<HeldLoan>,
    /// This gate's requests in flight to the target.
    pub(crate) in_flight: Vec<InFlightRequest>,
    pub(crate) late_streak: LateStreak,
    /// Whether a connection to the target has timed out since its last response. Its idle
    /// connections may then be dead as well.
    pub(crate) has_suspect_connections: bool,
    /// When the last trial slot was borrowed, while the trial has no result.
    pub(crate) trial_since: Option<Time>,
    /// Whether a new home has yet to take over the loans held here.
    pub(crate) handover_pending: bool,
    /// Slots requested from the home and not yet lent, for requests pinned to this target.
    pub(crate) requested_slots: u32,
    /// When `requested_slots` expires, as the request or its reply counts as lost.
    pub(crate) request_expires: Time,
    /// The target's index in its list of [`crate::ready_list::ReadyList`].
    pub(crate) ready_index: Option<usize>,
}

/// A slot borrowed from another gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldLoan {
    pub(crate) id: LoanId,
    /// When the loan expires, on this gate's clock.
    pub(crate) until: Time,
    /// The target's capacity in slots, as the home stated it with the loan.
    pub(crate) capacity: u32,
    /// Start of the current idle time; `None` while a request uses the slot.
    pub(crate) idle_since: Option<Time>,
    /// Whether the slot is returned to the home as soon as it is idle. No new request uses it.
    pub(crate) return_when_idle: bool,
    /// Whether the slot is lent for a trial of a slow target.
    pub(crate) trial: bool,
}

/// A request of this gate that occupies a slot.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightRequest {
    pub(crate) number: u64,
    pub(crate) since: Time,
    pub(crate) loan: Option<LoanId>,
    /// Whether the request has already been counted as slow.
    pub(crate) slow_recorded: bool,
}

/// The slot assigned to a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    /// The loan that backs the slot; `None` if this gate is the target's home.
    pub(crate) loan: Option<LoanId>,
    /// Whether the request is a trial of a slow target.
    pub(crate) trial: bool,
}

impl HeldLoan {
    /// Returns the loan in its wire form.
    pub(crate) fn wire_loan(&self, target: SocketAddr) -> Loan {
        Loan { id: self.id, target, capacity: self.capacity, trial: self.trial }
    }

    /// Whether a request may start on the loan.
    pub(crate) fn is_free(&self, now: Time) -> bool {
        self.idle_since.is_some() && !self.return_when_idle && now < self.until
    }
}

impl Target {
    pub(crate) fn new(spec: TargetSpec, same_zone: bool) -> Target {
        Target {
            spec,
            same_zone,
            home: None,
            ledger: None,
            loans: Vec::new(),
            in_flight: Vec::new(),
            late_streak: LateStreak::default(),
            has_suspect_connections: false,
            trial_since: None,
            handover_pending: false,
            requested_slots: 0,
            request_expires: Time::ZERO,
            ready_index: None,
        }
    }

    /// Counts the requests in flight that use no loan, on a target that this gate is home to.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight.iter().filter(|request| request.loan.is_none()).count() as u32
    }

    /// Counts the slots on which a request that accepts any target may start now.
    pub(crate) fn free_slots(&self, now: Time) -> u32 {
        match &self.ledger {
            _ if !self.spec.in_service => 0,
            Some(ledger) => ledger.free_slots(now, self.own_in_flight()),
            None => self.free_loans(now),
        }
    }

    /// Counts the slots on which a request pinned to this target may start now.
    pub(crate) fn free_pinned_slots(&self, now: Time) -> u32 {
        match &self.ledger {
            _ if !self.spec.in_service => 0,
            Some(ledger) => ledger.free_pinned_slots(now, self.own_in_flight()),
            None => self.free_loans(now),
        }
    }

    fn free_loans(&self, now: Time) -> u32 {
        self.loans.iter().filter(|loan| loan.is_free(now)).count() as u32
    }

    /// Occupies a free slot; among loans, the one that became idle last.
    pub(crate) fn acquire_slot(&mut self, now: Time) -> Slot {
        if let Some(ledger) = &mut self.ledger {
            return Slot { loan: None, trial: ledger.acquire(now) };
        }
        let free = self.loans.iter_mut().filter(|loan| loan.is_free(now));
        match free.max_by_key(|loan| loan.idle_since) {
            Some(loan) => {
                loan.idle_since = None;
                Slot { loan: Some(loan.id), trial: loan.trial }
            }
            None => Slot { loan: None, trial: false },
        }
    }

    /// Returns the target's capacity in slots. For a borrowed target, it is the highest one stated
    /// with a loan held.
    pub(crate) fn capacity(&self, now: Time) -> u32 {
        match &self.ledger {
            Some(ledger) => ledger.capacity.slots(now),
            None => self.loans.iter().map(|loan| loan.capacity).max().unwrap_or(0),
        }
    }
}
