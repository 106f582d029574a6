use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan};

use crate::lender::LOAN_TERM;
use crate::target::Target;
use crate::{Pool, TargetId};

/// Time between two sweeps of a pool that is in use.
const SWEEP: Duration = Duration::from_millis(10);

/// Time for which an idle loan is kept for the next request.
const KEEP_IDLE: Duration = Duration::from_millis(50);

/// Time between two renewals of a home's loans.
const RENEW_EVERY: Duration = Duration::from_millis(500);

/// Time between two tries to have moved loans taken over.
const MOVE_RETRY: Duration = Duration::from_millis(100);

impl Pool {
    /// Sees to it that a sweep is due.
    pub(crate) fn arm(&mut self, now: Time) {
        if self.next_sweep.is_none() {
            self.next_sweep = Some(now + SWEEP);
        }
    }

    /// Ends what has run out, renews what is in use, and gives back what is not.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.queue.sweep(now);
        let ids: Vec<TargetId> = self.targets.keys().collect();
        let mut renewals: BTreeMap<NodeId, Vec<Loan>> = BTreeMap::new();
        let mut active = !self.queue.is_empty();
        for id in ids {
            active |= self.sweep_target(now, id);
            self.collect_renewals(now, id, &mut renewals);
        }
        self.renew_loans(now, renewals);
        self.serve_askers(now);
        self.borrow_for_queue(now);
        for address in self.queue.only_addresses() {
            self.borrow_only(now, address);
        }
        self.next_sweep = active.then(|| now + SWEEP);
    }

    /// Sweeps one target; says whether it has to be swept again.
    fn sweep_target(&mut self, now: Time, id: TargetId) -> bool {
        let latencies = &self.latencies;
        let target = &mut self.targets[id];
        let late = target.busy.iter().any(|busy| latencies.is_slow(now.since(busy.since), None));
        if let Some(lender) = &mut target.lender {
            lender.expire(now);
        }
        let idle_too_long = |since: Time| now.since(since) >= KEEP_IDLE;
        for loan in &mut target.loans {
            loan.recalled |= loan.idle_since.is_some_and(idle_too_long);
        }
        target.loans.retain(|loan| loan.idle_since.is_none() || now < loan.until);
        let active = is_active(target, now);
        self.give_back_recalled(id);
        if late {
            self.saw_slow(now, id);
        }
        self.ready.refresh(&mut self.targets, id, now);
        active
    }

    fn collect_renewals(
        &mut self,
        now: Time,
        id: TargetId,
        renewals: &mut BTreeMap<NodeId, Vec<Loan>>,
    ) {
        let target = &self.targets[id];
        let Some(home) = target.home.filter(|_| !target.loans.is_empty()) else {
            return;
        };
        let due = self.homes.get(&home).is_some_and(|h| h.renew_at <= now);
        let old = |until: Time| until.since(now) < LOAN_TERM * 2 / 3;
        if !due || !(target.moved || target.loans.iter().any(|loan| old(loan.until))) {
            return;
        }
        let address = target.spec.address;
        let loans = target.loans.iter().filter(|loan| target.moved || old(loan.until));
        let loans = loans.map(|l| Loan { id: l.id, target: address, bearing: l.bearing });
        renewals.entry(home).or_default().extend(loans);
    }

    fn renew_loans(&mut self, now: Time, renewals: BTreeMap<NodeId, Vec<Loan>>) {
        for (node, loans) in renewals {
            let moved = self.targets.values().any(|t| t.moved && t.home == Some(node));
            if let Some(home) = self.homes.get_mut(&node) {
                home.renew_at = now + if moved { MOVE_RETRY } else { RENEW_EVERY };
            }
            self.send(node, LoadMessage::Renew { asked: now.as_nanos(), loans });
        }
    }
}

/// Whether time changes a target's state.
fn is_active(target: &Target, now: Time) -> bool {
    let lender = target.lender.as_ref();
    !target.busy.is_empty()
        || !target.loans.is_empty()
        || target.health.is_slow()
        || lender.is_some_and(|lender| lender.changes(now))
}
