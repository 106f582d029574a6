use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::{NodeId, ServerName, Term};
use bay_wire::{Order, OrderReply, OrderRole};

use crate::server_state::{ORDERS_PER_LEASE, OrderHeader, ServerState};
use crate::{DeputyReport, Holder, Mandate, RemainingLease, ServerKey};

/// Number of half order intervals without a mandate after which the deputy acts for the keeper.
///
/// A server's lease runs from its second-to-last reply. It may have only two intervals left when
/// the keeper is lost.
const SILENT_HALF_INTERVALS: u32 = 3;
/// Number of checks for due orders within one order interval.
const CHECKS_PER_ORDER: u32 = 4;

/// Renews the leases of a zone's servers while their keeper is silent, and those of single servers
/// that the keeper can't reach.
#[derive(Debug)]
pub(crate) struct Deputy {
    node: NodeId,
    pub(crate) keeper: Holder,
    pub(crate) term: Term,
    fenced: bool,
    mandate: Option<Mandate>,
    last_mandate_at: Time,
    /// When the authority of the last mandate ends, by the local clock.
    authority_end: Time,
    sequence: u64,
    next_check: Time,
    servers: BTreeMap<ServerKey, ServerState>,
}

impl Deputy {
    /// Creates a deputy that has no authority yet.
    pub(crate) fn new(node: NodeId, keeper: Holder, term: Term, fenced: bool, now: Time) -> Deputy {
        Deputy {
            node,
            keeper,
            term,
            fenced,
            mandate: None,
            last_mandate_at: now,
            authority_end: Time::ZERO,
            sequence: 0,
            next_check: now,
            servers: BTreeMap::new(),
        }
    }

    /// Applies a mandate of the keeper and returns the report that answers it.
    pub(crate) fn handle_mandate(&mut self, now: Time, mandate: Mandate) -> DeputyReport {
        let current = self.mandate.as_ref().map_or(0, |current| current.sequence);
        if mandate.sequence > current {
            self.last_mandate_at = now;
            if !mandate.unreachable.is_empty() {
                self.next_check = now;
            }
            if let Some(echo) = mandate.echo {
                let authority = Duration::from_millis(mandate.authority_ms);
                self.authority_end = Time::from_nanos(echo) + authority;
            }
            self.mandate = Some(mandate);
        }
        let sequence = self.mandate.as_ref().map_or(0, |mandate| mandate.sequence);
        DeputyReport { sequence, stamp: now.as_nanos(), leases: self.remaining_leases(now) }
    }

    /// Returns the leases that the deputy may have renewed and that may still run.
    pub(crate) fn remaining_leases(&self, now: Time) -> Vec<RemainingLease> {
        let remaining = |(server, state): (&ServerKey, &ServerState)| RemainingLease {
            server: server.name,
            remaining_ms: state.latest_expiry().since(now).as_millis() as u64 + 1,
        };
        let running = self.servers.iter().filter(|(_, state)| state.latest_expiry() > now);
        running.map(remaining).collect()
    }

    /// Returns when orders may be due, or [`Time::MAX`] before the first mandate.
    pub(crate) fn next_deadline(&self) -> Time {
        let Some(mandate) = &self.mandate else {
            return Time::MAX;
        };
        let acts_at = self.last_mandate_at + silence_limit(mandate);
        if mandate.unreachable.is_empty() { acts_at.max(self.next_check) } else { self.next_check }
    }

    /// Returns the orders that are due, for the servers that the deputy may renew.
    pub(crate) fn due_orders(
        &mut self,
        now: Time,
        servers: &[ServerKey],
    ) -> Vec<(ServerKey, Order)> {
        let Some(mandate) = &self.mandate else {
            return Vec::new();
        };
        let lease = Duration::from_millis(mandate.lease_ms);
        self.next_check = now + lease / ORDERS_PER_LEASE / CHECKS_PER_ORDER;
        if now >= self.authority_end {
            return Vec::new();
        }
        let keeper_silent = now >= self.last_mandate_at + silence_limit(mandate);
        let barred: BTreeSet<ServerName> = mandate.barred.iter().copied().collect();
        let mut orders = Vec::new();
        for server in servers {
            let may_renew = keeper_silent || mandate.unreachable.contains(&server.name);
            if !may_renew || barred.contains(&server.name) {
                continue;
            }
            let new_state = || ServerState::new(now, Time::ZERO, self.fenced);
            let state = self.servers.entry(*server).or_insert_with(new_state);
            if state.next_send() > now {
                continue;
            }
            self.sequence += 1;
            let header = OrderHeader {
                keeper: self.node,
                role: OrderRole::Deputy,
                term: self.term,
                sequence: self.sequence,
                lease,
            };
            orders.push((*server, state.next_order(now, header)));
        }
        orders
    }

    /// Records a server's reply to an order, or its timeout if `reply` is `None`.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        server: ServerKey,
        order: &Order,
        reply: Option<&OrderReply>,
    ) {
        if let Some(state) = self.servers.get_mut(&server) {
            state.handle_reply(now, order, reply);
            self.next_check = self.next_check.min(state.next_send());
        }
    }
}

/// Returns the time without mandates after which the keeper counts as silent.
fn silence_limit(mandate: &Mandate) -> Duration {
    Duration::from_millis(mandate.lease_ms) / ORDERS_PER_LEASE / 2 * SILENT_HALF_INTERVALS
}
