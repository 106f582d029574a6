use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use bay_wire::{Loan, LoanId};

use crate::health::Health;
use crate::slot_ledger::SlotLedger;

slotmap::new_key_type! {
    /// Identifies a target of a pool.
    pub struct TargetId;
}

/// A target as the service's document and the zones' state describe it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target's address.
    pub address: SocketAddr,
    /// The target's zone.
    pub zone: ZoneName,
    /// Whether it takes new work: it is not about to leave, and its zone is in.
    pub in_service: bool,
}

/// A target as the pool sees it.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) spec: TargetSpec,
    /// Whether it is in the gate's own zone.
    pub(crate) same_zone: bool,
    /// The gate that lends its slots.
    pub(crate) home: Option<NodeId>,
    /// The account of its slots, if this gate is its home.
    pub(crate) ledger: Option<SlotLedger>,
    /// Slots that its home has lent to this gate.
    pub(crate) loans: Vec<HeldLoan>,
    /// The gate's requests in flight.
    pub(crate) in_flight: Vec<InFlightRequest>,
    pub(crate) health: Health,
    /// Whether a connection to it has gone silent since it last answered.
    pub(crate) silent: bool,
    /// When a slot of it was last borrowed for a trial whose result is not known.
    pub(crate) trial_since: Option<Time>,
    /// Whether its loans are still to be taken over by a new home.
    pub(crate) handover_pending: bool,
    /// Slots asked for and not yet lent, for requests that only it may serve.
    pub(crate) requested_slots: u32,
    /// When what was asked counts as lost.
    pub(crate) request_expires: Time,
    /// Its place in the list of targets with a free slot.
    pub(crate) ready_at: Option<usize>,
}

/// A slot that another gate has lent to this one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HeldLoan {
    pub(crate) id: LoanId,
    /// When it runs out, on this gate's clock.
    pub(crate) until: Time,
    pub(crate) capacity: u32,
    /// Since when no request uses it, or `None` while one does.
    pub(crate) idle_since: Option<Time>,
    /// Whether it goes back as soon as it is idle.
    pub(crate) return_when_idle: bool,
    /// Whether it is for a trial of a slow target.
    pub(crate) trial: bool,
}

/// A request in flight.
#[derive(Debug, Clone, Copy)]
pub(crate) struct InFlightRequest {
    pub(crate) number: u64,
    pub(crate) since: Time,
    pub(crate) loan: Option<LoanId>,
    /// Whether its slowness has been noted.
    pub(crate) slow_recorded: bool,
}

/// The slot that a request gets.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slot {
    /// The loan, or `None` if this gate is the target's home.
    pub(crate) loan: Option<LoanId>,
    /// Whether it is for a trial of a slow target.
    pub(crate) trial: bool,
}

impl HeldLoan {
    /// The loan as messages carry it.
    pub(crate) fn listed(&self, target: SocketAddr) -> Loan {
        Loan { id: self.id, target, capacity: self.capacity, trial: self.trial }
    }

    /// Whether a request may start on it.
    pub(crate) fn free(&self, now: Time) -> bool {
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
            health: Health::default(),
            silent: false,
            trial_since: None,
            handover_pending: false,
            requested_slots: 0,
            request_expires: Time::ZERO,
            ready_at: None,
        }
    }

    /// Requests in flight on the home's own slots.
    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight.iter().filter(|request| request.loan.is_none()).count() as u32
    }

    /// Slots on which a request that any target may serve may start now.
    pub(crate) fn free(&self, now: Time) -> u32 {
        match &self.ledger {
            _ if !self.spec.in_service => 0,
            Some(ledger) => ledger.free(now, self.own_in_flight()),
            None => self.free_loans(now),
        }
    }

    /// Slots on which a request that only this target may serve may start now.
    pub(crate) fn free_for_only(&self, now: Time) -> u32 {
        match &self.ledger {
            _ if !self.spec.in_service => 0,
            Some(ledger) => ledger.free_for_only(now, self.own_in_flight()),
            None => self.free_loans(now),
        }
    }

    fn free_loans(&self, now: Time) -> u32 {
        self.loans.iter().filter(|loan| loan.free(now)).count() as u32
    }

    /// Takes a free slot into use.
    pub(crate) fn acquire_slot(&mut self, now: Time) -> Slot {
        if let Some(ledger) = &mut self.ledger {
            return Slot { loan: None, trial: ledger.acquire(now) };
        }
        let free = self.loans.iter_mut().filter(|loan| loan.free(now));
        match free.max_by_key(|loan| loan.idle_since) {
            Some(loan) => {
                loan.idle_since = None;
                Slot { loan: Some(loan.id), trial: loan.trial }
            }
            None => Slot { loan: None, trial: false },
        }
    }

    /// What the target can take, as far as this gate knows.
    pub(crate) fn capacity(&self, now: Time) -> u32 {
        match &self.ledger {
            Some(ledger) => ledger.capacity.slots(now),
            None => self.loans.iter().map(|loan| loan.capacity).max().unwrap_or(0),
        }
    }
}
