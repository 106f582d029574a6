use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_time::Time;
use bay_types::{NodeId, ServerName, SliceId, Token, ZoneName};
use bay_wire::{Order, OrderReply, OrderRole};

use crate::clock_bounds::latest_end;
use crate::former_tracker::FormerTracker;
use crate::mandate_state::MandateState;
use crate::route_feed::RouteFeed;
use crate::server_state::{ORDERS_PER_LEASE, OrderHeader, ServerState};
use crate::shard_slot::ShardSlot;
use crate::stewards::Stewards;
use crate::{Holder, Mandate, ServerKey, TermRecord};

/// Divisor of the order interval. That part of an interval before a silent server's lease ends, the
/// keeper bars the deputy from renewing it. The deputy has until then to renew the lease.
const BAR_MARGIN_DIVISOR: u32 = 4;

/// Renews the leases of one service's servers in one zone and grants and revokes their slices.
#[derive(Debug)]
pub(crate) struct Keeper {
    node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) record: TermRecord,
    /// Send time of the last term renewal that is known to have taken effect.
    pub(crate) renewed_at: Time,
    pub(crate) next_renewal: Time,
    pub(crate) formers: Vec<FormerTracker>,
    pub(crate) mandates: MandateState,
    pub(crate) feed: RouteFeed,
    /// Whether every shard names this keeper's term. Earlier keepers can then no longer change one.
    pub(crate) installed: bool,
    pub(crate) servers: BTreeMap<ServerKey, ServerState>,
    fenced: bool,
    next_step_down: Time,
    sequence: u64,
    /// The expired servers as of the last step.
    expired: BTreeSet<ServerKey>,
}

/// The outputs of one keeper step.
#[derive(Debug, Default)]
pub(crate) struct KeeperStep {
    pub(crate) orders: Vec<(ServerKey, Order)>,
    pub(crate) mandate: Option<(Holder, Mandate)>,
    pub(crate) step_downs: Vec<Holder>,
    /// Whether a server has expired since the last step.
    pub(crate) newly_expired: bool,
}

impl Keeper {
    /// Creates the keeper of a term whose write was sent at `renewed_at`.
    pub(crate) fn new(
        node: NodeId,
        zone: ZoneName,
        record: TermRecord,
        renewed_at: Time,
        now: Time,
    ) -> Keeper {
        let others = record.former.iter().filter(|former| former.holder != record.keeper);
        let formers = others.map(|former| FormerTracker::new(*former, now)).collect();
        Keeper {
            node,
            zone,
            record,
            renewed_at,
            next_renewal: now,
            formers,
            mandates: MandateState::new(now),
            feed: RouteFeed::default(),
            installed: false,
            servers: BTreeMap::new(),
            fenced: true,
            next_step_down: now,
            sequence: 0,
            expired: BTreeSet::new(),
        }
    }

    /// Applies a later record of the same keeper, whose write was sent at `renewed_at`.
    pub(crate) fn renew(&mut self, now: Time, record: TermRecord, renewed_at: Time) {
        if record.number > self.record.number {
            let previous = self.record.number;
            let added = record.former.iter().filter(|former| former.before > previous);
            self.formers.extend(added.map(|former| FormerTracker::new(*former, now)));
            self.mandates = MandateState::new(now);
            self.feed.mark_dirty();
            for state in self.servers.values_mut() {
                state.schedule_now(now);
            }
        }
        if record.former.is_empty() {
            self.formers.clear();
        }
        self.record = record;
        self.renewed_at = renewed_at;
    }

    /// Marks the former holders whose host runs a later process.
    pub(crate) fn mark_replaced_formers(&mut self, now: Time, stewards: &Stewards) {
        for former in &mut self.formers {
            if stewards.is_replaced(former.record.holder) {
                former.mark_gone(now);
            }
        }
    }

    /// Records that a former holder has stepped down, with the leases that it may have renewed.
    pub(crate) fn mark_former_ended(
        &mut self,
        now: Time,
        holder: Holder,
        leases: &BTreeMap<ServerName, Time>,
    ) {
        for former in self.formers.iter_mut().filter(|former| former.record.holder == holder) {
            former.mark_ended(now, leases.clone());
        }
    }

    /// Raises the expiries to cover leases that this process renewed in an earlier role.
    pub(crate) fn extend_expiries(&mut self, leases: &BTreeMap<ServerName, Time>) {
        for (key, state) in &mut self.servers {
            if let Some(expiry) = leases.get(&key.name) {
                state.extend_expiry(*expiry);
            }
        }
    }

    /// Returns whether this process still holds the term by its own clock.
    pub(crate) fn has_authority(&self, now: Time) -> bool {
        now < self.renewed_at + self.record.hold()
    }

    /// Returns the time between two orders to a server.
    pub(crate) fn interval(&self) -> Duration {
        self.record.lease() / ORDERS_PER_LEASE
    }

    /// Updates the zone's servers and their desired slices from the document and the shards.
    pub(crate) fn update_servers(&mut self, now: Time, doc: &ServiceDoc, shards: &[ShardSlot]) {
        self.fenced = doc.keyed_rules().is_none_or(|rules| rules.fenced);
        let names_this_term = |slot: &ShardSlot| slot.keeper(self.zone) == Some(self.record.since);
        self.installed = !shards.is_empty() && shards.iter().all(names_this_term);
        let mut desired = desired_slices(doc, shards, self.zone);
        self.servers.retain(|key, _| desired.contains_key(key));
        for (key, state) in &mut self.servers {
            let set = desired.remove(key).unwrap_or_default();
            if state.desired != set {
                state.desired = set;
                state.schedule_now(now);
            }
        }
        // This process may have renewed the server's lease under an earlier term.
        let expiry = latest_end(now, self.record.lease());
        for (key, set) in desired {
            let mut state = ServerState::new(now, expiry, self.fenced);
            state.desired = set;
            self.servers.insert(key, state);
        }
    }

    /// Returns when the next step is due.
    pub(crate) fn next_deadline(&self, now: Time) -> Time {
        if !self.installed || !self.has_authority(now) {
            return Time::MAX;
        }
        let sends = self.servers.values().map(ServerState::next_send);
        let silent = self
            .servers
            .iter()
            .filter(|(key, state)| state.silent_since.is_some() && !self.expired.contains(key));
        let expiries = silent.map(|(key, _)| self.expires_at(*key));
        let mandate = self.record.deputy.map_or(Time::MAX, |_| self.mandates.next_send());
        let soonest = sends.chain(expiries).fold(Time::MAX, Time::min);
        soonest.min(mandate).max(now)
    }

    /// Runs the work that is due and returns the messages to send.
    pub(crate) fn step(&mut self, now: Time) -> KeeperStep {
        let mut step = KeeperStep::default();
        if !self.installed || !self.has_authority(now) {
            return step;
        }
        self.send_orders(now, &mut step);
        self.bar_silent_servers(now);
        self.send_mandate(now, &mut step);
        self.send_step_downs(now, &mut step);
        let expired = self.servers.keys().filter(|key| self.is_expired(now, **key));
        let expired: BTreeSet<ServerKey> = expired.copied().collect();
        step.newly_expired = expired != self.expired && !expired.is_subset(&self.expired);
        self.expired = expired;
        step
    }

    fn send_orders(&mut self, now: Time, step: &mut KeeperStep) {
        for (key, state) in &mut self.servers {
            if state.next_send() > now {
                continue;
            }
            self.sequence += 1;
            let header = OrderHeader {
                keeper: self.node,
                role: OrderRole::Keeper,
                term: self.record.number,
                sequence: self.sequence,
                lease: self.record.lease(),
            };
            step.orders.push((*key, state.next_order(now, header)));
        }
    }

    fn bar_silent_servers(&mut self, now: Time) {
        let interval = self.interval();
        for (key, state) in &self.servers {
            if state.silent_since.is_none() {
                self.mandates.unbar(key.name);
            } else if now + interval / BAR_MARGIN_DIVISOR >= state.latest_expiry() {
                self.mandates.bar(now, key.name);
            }
        }
    }

    fn send_mandate(&mut self, now: Time, step: &mut KeeperStep) {
        let Some(deputy) = self.record.deputy else {
            return;
        };
        if self.mandates.next_send() > now {
            return;
        }
        let silent = self.servers.iter().filter(|(_, state)| state.silent_since.is_some());
        let unreachable: Vec<ServerName> = silent.map(|(key, _)| key.name).collect();
        let authority = (self.renewed_at + self.record.hold()).since(now);
        let interval = self.interval();
        let lease = self.record.lease();
        let mandate = self.mandates.next_mandate(now, interval, authority, lease, unreachable);
        step.mandate = Some((deputy, mandate));
    }

    fn send_step_downs(&mut self, now: Time, step: &mut KeeperStep) {
        if now < self.next_step_down {
            return;
        }
        self.next_step_down = now + self.interval();
        let active = self.formers.iter().filter(|former| !former.has_ended());
        step.step_downs.extend(active.map(|former| former.record.holder));
    }

    /// Records a server's reply to an order, or its timeout if `reply` is `None`.
    ///
    /// Returns whether the server's known state may have changed.
    pub(crate) fn handle_reply(
        &mut self,
        now: Time,
        key: ServerKey,
        order: &Order,
        reply: Option<&OrderReply>,
    ) -> bool {
        let since = self.record.since;
        let Some(state) = self.servers.get_mut(&key) else {
            return false;
        };
        let before = (state.is_reachable(since), state.is_reconciled(), state.granted.len());
        let was_silent = state.silent_since.is_some();
        state.handle_reply(now, order, reply);
        if !was_silent && state.silent_since.is_some() {
            self.mandates.schedule_now(now);
        }
        let after = (state.is_reachable(since), state.is_reconciled(), state.granted.len());
        let changes = order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
        if !state.granted_uncertain && (changes || before != after) {
            self.feed.mark_dirty();
        }
        before != after || changes
    }

    /// Returns whether a server is silent and all its leases have certainly expired.
    pub(crate) fn is_expired(&self, now: Time, key: ServerKey) -> bool {
        let silent = self.servers.get(&key).is_some_and(|state| state.silent_since.is_some());
        silent && now >= self.expires_at(key)
    }

    /// Returns when every lease of a silent server has certainly expired, whoever renewed it.
    fn expires_at(&self, key: ServerKey) -> Time {
        let Some(state) = self.servers.get(&key) else {
            return Time::MAX;
        };
        let deputy = match self.record.deputy {
            None => Time::ZERO,
            Some(_) => self.mandates.latest_expiry(key.name).unwrap_or(Time::MAX),
        };
        let floor = state.term_floor();
        let formers = self.formers.iter().map(|former| former.latest_expiry(key.name, floor));
        formers.fold(state.latest_expiry().max(deputy), Time::max)
    }

    /// Returns whether a server certainly holds no slice besides its desired ones.
    pub(crate) fn has_released(&self, now: Time, key: ServerKey) -> bool {
        if self.is_expired(now, key) {
            return true;
        }
        let Some(state) = self.servers.get(&key) else {
            return false;
        };
        let other_orders_expire_at =
            self.formers.iter().map(FormerTracker::orders_expire_at).fold(Time::ZERO, Time::max);
        let acknowledged = state.accepted_term.is_some_and(|term| term >= self.record.since);
        acknowledged
            && state.is_reconciled()
            && !state.is_granting()
            && state.is_reply_final(other_orders_expire_at)
    }

    /// Returns whether every server has accepted this term and rejects orders of former holders.
    pub(crate) fn all_servers_at_term(&self) -> bool {
        let number = self.record.number;
        self.fenced && self.servers.values().all(|state| state.accepted_term == Some(number))
    }
}

/// Returns the slices that each of the zone's servers should hold, by the shards.
fn desired_slices(
    doc: &ServiceDoc,
    shards: &[ShardSlot],
    zone: ZoneName,
) -> BTreeMap<ServerKey, BTreeMap<SliceId, Token>> {
    let mut desired = BTreeMap::new();
    for server in doc.servers.iter().filter(|server| server.zone == zone) {
        desired.insert(ServerKey::of(server), BTreeMap::new());
    }
    for slot in shards {
        let Some(shard) = slot.shard() else { continue };
        for (slice, row) in shard.slices() {
            let in_zone = |index: Option<u16>| {
                let server = shard.servers.get(usize::from(index?));
                server.filter(|server| server.zone == zone)
            };
            if let Some(previous) = in_zone(row.previous_owner) {
                desired.entry(previous.key).or_default();
            }
            let Some(owner) = in_zone(row.owner) else { continue };
            let set = desired.entry(owner.key).or_default();
            if row.previous_owner.is_none() && !slot.may_lose_owner(slice, owner.key) {
                set.insert(slice, row.token);
            }
        }
    }
    desired
}
