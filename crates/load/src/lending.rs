use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{LoadMessage, Loan, LoanId, TargetCondition};
use rand::RngExt;

use crate::borrowing::{ASK_TIMEOUT, clamp_count};
use crate::lender::{LOAN_TERM, Lent};
use crate::{Pool, TargetId};

/// Gates that a home lets wait for a slot.
const MAX_ASKERS: usize = 256;

/// Slots that a home keeps for requests that wait, when it lends ahead.
const AHEAD_RESERVE: u32 = 1;

/// Head start of gates in the home's zone over others, as a slot that is used from afar is idle
/// for longer.
const NEAR_HEAD_START: Duration = Duration::from_millis(20);

/// A gate that waits for slots.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Asker {
    gate: NodeId,
    want: u32,
    only: Option<SocketAddr>,
    asked: u64,
    since: Time,
    /// Its place in the order of service.
    rank: Time,
}

impl Asker {
    pub(crate) fn new(
        now: Time,
        gate: NodeId,
        asked: u64,
        want: u32,
        only: Option<SocketAddr>,
    ) -> Asker {
        Asker { gate, want, only, asked, since: now, rank: now }
    }
}

impl Pool {
    pub(crate) fn on_borrow(&mut self, now: Time, asker: Asker, ahead: bool) {
        let reserve = if ahead { AHEAD_RESERVE } else { 0 };
        let loans = self.grant(now, &asker, reserve);
        let missing = asker.want - loans.len() as u32;
        self.send_loans(now, &asker, loans);
        if missing > 0 && !ahead && self.askers.len() < MAX_ASKERS {
            self.wait_for_slots(Asker { want: missing, ..asker });
        }
    }

    fn wait_for_slots(&mut self, mut asker: Asker) {
        if self.homes.get(&asker.gate).is_some_and(|home| home.has_nearer) {
            asker.rank += NEAR_HEAD_START;
        }
        let place = self.askers.partition_point(|other| other.rank <= asker.rank);
        self.askers.insert(place, asker);
    }

    /// Lends slots that have become free to the gates that wait, in the order of their wishes
    /// and of the requests that wait at this gate.
    pub(crate) fn serve_askers(&mut self, now: Time) {
        self.askers.retain(|asker| now.since(asker.since) < ASK_TIMEOUT);
        if self.askers.is_empty() {
            return;
        }
        let own = self.queue.oldest();
        for _ in 0..self.askers.len() {
            let Some(asker) = self.askers.pop_front() else {
                return;
            };
            if asker.only.is_none() && own.is_some_and(|own| own < asker.rank) {
                self.askers.push_back(asker);
                continue;
            }
            let loans = self.grant(now, &asker, 0);
            let missing = asker.want - loans.len() as u32;
            if !loans.is_empty() {
                self.send_loans(now, &asker, loans);
            }
            if missing > 0 {
                self.askers.push_back(Asker { want: missing, ..asker });
            }
        }
    }

    fn send_loans(&mut self, now: Time, asker: &Asker, loans: Vec<Loan>) {
        let spare = self.spare(now);
        let asked = asker.asked;
        self.send(asker.gate, LoadMessage::Lend { asked, loans, spare });
    }

    /// Lends what a gate wants, as far as there are free slots.
    fn grant(&mut self, now: Time, asker: &Asker, reserve: u32) -> Vec<Loan> {
        let mut loans = Vec::new();
        if let Some(address) = asker.only {
            if let Some(id) = self.by_address.get(&address).copied() {
                self.lend_of(now, id, asker, &mut loans);
            }
            return loans;
        }
        let mut spare = u32::from(self.spare(now)).saturating_sub(reserve);
        let count = self.homed.len();
        let start = if count == 0 { 0 } else { self.rng.random_range(0..count) };
        for place in 0..count {
            let id = self.homed[(start + place) % count];
            while spare > 0 && (loans.len() as u32) < asker.want {
                if self.targets[id].free(now) == 0 || !self.lend_one(now, id, asker, &mut loans) {
                    break;
                }
                spare -= 1;
            }
        }
        loans
    }

    fn lend_of(&mut self, now: Time, id: TargetId, asker: &Asker, loans: &mut Vec<Loan>) {
        while (loans.len() as u32) < asker.want && self.lend_one(now, id, asker, loans) {}
    }

    fn lend_one(&mut self, now: Time, id: TargetId, to: &Asker, loans: &mut Vec<Loan>) -> bool {
        let target = &mut self.targets[id];
        if target.free_for_only(now) == 0 {
            return false;
        }
        let address = target.spec.address;
        let Some(lender) = &mut target.lender else {
            return false;
        };
        self.next_loan = self.next_loan.wrapping_add(1);
        let number = LoanId(self.next_loan);
        let trial = lender.take(now);
        let until = now + LOAN_TERM;
        lender.lent.push(Lent { id: number, to: to.gate, asked: to.asked, until });
        let capacity = lender.capacity.slots(now);
        loans.push(Loan { id: number, target: address, capacity, trial });
        self.ready.refresh(&mut self.targets, id, now);
        true
    }

    /// Free slots of the targets that this gate is home to.
    fn spare(&self, now: Time) -> u16 {
        let homed = self.homed.iter().map(|id| &self.targets[*id]);
        clamp_count(homed.map(|target| target.free(now)).sum())
    }

    pub(crate) fn on_renew(
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

    fn reconcile(&mut self, now: Time, from: NodeId, settled: u64, loans: &[Loan]) {
        for place in 0..self.homed.len() {
            let id = self.homed[place];
            if let Some(lender) = &mut self.targets[id].lender {
                lender.reconcile(from, settled, loans);
            }
            self.ready.refresh(&mut self.targets, id, now);
        }
        self.serve_askers(now);
    }

    fn renew(&mut self, now: Time, from: NodeId, loan: Loan) -> bool {
        let Some(id) = self.by_address.get(&loan.target).copied() else {
            return false;
        };
        let target = &mut self.targets[id];
        let own = target.own_busy();
        let renewed = match &mut target.lender {
            Some(lender) => lender.renew(now, from, loan, own),
            None => false,
        };
        self.ready.refresh(&mut self.targets, id, now);
        renewed
    }

    pub(crate) fn on_return(&mut self, now: Time, from: NodeId, loans: &[Loan]) {
        for loan in loans {
            let Some(id) = self.by_address.get(&loan.target).copied() else {
                continue;
            };
            if let Some(lender) = &mut self.targets[id].lender {
                lender.give_back(from, loan.id);
            }
            self.ready.refresh(&mut self.targets, id, now);
        }
        self.serve_askers(now);
    }

    pub(crate) fn on_seen(
        &mut self,
        now: Time,
        from: NodeId,
        address: SocketAddr,
        condition: TargetCondition,
    ) {
        let Some(id) = self.by_address.get(&address).copied() else {
            return;
        };
        let Some(lender) = &mut self.targets[id].lender else {
            return;
        };
        match condition {
            TargetCondition::Cold => lender.capacity.restart(now),
            TargetCondition::Slow => lender.mark_slow(now),
            TargetCondition::Fast => lender.mark_fast(now),
        }
        if condition != TargetCondition::Fast {
            self.recall(id, Some(from));
        }
        self.ready.refresh(&mut self.targets, id, now);
    }

    /// Asks all borrowers of a target, but for one that knows, to give its slots back.
    pub(crate) fn recall(&mut self, id: TargetId, but: Option<NodeId>) {
        let target = &self.targets[id];
        let address = target.spec.address;
        let Some(lender) = &target.lender else { return };
        let mut holders: Vec<NodeId> = lender.lent.iter().map(|lent| lent.to).collect();
        holders.sort_unstable();
        holders.dedup();
        for holder in holders.into_iter().filter(|holder| Some(*holder) != but) {
            self.send(holder, LoadMessage::Recall { target: address });
        }
    }
}
