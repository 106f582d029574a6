use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan, LoanId, TargetCondition};
use rand::RngExt;

use crate::borrowing::{BORROW_TIMEOUT, clamp_count};
use crate::slot_ledger::{LOAN_TERM, LentSlot};
use crate::{Pool, TargetId};

/// Most gates that may wait for a slot at one home.
const MAX_WAITING_GATES: usize = 256;

/// Slots that a home keeps back when it lends ahead of demand, for requests that already wait.
const AHEAD_RESERVE: u32 = 1;

/// Delay in the queue for gates of other zones that have targets of their own. A slot used from
/// another zone is idle for longer between requests.
const REMOTE_DELAY: Duration = Duration::from_millis(20);

/// A gate whose request for slots is not yet fulfilled.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WaitingGate {
    gate: NodeId,
    want: u32,
    only: Option<SocketAddr>,
    asked: u64,
    since: Time,
    /// Sort key of the queue: the arrival time, delayed for gates of other zones with own targets.
    rank: Time,
}

impl WaitingGate {
    pub(crate) fn new(
        now: Time,
        gate: NodeId,
        asked: u64,
        want: u32,
        only: Option<SocketAddr>,
    ) -> WaitingGate {
        WaitingGate { gate, want, only, asked, since: now, rank: now }
    }
}

impl Pool {
    pub(crate) fn handle_borrow(&mut self, now: Time, waiter: WaitingGate, ahead: bool) {
        let reserve = if ahead { AHEAD_RESERVE } else { 0 };
        let loans = self.lend_slots(now, &waiter, reserve);
        let missing = waiter.want - loans.len() as u32;
        self.send_loans(now, &waiter, loans);
        if missing > 0 && !ahead && self.waiting_gates.len() < MAX_WAITING_GATES {
            self.wait_for_slots(WaitingGate { want: missing, ..waiter });
        }
    }

    fn wait_for_slots(&mut self, mut waiter: WaitingGate) {
        if self.homes.get(&waiter.gate).is_some_and(|home| home.has_local_targets) {
            waiter.rank += REMOTE_DELAY;
        }
        let index = self.waiting_gates.partition_point(|other| other.rank <= waiter.rank);
        self.waiting_gates.insert(index, waiter);
    }

    /// Lends free slots to waiting gates, in the order of their requests. A request queued at this
    /// gate has priority over gates that arrived after it.
    pub(crate) fn serve_waiting_gates(&mut self, now: Time) {
        self.waiting_gates.retain(|waiter| now.since(waiter.since) < BORROW_TIMEOUT);
        if self.waiting_gates.is_empty() {
            return;
        }
        let own = self.queue.oldest_queued_at();
        for _ in 0..self.waiting_gates.len() {
            let Some(waiter) = self.waiting_gates.pop_front() else {
                return;
            };
            if waiter.only.is_none() && own.is_some_and(|own| own < waiter.rank) {
                self.waiting_gates.push_back(waiter);
                continue;
            }
            let loans = self.lend_slots(now, &waiter, 0);
            let missing = waiter.want - loans.len() as u32;
            if !loans.is_empty() {
                self.send_loans(now, &waiter, loans);
            }
            if missing > 0 {
                self.waiting_gates.push_back(WaitingGate { want: missing, ..waiter });
            }
        }
    }

    fn send_loans(&mut self, now: Time, waiter: &WaitingGate, loans: Vec<Loan>) {
        let spare = self.spare(now);
        let asked = waiter.asked;
        self.send(waiter.gate, LoadMessage::Lend { asked, loans, spare });
    }

    /// Lends up to the wanted number of slots, as far as they are free.
    fn lend_slots(&mut self, now: Time, waiter: &WaitingGate, reserve: u32) -> Vec<Loan> {
        let mut loans = Vec::new();
        if let Some(address) = waiter.only {
            if let Some(id) = self.by_address.get(&address).copied() {
                self.lend_target_slots(now, id, waiter, &mut loans);
            }
            return loans;
        }
        let mut spare = u32::from(self.spare(now)).saturating_sub(reserve);
        let count = self.own_targets.len();
        let start = if count == 0 { 0 } else { self.rng.random_range(0..count) };
        for index in 0..count {
            let id = self.own_targets[(start + index) % count];
            while spare > 0 && (loans.len() as u32) < waiter.want {
                if self.targets[id].free_slots(now) == 0
                    || !self.lend_slot(now, id, waiter, &mut loans)
                {
                    break;
                }
                spare -= 1;
            }
        }
        loans
    }

    fn lend_target_slots(
        &mut self,
        now: Time,
        id: TargetId,
        waiter: &WaitingGate,
        loans: &mut Vec<Loan>,
    ) {
        while (loans.len() as u32) < waiter.want && self.lend_slot(now, id, waiter, loans) {}
    }

    /// Lends one slot of a target, whether it is slow or not; returns `false` if none is free.
    fn lend_slot(
        &mut self,
        now: Time,
        id: TargetId,
        to: &WaitingGate,
        loans: &mut Vec<Loan>,
    ) -> bool {
        let target = &mut self.targets[id];
        if target.free_pinned_slots(now) == 0 {
            return false;
        }
        let address = target.spec.address;
        let Some(ledger) = &mut target.ledger else {
            return false;
        };
        self.last_loan_id = self.last_loan_id.wrapping_add(1);
        let number = LoanId(self.last_loan_id);
        let trial = ledger.acquire(now);
        let until = now + LOAN_TERM;
        ledger.lent_slots.push(LentSlot { id: number, to: to.gate, asked: to.asked, until });
        let capacity = ledger.capacity.slots(now);
        loans.push(Loan { id: number, target: address, capacity, trial });
        self.ready_list.refresh(&mut self.targets, id, now);
        true
    }

    /// Counts the free slots of the targets that this gate is home to.
    fn spare(&self, now: Time) -> u16 {
        let own_targets = self.own_targets.iter().map(|id| &self.targets[*id]);
        clamp_count(own_targets.map(|target| target.free_slots(now)).sum())
    }

    pub(crate) fn handle_renew(
        &mut self,
        now: Time,
        from: NodeId,
        asked: u64,
        settled: u64,
        loans: &[Loan],
    ) {
        self.reconcile(now, from, settled, loans);
        let mut renewed = Vec::new();
        let mut refused = Vec::new();
        for loan in loans {
            let list = if self.renew(now, from, *loan) { &mut renewed } else { &mut refused };
            list.push(loan.id);
        }
        let spare = self.spare(now);
        self.send(from, LoadMessage::Renewed { asked, renewed, refused, spare });
    }

    /// Frees the slots that a gate no longer holds, by the loans that its renewal lists.
    fn reconcile(&mut self, now: Time, from: NodeId, settled: u64, loans: &[Loan]) {
        for index in 0..self.own_targets.len() {
            let id = self.own_targets[index];
            if let Some(ledger) = &mut self.targets[id].ledger {
                ledger.reconcile(from, settled, loans);
            }
            self.ready_list.refresh(&mut self.targets, id, now);
        }
        self.serve_waiting_gates(now);
    }

    fn renew(&mut self, now: Time, from: NodeId, loan: Loan) -> bool {
        let Some(id) = self.by_address.get(&loan.target).copied() else {
            return false;
        };
        let target = &mut self.targets[id];
        let own = target.own_in_flight();
        let renewed = match &mut target.ledger {
            Some(ledger) => ledger.renew(now, from, loan, own),
            None => false,
        };
        self.ready_list.refresh(&mut self.targets, id, now);
        renewed
    }

    pub(crate) fn handle_return(&mut self, now: Time, from: NodeId, loans: &[Loan]) {
        for loan in loans {
            let Some(id) = self.by_address.get(&loan.target).copied() else {
                continue;
            };
            if let Some(ledger) = &mut self.targets[id].ledger {
                ledger.return_slot(from, loan.id);
            }
            self.ready_list.refresh(&mut self.targets, id, now);
        }
        self.serve_waiting_gates(now);
    }

    pub(crate) fn handle_condition(
        &mut self,
        now: Time,
        from: NodeId,
        address: SocketAddr,
        condition: TargetCondition,
    ) {
        let Some(id) = self.by_address.get(&address).copied() else {
            return;
        };
        let Some(ledger) = &mut self.targets[id].ledger else {
            return;
        };
        match condition {
            TargetCondition::Cold => ledger.capacity.restart(now),
            TargetCondition::Slow => ledger.mark_slow(now),
            TargetCondition::Fast => ledger.mark_fast(now),
        }
        if condition != TargetCondition::Fast {
            self.recall(id, Some(from));
        }
        self.ready_list.refresh(&mut self.targets, id, now);
    }

    /// Asks all borrowers of a target to return its slots, except one that already does so.
    pub(crate) fn recall(&mut self, id: TargetId, except: Option<NodeId>) {
        let target = &self.targets[id];
        let address = target.spec.address;
        let Some(ledger) = &target.ledger else { return };
        let mut holders: Vec<NodeId> = ledger.lent_slots.iter().map(|lent| lent.to).collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders.into_iter().filter(|holder| Some(*holder) != except) {
            self.send(holder, LoadMessage::Recall { target: address });
        }
    }
}
