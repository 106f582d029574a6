use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::LoanId;

use crate::TargetLimits;
use crate::capacity::Capacity;

/// Time that a loan runs unless it is renewed.
pub const LOAN_TERM: Duration = Duration::from_millis(1_500);

/// What a borrower subtracts from the term, as clocks may drift apart.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// Time after which all gates have seen a change of the gates that are up.
const VIEW_CONVERGENCE: Duration = Duration::from_secs(1);

/// Time between two trials of a slow target.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// A home's account of one target's slots.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    pub(crate) capacity: Capacity,
    pub(crate) lent_slots: Vec<LentSlot>,
    earlier_loans_until: Time,
    adopted_slots: u32,
    slow: Option<SlowState>,
}

/// A slot lent to a gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LentSlot {
    pub(crate) id: LoanId,
    pub(crate) to: NodeId,
    /// When the borrower asked for it, on its own clock.
    pub(crate) asked: u64,
    pub(crate) until: Time,
}

/// A target that answers much later than others.
#[derive(Debug, Clone, Copy)]
struct SlowState {
    since: Time,
    /// When it next gets a request.
    next_trial: Time,
}

impl SlotLedger {
    /// The account of a target that had no other home.
    pub(crate) fn new(limits: TargetLimits, now: Time) -> SlotLedger {
        SlotLedger {
            capacity: Capacity::cold_start(limits, now),
            lent_slots: Vec::new(),
            earlier_loans_until: now,
            adopted_slots: 0,
            slow: None,
        }
    }

    /// The account of a target that may have had another home; until the loans of that home have
    /// run out, only slots whose loans were taken over are used.
    pub(crate) fn successor(limits: TargetLimits, now: Time) -> SlotLedger {
        let mut ledger = SlotLedger::new(limits, now);
        ledger.earlier_loans_until = now + LOAN_TERM + VIEW_CONVERGENCE;
        ledger
    }

    /// Slots free for requests that any target may serve, while the home itself uses this many.
    pub(crate) fn free(&self, now: Time, own: u32) -> u32 {
        let used = self.lent_slots.len() as u32 + own;
        match self.slow {
            Some(slow) if now < slow.next_trial || used > 0 => 0,
            Some(_) => self.allowed(now).min(1),
            None => self.allowed(now).saturating_sub(used),
        }
    }

    /// Slots free for requests that only this target may serve, be it slow or not.
    pub(crate) fn free_for_only(&self, now: Time, own: u32) -> u32 {
        let used = self.lent_slots.len() as u32 + own;
        self.allowed(now).saturating_sub(used)
    }

    fn allowed(&self, now: Time) -> u32 {
        let capacity = self.capacity.slots(now);
        if now < self.earlier_loans_until { capacity.min(self.adopted_slots) } else { capacity }
    }

    /// Notes that the target is slow, which leaves it one request at a time, now and then.
    pub(crate) fn mark_slow(&mut self, now: Time) {
        match &mut self.slow {
            Some(slow) => slow.since = now,
            None => self.slow = Some(SlowState { since: now, next_trial: now }),
        }
    }

    /// Notes that the target has answered a request in time that was sent at this time.
    pub(crate) fn mark_fast(&mut self, sent: Time) {
        if self.slow.is_some_and(|slow| sent >= slow.since) {
            self.slow = None;
        }
    }

    /// Counts a slot as given out; says whether it is for a trial.
    pub(crate) fn acquire(&mut self, now: Time) -> bool {
        if let Some(slow) = &mut self.slow {
            slow.next_trial = now + TRIAL_INTERVAL;
        }
        self.slow.is_some()
    }

    /// Whether loans of an earlier home may still run.
    pub(crate) fn may_have_earlier_loans(&self, now: Time) -> bool {
        now < self.earlier_loans_until
    }

    /// Takes over a slot that an earlier home had given to someone.
    pub(crate) fn adopt_local(&mut self, now: Time, capacity: u32) {
        self.adopted_slots += 1;
        self.capacity.raise_to(now, capacity);
    }

    /// Renews a loan, or takes it over from an earlier home; says whether the borrower may go on
    /// using it.
    pub(crate) fn renew(
        &mut self,
        now: Time,
        from: NodeId,
        loan: bay_wire::Loan,
        own: u32,
    ) -> bool {
        let until = now + LOAN_TERM;
        if let Some(lent) = self.lent_slots.iter_mut().find(|l| l.id == loan.id && l.to == from) {
            lent.until = until;
            return true;
        }
        let taking_over = now < self.earlier_loans_until;
        if taking_over {
            self.capacity.raise_to(now, loan.capacity);
        }
        let used = self.lent_slots.len() as u32 + own;
        if used >= self.capacity.slots(now) {
            return false;
        }
        self.adopted_slots += u32::from(taking_over);
        self.lent_slots.push(LentSlot { id: loan.id, to: from, asked: 0, until });
        true
    }

    /// Takes back what was lent to a gate before it settled and is not among the loans that it
    /// holds.
    pub(crate) fn reconcile(&mut self, from: NodeId, settled: u64, held: &[bay_wire::Loan]) {
        self.lent_slots.retain(|lent| {
            let listed = held.iter().any(|loan| loan.id == lent.id);
            lent.to != from || lent.asked >= settled || listed
        });
    }

    /// Takes a loan back.
    pub(crate) fn return_slot(&mut self, from: NodeId, id: LoanId) {
        self.lent_slots.retain(|lent| lent.id != id || lent.to != from);
    }

    /// Whether time alone changes what may be lent.
    pub(crate) fn changes_with_time(&self, now: Time) -> bool {
        !self.lent_slots.is_empty()
            || self.capacity.is_warming_up(now)
            || self.slow.is_some()
            || now < self.earlier_loans_until
    }

    /// Ends the loans that have run out.
    pub(crate) fn expire(&mut self, now: Time) {
        self.lent_slots.retain(|lent| lent.until > now);
    }
}
