use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan, LoanId, TargetCondition};
use rand::RngExt;

use crate::lender::{DRIFT_MARGIN, LOAN_TERM};
use crate::target::HeldLoan;
use crate::{LoadOutput, Pool, TargetId};

/// Time after which an unanswered request for slots counts as lost.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(25);

/// Homes compared for one request.
const HOMES_COMPARED: usize = 8;

/// Share of the loans of another zone that go back after a request although others wait, so that
/// slots come to be used from their own zones.
const SWAP_SHARE: f64 = 0.25;

impl Pool {
    /// Asks a home for slots for the requests that wait for any target.
    pub(crate) fn borrow_for_queue(&mut self, now: Time) {
        let waiting = self.queue.waiting_for(None);
        let missing = waiting.saturating_sub(self.outstanding(now));
        if missing > 0 {
            self.ask(now, missing, false);
        }
    }

    /// Asks a home for a spare slot before a request waits for it.
    pub(crate) fn borrow_ahead(&mut self, now: Time) {
        if self.outstanding(now) == 0 {
            self.ask(now, 1, true);
        }
    }

    /// Asks a target's home for slots for the requests that only this target may serve.
    pub(crate) fn borrow_only(&mut self, now: Time, address: SocketAddr) {
        let waiting = self.queue.waiting_for(Some(address));
        let Some(id) = self.by_address.get(&address) else {
            return;
        };
        let target = &mut self.targets[*id];
        let (Some(home), None) = (target.home, &target.lender) else {
            return;
        };
        let outstanding = if now < target.asked_until { target.asked } else { 0 };
        if waiting <= outstanding {
            return;
        }
        target.asked = waiting;
        target.asked_until = now + ASK_TIMEOUT;
        let want = clamp_count(waiting - outstanding);
        let asked = now.as_nanos();
        self.send(home, LoadMessage::Borrow { asked, want, only: Some(address), ahead: false });
    }

    fn outstanding(&mut self, now: Time) -> u32 {
        let homes = &self.homes;
        self.asked.retain(|node| homes.get(node).is_some_and(|home| home.outstanding(now) > 0));
        self.asked.iter().map(|node| homes[node].outstanding(now)).sum()
    }

    fn ask(&mut self, now: Time, want: u32, ahead: bool) {
        let Some(node) = self.best_lender(now, ahead) else {
            return;
        };
        let Some(home) = self.homes.get_mut(&node) else {
            return;
        };
        home.asked = want;
        home.changed_at = now;
        home.asked_until = now + ASK_TIMEOUT;
        home.spare = home.spare.saturating_sub(want);
        self.asked.push(node);
        let (asked, want) = (now.as_nanos(), clamp_count(want));
        self.send(node, LoadMessage::Borrow { asked, want, only: None, ahead });
    }

    /// The home that most likely has slots left, of a few drawn at random.
    fn best_lender(&mut self, now: Time, spare_only: bool) -> Option<NodeId> {
        if self.lenders.is_empty() {
            return None;
        }
        let count = self.lenders.len();
        let start = self.rng.random_range(0..count);
        let drawn = (0..count.min(HOMES_COMPARED)).map(|i| self.lenders[(start + i) % count]);
        let able = drawn.filter_map(|node| self.homes.get(&node).map(|home| (node, home)));
        able.filter(|(_, home)| home.outstanding(now) == 0 && (!spare_only || home.spare > 0))
            .max_by_key(|(_, home)| (home.spare > 0, home.near, home.spare))
            .map(|(node, _)| node)
    }

    pub(crate) fn on_lend(
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
            home.asked = home.asked.saturating_sub(loans.len() as u32);
            home.changed_at = now;
            settled = home.settled;
        }
        let until = Time::from_nanos(asked) + LOAN_TERM - DRIFT_MARGIN;
        for loan in loans {
            if asked < settled || !self.take_loan(now, from, loan, until) {
                self.returns.entry(from).or_default().push(*loan);
            }
        }
        self.borrow_for_queue(now);
    }

    fn take_loan(&mut self, now: Time, from: NodeId, loan: &Loan, until: Time) -> bool {
        let Some(id) = self.by_address.get(&loan.target).copied() else {
            return false;
        };
        let target = &mut self.targets[id];
        if target.home != Some(from) || !target.spec.accepts || until <= now {
            return false;
        }
        target.asked = target.asked.saturating_sub(1);
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
            recalled: false,
            trial: loan.trial,
        });
        self.ready.refresh(&mut self.targets, id, now);
        true
    }

    pub(crate) fn on_renewed(
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
            home.listed_at = home.listed_at.max(Time::from_nanos(asked));
        }
        let until = Time::from_nanos(asked) + LOAN_TERM - DRIFT_MARGIN;
        let ids: Vec<TargetId> = self.targets_of(from);
        for id in ids {
            let target = &mut self.targets[id];
            target.moved = false;
            for loan in &mut target.loans {
                if renewed.contains(&loan.id) {
                    loan.until = loan.until.max(until);
                }
                loan.recalled |= refused.contains(&loan.id);
            }
            target.loans.retain(|loan| !loan.recalled || loan.idle_since.is_none());
            self.ready.refresh(&mut self.targets, id, now);
        }
    }

    fn targets_of(&self, home: NodeId) -> Vec<TargetId> {
        let held = self.targets.iter().filter(|(_, target)| !target.loans.is_empty());
        held.filter(|(_, target)| target.home == Some(home)).map(|(id, _)| id).collect()
    }

    pub(crate) fn on_recall(&mut self, now: Time, address: SocketAddr) {
        if let Some(id) = self.by_address.get(&address).copied() {
            self.give_back_all(now, id);
        }
    }

    /// Gives a target's idle loans back, and the others once they are idle.
    pub(crate) fn give_back_all(&mut self, now: Time, id: TargetId) {
        let target = &mut self.targets[id];
        for loan in &mut target.loans {
            loan.recalled = true;
        }
        self.give_back_recalled(now, id);
        self.ready.refresh(&mut self.targets, id, now);
    }

    pub(crate) fn give_back_recalled(&mut self, now: Time, id: TargetId) {
        let target = &mut self.targets[id];
        let Some(home) = target.home else { return };
        let address = target.spec.address;
        let returns = &mut self.returns;
        let held = target.loans.len();
        target.loans.retain(|loan| {
            let back = loan.recalled && loan.idle_since.is_some();
            if back {
                returns.entry(home).or_default().push(loan.listed(address));
            }
            !back
        });
        let changed = target.loans.len() < held;
        if let Some(home) = self.homes.get_mut(&home).filter(|_| changed) {
            home.changed_at = now;
        }
    }

    /// Notes that a request has ended on a loan.
    pub(crate) fn loan_idle(&mut self, now: Time, id: TargetId, loan: LoanId) {
        let short = self.lender_short(id);
        let far = self.has_near && !self.targets[id].near;
        let swap = short && far && self.rng.random_bool(SWAP_SHARE);
        let short = short && self.queue.is_empty();
        let target = &mut self.targets[id];
        let accepts = target.spec.accepts;
        let Some(held) = target.loans.iter_mut().find(|held| held.id == loan) else {
            return;
        };
        held.idle_since = Some(now);
        held.recalled |= short || swap || !accepts || held.trial;
        if held.recalled {
            self.give_back_recalled(now, id);
        }
    }

    /// Whether a target's home had no slots left when it last said so.
    fn lender_short(&self, id: TargetId) -> bool {
        let home = self.targets[id].home.and_then(|node| self.homes.get(&node));
        home.is_some_and(|home| home.spare == 0)
    }

    pub(crate) fn tell_home(&mut self, id: TargetId, condition: TargetCondition) {
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

/// A count of slots as messages carry it.
pub(crate) fn clamp_count(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
