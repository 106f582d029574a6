use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;

use bay_time::Time;
use bay_types::{NodeId, ZoneName};
use bay_wire::{GateAddress, LoanId};
use rand::RngExt;

use crate::home::{Home, choose_home};
use crate::slot_ledger::{DRIFT_MARGIN, LOAN_TERM, SlotLedger};
use crate::target::{HeldLoan, Target};
use crate::{Pool, TargetId, TargetSpec};

impl Pool {
    /// Replaces the targets. State of targets whose address is still listed is kept.
    pub fn set_targets(&mut self, now: Time, specs: &[TargetSpec]) {
        self.drain_releases(now);
        self.remove_targets_not_in(now, specs);
        for spec in specs {
            match self.by_address.get(&spec.address) {
                Some(id) => self.update_target(now, *id, *spec),
                None => {
                    let same_zone = spec.zone == self.config.zone;
                    let id = self.targets.insert(Target::new(*spec, same_zone));
                    self.by_address.insert(spec.address, id);
                }
            }
        }
        self.assign_homes(now);
    }

    /// Replaces the list of gates that share the targets; it includes this gate.
    pub fn set_gates(&mut self, now: Time, gates: &[GateAddress]) {
        self.drain_releases(now);
        let node = self.config.node;
        let zone = self.config.zone;
        self.gates = gates.to_vec();
        let others = || gates.iter().filter(|gate| gate.node != node);
        self.homes.retain(|home, _| others().any(|gate| gate.node == *home));
        for gate in others() {
            self.homes.entry(gate.node).or_insert_with(|| Home::new(gate.zone, gate.zone == zone));
        }
        self.assign_homes(now);
    }

    /// Whether this gate may lend all slots of the targets it is home to. It may not for a while
    /// after its start or after the loss of a gate, since loans of an earlier home may still run.
    pub fn can_lend_all(&self, now: Time) -> bool {
        let mut ledgers = self.targets.values().filter_map(|target| target.ledger.as_ref());
        ledgers.all(|ledger| !ledger.may_have_earlier_loans(now))
    }

    fn remove_targets_not_in(&mut self, now: Time, specs: &[TargetSpec]) {
        let addresses: HashSet<SocketAddr> = specs.iter().map(|spec| spec.address).collect();
        let kept = |target: &Target| addresses.contains(&target.spec.address);
        let gone: Vec<TargetId> =
            self.targets.iter().filter(|(_, t)| !kept(t)).map(|(id, _)| id).collect();
        for id in gone {
            self.targets[id].spec.in_service = false;
            self.ready_list.refresh(&mut self.targets, id, now);
            self.return_loans(now, id);
            if let Some(target) = self.targets.remove(id) {
                self.by_address.remove(&target.spec.address);
            }
        }
    }

    fn update_target(&mut self, now: Time, id: TargetId, spec: TargetSpec) {
        let target = &mut self.targets[id];
        let returns = spec.in_service && !target.spec.in_service;
        let leaves = !spec.in_service && target.spec.in_service;
        target.spec.in_service = spec.in_service;
        if let (true, Some(ledger)) = (returns, &mut target.ledger) {
            ledger.capacity.restart(now);
        }
        if leaves {
            self.return_loans(now, id);
        }
        self.ready_list.refresh(&mut self.targets, id, now);
    }

    /// Recomputes the home of each target, and the lists derived from homes and zones.
    fn assign_homes(&mut self, now: Time) {
        let ids: Vec<TargetId> = self.targets.keys().collect();
        for id in ids {
            let spec = self.targets[id].spec;
            let home =
                choose_home(&self.gates, spec.address, spec.zone).unwrap_or(self.config.node);
            if self.targets[id].home != Some(home) {
                self.move_home(now, id, home);
            }
            self.ready_list.refresh(&mut self.targets, id, now);
        }
        let node = self.config.node;
        let open = self.targets.iter().filter(|(_, target)| target.spec.in_service);
        let homes = open.map(|(id, target)| (id, target.home));
        let (own, others): (Vec<_>, Vec<_>) = homes.partition(|(_, home)| *home == Some(node));
        self.own_targets = own.into_iter().map(|(id, _)| id).collect();
        self.lending_gates = others.into_iter().filter_map(|(_, home)| home).collect();
        self.lending_gates.sort_unstable();
        self.lending_gates.dedup();
        let open = self.targets.values().filter(|target| target.spec.in_service);
        let zones: BTreeSet<ZoneName> = open.map(|target| target.spec.zone).collect();
        for home in self.homes.values_mut() {
            home.has_local_targets = !home.same_zone && zones.contains(&home.zone);
        }
        self.has_same_zone_target = zones.contains(&self.config.zone);
        self.schedule_sweep(now);
    }

    fn move_home(&mut self, now: Time, id: TargetId, home: NodeId) {
        let earlier = self.targets[id].home.replace(home);
        if home == self.config.node {
            self.become_home(now, id, earlier);
        } else {
            self.leave_home(now, id);
            let target = &mut self.targets[id];
            target.handover_pending = !target.loans.is_empty();
        }
    }

    /// Creates the ledger of a target and adopts the slots that this gate had borrowed.
    fn become_home(&mut self, now: Time, id: TargetId, earlier: Option<NodeId>) {
        let limits = self.config.limits;
        let alone = earlier.is_none() && self.gates.len() <= 1;
        let mut ledger = match alone {
            true => SlotLedger::new(limits, now),
            false => SlotLedger::successor(limits, now),
        };
        let target = &mut self.targets[id];
        for loan in target.loans.drain(..).filter(|loan| loan.until > now) {
            ledger.adopt_local(now, loan.capacity);
        }
        for request in &mut target.in_flight {
            request.loan = None;
        }
        target.ledger = Some(ledger);
    }

    /// Drops the ledger of a target. The gate's own requests in flight become loans, which the new
    /// home takes over.
    fn leave_home(&mut self, now: Time, id: TargetId) {
        let capacity = self.targets[id].capacity(now);
        let target = &mut self.targets[id];
        if target.ledger.take().is_none() {
            return;
        }
        for request in &mut target.in_flight {
            let number = LoanId(self.rng.random());
            request.loan = Some(number);
            target.loans.push(HeldLoan {
                id: number,
                until: now + LOAN_TERM - DRIFT_MARGIN,
                capacity,
                idle_since: None,
                return_when_idle: false,
                trial: false,
            });
        }
    }
}
