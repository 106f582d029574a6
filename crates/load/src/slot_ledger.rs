use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::LoanId;

use crate::TargetLimits;
use crate::capacity::Capacity;

/// Duration of a loan unless it is renewed.
pub const LOAN_TERM: Duration = Duration::from_millis(1_500);

/// Margin that a borrower subtracts from the term against clock drift.
pub(crate) const DRIFT_MARGIN: Duration = Duration::from_millis(50);

/// Time within which all gates learn that a gate has come or gone.
const VIEW_CONVERGENCE: Duration = Duration::from_secs(1);

/// Interval between trials of a slow target.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// A home's ledger of one target's slots: which are lent, and to whom.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    pub(crate) capacity: Capacity,
    pub(crate) lent_slots: Vec<LentSlot>,
    /// When the last loan of an earlier home has expired.
    earlier_loans_until: Time,
    /// Slots taken over from an earlier home; the only usable ones until its loans have expired.
    adopted_slots: u32,
    slow: Option<SlowState>,
}

/// A slot that is lent to another gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LentSlot {
    pub(crate) id: LoanId,
    pub(crate) to: NodeId,
    /// When the borrower requested the slot, in nanoseconds on the borrower's clock.
    pub(crate) asked: u64,
    pub(crate) until: Time,
}

/// State of a target that answers much later than others.
#[derive(Debug, Clone, Copy)]
struct SlowState {
    since: Time,
    /// When the target gets its next trial request.
    next_trial: Time,
}

impl SlotLedger {
    /// Creates the ledger of a target that had no earlier home.
    pub(crate) fn new(limits: TargetLimits, now: Time) -> SlotLedger {
        SlotLedger {
            capacity: Capacity::cold_start(limits, now),
            lent_slots: Vec::new(),
            earlier_loans_until: now,
            adopted_slots: 0,
            slow: None,
        }
    }

    /// Creates the ledger of a target that may have had another home. Until that home's loans have
    /// expired, only slots whose loans were taken over are used.
    pub(crate) fn successor(limits: TargetLimits, now: Time) -> SlotLedger {
        let mut ledger = SlotLedger::new(limits, now);
        ledger.earlier_loans_until = now + LOAN_TERM + VIEW_CONVERGENCE;
        ledger
    }

    /// Counts the slots free for requests that accept any target. `own` is the number that the home
    /// uses itself. A slow target has at most one, when a trial is due.
    pub(crate) fn free_slots(&self, now: Time, own: u32) -> u32 {
        let used = self.lent_slots.len() as u32 + own;
        match self.slow {
            Some(slow) if now < slow.next_trial || used > 0 => 0,
            Some(_) => self.usable_slots(now).min(1),
            None => self.usable_slots(now).saturating_sub(used),
        }
    }

    /// Counts the slots free for requests pinned to this target, whether it is slow or not.
    pub(crate) fn free_pinned_slots(&self, now: Time, own: u32) -> u32 {
        let used = self.lent_slots.len() as u32 + own;
        self.usable_slots(now).saturating_sub(used)
    }

    fn usable_slots(&self, now: Time) -> u32 {
        let capacity = self.capacity.slots(now);
        if now < self.earlier_loans_until { capacity.min(self.adopted_slots) } else { capacity }
    }

    /// Marks the target as slow. It then gets single trial requests at intervals.
    pub(crate) fn mark_slow(&mut self, now: Time) {
        match &mut self.slow {
            Some(slow) => slow.since = now,
            None => self.slow = Some(SlowState { since: now, next_trial: now }),
        }
    }

    /// Clears the slow mark if a request that was answered in time was sent after the mark was set.
    pub(crate) fn mark_fast(&mut self, sent: Time) {
        if self.slow.is_some_and(|slow| sent >= slow.since) {
            self.slow = None;
        }
    }

    /// Records that a slot is assigned; returns whether it is for a trial.
    pub(crate) fn acquire(&mut self, now: Time) -> bool {
        if let Some(slow) = &mut self.slow {
            slow.next_trial = now + TRIAL_INTERVAL;
        }
        self.slow.is_some()
    }

    /// Whether loans by an earlier home may still be valid.
    pub(crate) fn may_have_earlier_loans(&self, now: Time) -> bool {
        now < self.earlier_loans_until
    }

    /// Takes over a slot that an earlier home had lent to this gate.
    pub(crate) fn adopt_local(&mut self, now: Time, capacity: u32) {
        self.adopted_slots += 1;
        self.capacity.raise_to(now, capacity);
    }

    /// Renews a loan, or takes it over from an earlier home. Returns whether the borrower may keep
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

    /// Frees the slots that a gate requested before `settled` and does not list as held. The gate
    /// no longer accepts such loans, so their messages are lost or returned.
    pub(crate) fn reconcile(&mut self, from: NodeId, settled: u64, held: &[bay_wire::Loan]) {
        self.lent_slots.retain(|lent| {
            let listed = held.iter().any(|loan| loan.id == lent.id);
            lent.to != from || lent.asked >= settled || listed
        });
    }

    /// Frees a slot that its borrower has returned; unknown loans are ignored.
    pub(crate) fn return_slot(&mut self, from: NodeId, id: LoanId) {
        self.lent_slots.retain(|lent| lent.id != id || lent.to != from);
    }

    /// Whether the free slots may change with time alone.
    pub(crate) fn changes_with_time(&self, now: Time) -> bool {
        !self.lent_slots.is_empty()
            || self.capacity.is_warming_up(now)
            || self.slow.is_some()
            || now < self.earlier_loans_until
    }

    /// Frees the slots whose loans have expired.
    pub(crate) fn expire(&mut self, now: Time) {
        self.lent_slots.retain(|lent| lent.until > now);
    }
}
