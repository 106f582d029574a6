use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan, LoanId, TargetCondition};
use rand::RngExt;

use crate::slot_ledger::{DRIFT_MARGIN, LOAN_TERM};
use crate::target::HeldLoan;
use crate::{LoadOutput, Pool, TargetId};

/// Timeout of a request for slots.
pub(crate) const BORROW_TIMEOUT: Duration = Duration::from_millis(25);

/// Homes compared per request for slots.
const HOMES_COMPARED: usize = 8;

/// Probability that a loan from another zone is returned after a request although more requests
/// wait here. Over time, this moves slots to the gates of their own zones.
const SWAP_PROBABILITY: f64 = 0.25;

impl Pool {
    /// Requests slots for the queued requests that accept any target.
    pub(crate) fn borrow_for_queue(&mut self, now: Time) {
        let waiting = self.queue.waiting_for(None);
        let missing = waiting.saturating_sub(self.outstanding(now));
        if missing > 0 {
            self.request_slots(now, missing, false);
        }
    }

    /// Requests one spare slot ahead of demand.
    pub(crate) fn borrow_ahead(&mut self, now: Time) {
        if self.outstanding(now) == 0 {
            self.request_slots(now, 1, true);
        }
    }

    /// Requests slots of a target for the queued requests pinned to it.
    pub(crate) fn borrow_for_pinned(&mut self, now: Time, address: SocketAddr) {
        let waiting = self.queue.waiting_for(Some(address));
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let target = &mut self.targets[*id];
        let (Some(home), None) = (target.home, &target.ledger) else {
            return;
        };
        let outstanding = if now < target.request_expires { target.requested_slots } else { 0 };
        if waiting <= outstanding {
            return;
        }
        target.requested_slots = waiting;
        target.request_expires = now + BORROW_TIMEOUT;
        let want = clamp_count(waiting - outstanding);
        let asked = now.as_nanos();
        self.send(home, LoadMessage::Borrow { asked, want, only: Some(address), ahead: false });
    }

    fn outstanding(&mut self, now: Time) -> u32 {
        let homes = &self.homes;
        self.pending_homes
            .retain(|node| homes.get(node).is_some_and(|home| home.outstanding(now) > 0));
        self.pending_homes.iter().map(|node| homes[node].outstanding(now)).sum()
    }

    fn request_slots(&mut self, now: Time, want: u32, ahead: bool) {
        let Some(node) = self.best_home(now, ahead) else {
            return;
        };
        let Some(home) = self.homes.get_mut(&node) else {
            return;
        };
        home.requested_slots = want;
        home.changed_at = now;
        home.request_expires = now + BORROW_TIMEOUT;
        home.spare = home.spare.saturating_sub(want);
        self.pending_homes.push(node);
        let (asked, want) = (now.as_nanos(), clamp_count(want));
        self.send(node, LoadMessage::Borrow { asked, want, only: None, ahead });
    }

    /// Returns the home most likely to have spare slots, of a few drawn at random.
    fn best_home(&mut self, now: Time, spare_only: bool) -> Option<NodeId> {
        if self.lending_gates.is_empty() {
            return None;
        }
        let count = self.lending_gates.len();
        let start = self.rng.random_range(0..count);
        let drawn = (0..count.min(HOMES_COMPARED)).map(|i| self.lending_gates[(start + i) % count]);
        let able = drawn.filter_map(|node| self.homes.get(&node).map(|home| (node, home)));
        able.filter(|(_, home)| home.outstanding(now) == 0 && (!spare_only || home.spare > 0))
            .max_by_key(|(_, home)| (home.spare > 0, home.same_zone, home.spare))
            .map(|(node, _)| node)
    }

    /// Accepts lent slots. Loans that come too late or for a target with another home go back.
    pub(crate) fn handle_lend(
        &mut self,
        now: Time,
        from: NodeId,
        asked: u64,
        loans: &[Loan],
        spare: u16,
    ) {
        let mut settled = 0;
        if let Some(home) = self.homes.get_mut(&from) {
            home.spare = u32::from(spare);
            home.requested_slots = home.requested_slots.saturating_sub(loans.len() as u32);
            home.changed_at = now;
            settled = home.settled;
        }
        let until = Time::from_nanos(asked) + LOAN_TERM - DRIFT_MARGIN;
        for loan in loans {
            if asked < settled || !self.accept_loan(now, from, loan, until) {
                self.pending_returns.entry(from).or_default().push(*loan);
            }
        }
        self.borrow_for_queue(now);
    }

    /// Accepts a loan that has not expired, of a target in service whose home is the sender. Returns
    /// `false` for any other loan.
    fn accept_loan(&mut self, now: Time, from: NodeId, loan: &Loan, until: Time) -> bool {
        let Some(id) = self.by_address.get(&loan.target).copied() else {
            return false;
        };
        let target = &mut self.targets[id];
        if target.home != Some(from) || !target.spec.in_service || until <= now {
            return false;
        }
        target.requested_slots = target.requested_slots.saturating_sub(1);
        if target.loans.iter().any(|held| held.id == loan.id) {
            return true;
        }
        if loan.trial {
            target.trial_since = Some(now);
        }
        target.loans.push(HeldLoan {
            id: loan.id,
            until,
            capacity: loan.capacity,
            idle_since: Some(now),
            return_when_idle: false,
            trial: loan.trial,
        });
        self.ready_list.refresh(&mut self.targets, id, now);
        true
    }

    pub(crate) fn handle_renewal_reply(
        &mut self,
        now: Time,
        from: NodeId,
        asked: u64,
        renewed: &[LoanId],
        refused: &[LoanId],
        spare: u16,
    ) {
        if let Some(home) = self.homes.get_mut(&from) {
            home.spare = u32::from(spare);
            home.last_renewal = home.last_renewal.max(Time::from_nanos(asked));
        }
        let until = Time::from_nanos(asked) + LOAN_TERM - DRIFT_MARGIN;
        let ids: Vec<TargetId> = self.targets_of(from);
        for id in ids {
            let target = &mut self.targets[id];
            target.handover_pending = false;
            for loan in &mut target.loans {
                if renewed.contains(&loan.id) {
                    loan.until = loan.until.max(until);
                }
                loan.return_when_idle |= refused.contains(&loan.id);
            }
            target.loans.retain(|loan| !loan.return_when_idle || loan.idle_since.is_none());
            self.ready_list.refresh(&mut self.targets, id, now);
        }
    }

    fn targets_of(&self, home: NodeId) -> Vec<TargetId> {
        let held = self.targets.iter().filter(|(_, target)| !target.loans.is_empty());
        held.filter(|(_, target)| target.home == Some(home)).map(|(id, _)| id).collect()
    }

    pub(crate) fn handle_recall(&mut self, now: Time, address: SocketAddr) {
        if let Some(id) = self.by_address.get(&address).copied() {
            self.return_loans(now, id);
        }
    }

    /// Returns a target's idle loans now, and the others as soon as they are idle.
    pub(crate) fn return_loans(&mut self, now: Time, id: TargetId) {
        let target = &mut self.targets[id];
        for loan in &mut target.loans {
            loan.return_when_idle = true;
        }
        self.return_marked_loans(now, id);
        self.ready_list.refresh(&mut self.targets, id, now);
    }

    pub(crate) fn return_marked_loans(&mut self, now: Time, id: TargetId) {
        let target = &mut self.targets[id];
        let Some(home) = target.home else { return };
        let address = target.spec.address;
        let returns = &mut self.pending_returns;
        let held = target.loans.len();
        target.loans.retain(|loan| {
            let back = loan.return_when_idle && loan.idle_since.is_some();
            if back {
                returns.entry(home).or_default().push(loan.wire_loan(address));
            }
            !back
        });
        let changed = target.loans.len() < held;
        if let Some(home) = self.homes.get_mut(&home).filter(|_| changed) {
            home.changed_at = now;
        }
    }

    /// Marks a loan as idle after its request, and returns it if it is not kept.
    pub(crate) fn mark_loan_idle(&mut self, now: Time, id: TargetId, loan: LoanId) {
        let exhausted = self.is_home_exhausted(id);
        let other_zone = self.has_same_zone_target && !self.targets[id].same_zone;
        let swap = exhausted && other_zone && self.rng.random_bool(SWAP_PROBABILITY);
        let exhausted = exhausted && self.queue.is_empty();
        let target = &mut self.targets[id];
        let in_service = target.spec.in_service;
        let Some(held) = target.loans.iter_mut().find(|held| held.id == loan) else {
            return;
        };
        held.idle_since = Some(now);
        held.return_when_idle |= exhausted || swap || !in_service || held.trial;
        if held.return_when_idle {
            self.return_marked_loans(now, id);
        }
    }

    /// Whether a target's home had no spare slots by its last message.
    fn is_home_exhausted(&self, id: TargetId) -> bool {
        let home = self.targets[id].home.and_then(|node| self.homes.get(&node));
        home.is_some_and(|home| home.spare == 0)
    }

    pub(crate) fn report_to_home(&mut self, id: TargetId, condition: TargetCondition) {
        let target = &self.targets[id];
        let address = target.spec.address;
        if let Some(home) = target.home {
            self.send(home, LoadMessage::ReportCondition { target: address, condition });
        }
    }

    pub(crate) fn send(&mut self, to: NodeId, message: LoadMessage) {
        self.outbox.push(LoadOutput { to, message });
    }
}

/// Converts a count of slots to its wire type, clamped to the maximum.
pub(crate) fn clamp_count(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
