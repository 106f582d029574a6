use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan};

use crate::latencies::Pace;
use crate::slot_ledger::LOAN_TERM;
use crate::target::Target;
use crate::{Pool, TargetId};

/// Interval between sweeps of a pool in use.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which an idle loan is kept for another request.
const MAX_IDLE: Duration = Duration::from_millis(5);

/// Shortest interval between renewals sent to one home.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// Age from which a request for slots is settled by a renewal. The gate accepts no more loans for
/// it, and the home frees those that the renewal does not list.
const SETTLE_AFTER: Duration = Duration::from_millis(50);

impl Pool {
    /// Schedules a sweep unless one is scheduled already.
    pub(crate) fn schedule_sweep(&mut self, now: Time) {
        if self.next_sweep.is_none() {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
        }
    }

    /// Removes expired requests and loans, renews loans in use and returns idle ones. Then lends
    /// and requests slots as needed.
    pub(crate) fn sweep(&mut self, now: Time) {
        self.queue.sweep(now);
        let ids: Vec<TargetId> = self.targets.keys().collect();
        let mut active = !self.queue.is_empty();
        for id in ids {
            active |= self.sweep_target(now, id);
        }
        active |= self.send_renewals(now);
        self.serve_waiting_gates(now);
        self.borrow_for_queue(now);
        for address in self.queue.pinned_addresses() {
            self.borrow_for_pinned(now, address);
        }
        self.next_sweep = active.then(|| now + SWEEP_INTERVAL);
    }

    /// Sweeps one target; returns whether it needs another sweep.
    fn sweep_target(&mut self, now: Time, id: TargetId) -> bool {
        self.detect_slow_requests(now, id);
        let target = &mut self.targets[id];
        if let Some(ledger) = &mut target.ledger {
            ledger.expire(now);
        }
        let idle_too_long = |since: Time| now.since(since) >= MAX_IDLE;
        for loan in &mut target.loans {
            loan.return_when_idle |= loan.idle_since.is_some_and(idle_too_long);
        }
        target.loans.retain(|loan| loan.idle_since.is_none() || now < loan.until);
        let active = is_active(target, now);
        self.return_marked_loans(now, id);
        self.ready_list.refresh(&mut self.targets, id, now);
        active
    }

    /// Marks the target as slow if an attempt in flight has become slow.
    fn detect_slow_requests(&mut self, now: Time, id: TargetId) {
        let mut slow = false;
        for request in &mut self.targets[id].in_flight {
            let pace = self.latencies.classify(now.since(request.since), None);
            if pace == Pace::Slow && !request.slow_recorded {
                request.slow_recorded = true;
                slow = true;
            }
        }
        if slow {
            self.handle_slow(now, id);
        }
    }

    /// Sends each home a renewal that lists all loans held of it, if they have changed or expire
    /// soon. Returns whether any home needs a renewal, sent or not.
    fn send_renewals(&mut self, now: Time) -> bool {
        let mut lists: BTreeMap<NodeId, Vec<Loan>> = BTreeMap::new();
        let mut expiring: BTreeSet<NodeId> = BTreeSet::new();
        for target in self.targets.values() {
            let Some(home) = target.home.filter(|_| !target.loans.is_empty()) else {
                continue;
            };
            let loans = target.loans.iter().map(|loan| loan.wire_loan(target.spec.address));
            lists.entry(home).or_default().extend(loans);
            let expires_soon = target.loans.iter().any(|l| l.until.since(now) < LOAN_TERM * 2 / 3);
            if expires_soon || target.handover_pending {
                expiring.insert(home);
            }
        }
        let settled = (now - SETTLE_AFTER).as_nanos();
        let mut due = Vec::new();
        let mut pending = false;
        for (node, home) in &mut self.homes {
            let wanted = home.changed_at > home.last_renewal || expiring.contains(node);
            pending |= wanted;
            if wanted && home.next_renewal <= now {
                home.next_renewal = now + RENEWAL_INTERVAL;
                home.settled = settled;
                due.push(*node);
            }
        }
        for node in due {
            let loans = lists.remove(&node).unwrap_or_default();
            self.send(node, LoadMessage::Renew { asked: now.as_nanos(), settled, loans });
        }
        pending
    }
}

/// Whether a target's state changes with time alone.
fn is_active(target: &Target, now: Time) -> bool {
    let ledger = target.ledger.as_ref();
    !target.in_flight.is_empty()
        || !target.loans.is_empty()
        || ledger.is_some_and(|ledger| ledger.changes_with_time(now))
}
