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

/// A silent server is barred at the deputy this part of an interval before its lease ends, so that
/// the deputy has had time to renew it.
const BAR_MARGIN_DIVISOR: u32 = 4;

/// Keeps the leases of one service's servers in one zone.
#[derive(Debug)]
pub(crate) struct Keeper {
    node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) record: TermRecord,
    /// When the last renewal of the term that is known to have taken effect was sent.
    pub(crate) renewed_at: Time,
    pub(crate) next_renewal: Time,
    pub(crate) formers: Vec<FormerTracker>,
    pub(crate) mandates: MandateState,
    pub(crate) feed: RouteFeed,
    /// Whether the shards name this keeper, so that earlier ones can no longer change them.
    pub(crate) installed: bool,
    pub(crate) servers: BTreeMap<ServerKey, ServerState>,
    fenced: bool,
    next_step_down: Time,
    sequence: u64,
    /// The servers that were counted out when the keeper last looked.
    expired: BTreeSet<ServerKey>,
}

/// What a keeper sends.
#[derive(Debug, Default)]
pub(crate) struct KeeperStep {
    pub(crate) orders: Vec<(ServerKey, Order)>,
    pub(crate) mandate: Option<(Holder, Mandate)>,
    pub(crate) step_downs: Vec<Holder>,
    /// Whether a server was counted out.
    pub(crate) newly_expired: bool,
}

impl Keeper {
    /// The keeper of a term whose write was sent at `renewed`.
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

    /// Takes over a later record of the same keeper, whose write was sent at `renewed`.
    pub(crate) fn renew(&mut self, now: Time, record: TermRecord, renewed_at: Time) {
        if record.number > self.record.number {
            let before = self.record.number;
            let added = record.former.iter().filter(|former| former.before > before);
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

    /// Notes which earlier holders' processes are gone.
    pub(crate) fn mark_replaced_formers(&mut self, now: Time, stewards: &Stewards) {
        for former in &mut self.formers {
            if stewards.is_replaced(former.record.holder) {
                former.mark_gone(now);
            }
        }
    }

    /// Takes the word of an earlier holder that it has ended its part.
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

    /// Takes account of leases that this process extended in an earlier part.
    pub(crate) fn extend_expiries(&mut self, leases: &BTreeMap<ServerName, Time>) {
        for (key, state) in &mut self.servers {
            if let Some(bound) = leases.get(&key.name) {
                state.extend_expiry(*bound);
            }
        }
    }

    /// Whether the term still stands by this process's own clock.
    pub(crate) fn has_authority(&self, now: Time) -> bool {
        now < self.renewed_at + self.record.hold()
    }

    /// The pause between two orders to a server.
    pub(crate) fn interval(&self) -> Duration {
        self.record.lease() / ORDERS_PER_LEASE
    }

    /// Takes over what the document and the shards say of the zone's servers.
    pub(crate) fn update_servers(&mut self, now: Time, doc: &ServiceDoc, shards: &[ShardSlot]) {
        self.fenced = doc.keyed().is_none_or(|rules| rules.fenced);
        let named = |slot: &ShardSlot| slot.keeper(self.zone) == Some(self.record.since);
        self.installed = !shards.is_empty() && shards.iter().all(named);
        let mut desired = desired_slices(doc, shards, self.zone);
        self.servers.retain(|key, _| desired.contains_key(key));
        for (key, state) in &mut self.servers {
            let set = desired.remove(key).unwrap_or_default();
            if state.desired != set {
                state.desired = set;
                state.schedule_now(now);
            }
        }
        // This process may have renewed the server under an earlier term.
        let bound = latest_end(now, self.record.lease());
        for (key, set) in desired {
            let mut state = ServerState::new(now, bound, self.fenced);
            state.desired = set;
            self.servers.insert(key, state);
        }
    }

    /// When the keeper next has something to do.
    pub(crate) fn next_deadline(&self, now: Time) -> Time {
        if !self.installed || !self.has_authority(now) {
            return Time::MAX;
        }
        let sends = self.servers.values().map(ServerState::next_send);
        let silent = self
            .servers
            .iter()
            .filter(|(key, state)| state.silent_since.is_some() && !self.expired.contains(key));
        let outs = silent.map(|(key, _)| self.expires_at(*key));
        let mandate = self.record.deputy.map_or(Time::MAX, |_| self.mandates.next_send());
        let soonest = sends.chain(outs).fold(Time::MAX, Time::min);
        soonest.min(mandate).max(now)
    }

    /// Does what is due.
    pub(crate) fn step(&mut self, now: Time) -> KeeperStep {
        let mut step = KeeperStep::default();
        if !self.installed || !self.has_authority(now) {
            return step;
        }
        self.send_orders(now, &mut step);
        self.bar_silent_servers(now);
        self.send_mandate(now, &mut step);
        self.send_step_downs(now, &mut step);
        let out = self.servers.keys().filter(|key| self.is_expired(now, **key));
        let out: BTreeSet<ServerKey> = out.copied().collect();
        step.newly_expired = out != self.expired && !out.is_subset(&self.expired);
        self.expired = out;
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
        let asked = self.formers.iter().filter(|former| !former.has_ended());
        step.step_downs.extend(asked.map(|former| former.record.holder));
    }

    /// Takes a server's answer to an order, or the lack of one; returns whether what is known of
    /// the server changed.
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
        let silent = state.silent_since.is_some();
        state.handle_reply(now, order, reply);
        if !silent && state.silent_since.is_some() {
            self.mandates.schedule_now(now);
        }
        let after = (state.is_reachable(since), state.is_reconciled(), state.granted.len());
        let changes = order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
        if !state.granted_uncertain && (changes || before != after) {
            self.feed.mark_dirty();
        }
        before != after || changes
    }

    /// Whether no lease of a silent server can still run.
    pub(crate) fn is_expired(&self, now: Time, key: ServerKey) -> bool {
        let silent = self.servers.get(&key).is_some_and(|state| state.silent_since.is_some());
        silent && now >= self.expires_at(key)
    }

    /// The moment from which no lease of a silent server can still run.
    fn expires_at(&self, key: ServerKey) -> Time {
        let Some(state) = self.servers.get(&key) else {
            return Time::MAX;
        };
        let deputy = match self.record.deputy {
            None => Time::ZERO,
            Some(_) => self.mandates.latest_expiry(key.name).unwrap_or(Time::MAX),
        };
        let refused = state.rejects_terms_below();
        let formers = self.formers.iter().map(|former| former.latest_expiry(key.name, refused));
        formers.fold(state.latest_expiry().max(deputy), Time::max)
    }

    /// Whether a server is known to have nothing but what it should have.
    pub(crate) fn has_released(&self, now: Time, key: ServerKey) -> bool {
        if self.is_expired(now, key) {
            return true;
        }
        let Some(state) = self.servers.get(&key) else {
            return false;
        };
        let others =
            self.formers.iter().map(FormerTracker::orders_expire_at).fold(Time::ZERO, Time::max);
        let acknowledged = state.accepted_term.is_some_and(|term| term >= self.record.since);
        acknowledged
            && state.is_reconciled()
            && !state.is_granting()
            && state.is_reply_final(others)
    }

    /// Whether no server can still take orders of earlier holders.
    pub(crate) fn all_servers_at_term(&self) -> bool {
        let number = self.record.number;
        self.fenced && self.servers.values().all(|state| state.accepted_term == Some(number))
    }
}

/// The slices that each of the zone's servers should have.
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
            if let Some(old) = in_zone(row.previous_owner) {
                desired.entry(old.key).or_default();
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
