use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_time::Time;
use bay_types::{NodeId, ServerName, SliceId, Token, ZoneName};
use bay_wire::{Order, OrderReply, OrderRole};

use crate::bounds::latest_end;
use crate::former::Former;
use crate::kept::{Kept, ORDERS_A_LEASE, OrderFrame};
use crate::mandate_state::MandateState;
use crate::route_feed::RouteFeed;
use crate::shard_slot::ShardSlot;
use crate::stewards::Stewards;
use crate::{Holder, Mandate, ServerKey, TermRecord};

/// A silent server is barred at the deputy this part of an interval before its lease ends, so that
/// the deputy has had time to renew it.
const BAR_MARGIN: u32 = 4;

/// Keeps the leases of one service's servers in one zone.
#[derive(Debug)]
pub(crate) struct Keeper {
    node: NodeId,
    pub(crate) zone: ZoneName,
    pub(crate) record: TermRecord,
    /// When the last renewal of the term that is known to have taken effect was sent.
    pub(crate) renewed: Time,
    pub(crate) next_renewal: Time,
    pub(crate) formers: Vec<Former>,
    pub(crate) mandates: MandateState,
    pub(crate) feed: RouteFeed,
    /// Whether the shards name this keeper, so that earlier ones can no longer change them.
    pub(crate) installed: bool,
    pub(crate) servers: BTreeMap<ServerKey, Kept>,
    fenced: bool,
    next_quit: Time,
    sequence: u64,
    /// The servers that were counted out when the keeper last looked.
    out: BTreeSet<ServerKey>,
}

/// What a keeper sends.
#[derive(Debug, Default)]
pub(crate) struct KeeperStep {
    pub(crate) orders: Vec<(ServerKey, Order)>,
    pub(crate) mandate: Option<(Holder, Mandate)>,
    pub(crate) quits: Vec<Holder>,
    /// Whether a server was counted out.
    pub(crate) counted_out: bool,
}

impl Keeper {
    /// The keeper of a term whose write was sent at `renewed`.
    pub(crate) fn new(
        node: NodeId,
        zone: ZoneName,
        record: TermRecord,
        renewed: Time,
        now: Time,
    ) -> Keeper {
        let others = record.former.iter().filter(|former| former.holder != record.keeper);
        let formers = others.map(|former| Former::new(*former, now)).collect();
        Keeper {
            node,
            zone,
            record,
            renewed,
            next_renewal: now,
            formers,
            mandates: MandateState::new(now),
            feed: RouteFeed::default(),
            installed: false,
            servers: BTreeMap::new(),
            fenced: true,
            next_quit: now,
            sequence: 0,
            out: BTreeSet::new(),
        }
    }

    /// Takes over a later record of the same keeper, whose write was sent at `renewed`.
    pub(crate) fn renew(&mut self, now: Time, record: TermRecord, renewed: Time) {
        if record.number > self.record.number {
            let before = self.record.number;
            let added = record.former.iter().filter(|former| former.before > before);
            self.formers.extend(added.map(|former| Former::new(*former, now)));
            self.mandates = MandateState::new(now);
            self.feed.mark();
            for kept in self.servers.values_mut() {
                kept.hurry(now);
            }
        }
        if record.former.is_empty() {
            self.formers.clear();
        }
        self.record = record;
        self.renewed = renewed;
    }

    /// Notes which earlier holders' processes are gone.
    pub(crate) fn formers_replaced(&mut self, now: Time, stewards: &Stewards) {
        for former in &mut self.formers {
            if stewards.replaced(former.record.holder) {
                former.gone(now);
            }
        }
    }

    /// Takes the word of an earlier holder that it has ended its part.
    pub(crate) fn former_ended(
        &mut self,
        now: Time,
        holder: Holder,
        leases: &BTreeMap<ServerName, Time>,
    ) {
        for former in self.formers.iter_mut().filter(|former| former.record.holder == holder) {
            former.end(now, leases.clone());
        }
    }

    /// Takes account of leases that this process extended in an earlier part.
    pub(crate) fn inherit(&mut self, leases: &BTreeMap<ServerName, Time>) {
        for (key, kept) in &mut self.servers {
            if let Some(bound) = leases.get(&key.name) {
                kept.raise_bound(*bound);
            }
        }
    }

    /// Whether the term still stands by this process's own clock.
    pub(crate) fn has_authority(&self, now: Time) -> bool {
        now < self.renewed + self.record.hold()
    }

    /// The pause between two orders to a server.
    pub(crate) fn interval(&self) -> Duration {
        self.record.lease() / ORDERS_A_LEASE
    }

    /// Takes over what the document and the shards say of the zone's servers.
    pub(crate) fn set_view(&mut self, now: Time, doc: &ServiceDoc, shards: &[ShardSlot]) {
        self.fenced = doc.keyed().is_none_or(|rules| rules.fenced);
        let named = |slot: &ShardSlot| slot.keeper(self.zone) == Some(self.record.since);
        self.installed = !shards.is_empty() && shards.iter().all(named);
        let mut wanted = wanted_sets(doc, shards, self.zone);
        self.servers.retain(|key, _| wanted.contains_key(key));
        for (key, kept) in &mut self.servers {
            let set = wanted.remove(key).unwrap_or_default();
            if kept.wanted != set {
                kept.wanted = set;
                kept.hurry(now);
            }
        }
        // This process may have renewed the server under an earlier term.
        let bound = latest_end(now, self.record.lease());
        for (key, set) in wanted {
            let mut kept = Kept::new(now, bound, self.fenced);
            kept.wanted = set;
            self.servers.insert(key, kept);
        }
    }

    /// When the keeper next has something to do.
    pub(crate) fn next_deadline(&self, now: Time) -> Time {
        if !self.installed || !self.has_authority(now) {
            return Time::MAX;
        }
        let sends = self.servers.values().map(Kept::next_send);
        let silent = self
            .servers
            .iter()
            .filter(|(key, kept)| kept.silent_since.is_some() && !self.out.contains(key));
        let outs = silent.map(|(key, _)| self.out_at(*key));
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
        self.bar_silent(now);
        self.send_mandate(now, &mut step);
        self.send_quits(now, &mut step);
        let out = self.servers.keys().filter(|key| self.is_out(now, **key));
        let out: BTreeSet<ServerKey> = out.copied().collect();
        step.counted_out = out != self.out && !out.is_subset(&self.out);
        self.out = out;
        step
    }

    fn send_orders(&mut self, now: Time, step: &mut KeeperStep) {
        for (key, kept) in &mut self.servers {
            if kept.next_send() > now {
                continue;
            }
            self.sequence += 1;
            let frame = OrderFrame {
                keeper: self.node,
                role: OrderRole::Keeper,
                term: self.record.number,
                sequence: self.sequence,
                lease: self.record.lease(),
            };
            step.orders.push((*key, kept.order(now, frame)));
        }
    }

    fn bar_silent(&mut self, now: Time) {
        let interval = self.interval();
        for (key, kept) in &self.servers {
            if kept.silent_since.is_none() {
                self.mandates.allow(key.name);
            } else if now + interval / BAR_MARGIN >= kept.lease_bound() {
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
        let silent = self.servers.iter().filter(|(_, kept)| kept.silent_since.is_some());
        let unreachable: Vec<ServerName> = silent.map(|(key, _)| key.name).collect();
        let authority = (self.renewed + self.record.hold()).since(now);
        let interval = self.interval();
        let lease = self.record.lease();
        let mandate = self.mandates.mandate(now, interval, authority, lease, unreachable);
        step.mandate = Some((deputy, mandate));
    }

    fn send_quits(&mut self, now: Time, step: &mut KeeperStep) {
        if now < self.next_quit {
            return;
        }
        self.next_quit = now + self.interval();
        let asked = self.formers.iter().filter(|former| !former.has_ended());
        step.quits.extend(asked.map(|former| former.record.holder));
    }

    /// Takes a server's answer to an order, or the lack of one; returns whether what is known of
    /// the server changed.
    pub(crate) fn answered(
        &mut self,
        now: Time,
        key: ServerKey,
        order: &Order,
        reply: Option<&OrderReply>,
    ) -> bool {
        let since = self.record.since;
        let Some(kept) = self.servers.get_mut(&key) else {
            return false;
        };
        let before = (kept.reached(since), kept.settled(), kept.granted.len());
        let silent = kept.silent_since.is_some();
        kept.answered(now, order, reply);
        if !silent && kept.silent_since.is_some() {
            self.mandates.hurry(now);
        }
        let after = (kept.reached(since), kept.settled(), kept.granted.len());
        let changes = order.replace || !order.grant.is_empty() || !order.revoke.is_empty();
        if !kept.unsure && (changes || before != after) {
            self.feed.mark();
        }
        before != after || changes
    }

    /// Whether no lease of a silent server can still run.
    pub(crate) fn is_out(&self, now: Time, key: ServerKey) -> bool {
        let silent = self.servers.get(&key).is_some_and(|kept| kept.silent_since.is_some());
        silent && now >= self.out_at(key)
    }

    /// The moment from which no lease of a silent server can still run.
    fn out_at(&self, key: ServerKey) -> Time {
        let Some(kept) = self.servers.get(&key) else {
            return Time::MAX;
        };
        let deputy = match self.record.deputy {
            None => Time::ZERO,
            Some(_) => self.mandates.lease_bound(key.name).unwrap_or(Time::MAX),
        };
        let refused = kept.refuses_before();
        let formers = self.formers.iter().map(|former| former.lease_bound(key.name, refused));
        formers.fold(kept.lease_bound().max(deputy), Time::max)
    }

    /// Whether a server is known to have nothing but what it should have.
    pub(crate) fn has_let_go(&self, now: Time, key: ServerKey) -> bool {
        if self.is_out(now, key) {
            return true;
        }
        let Some(kept) = self.servers.get(&key) else {
            return false;
        };
        let others = self.formers.iter().map(Former::quiet_at).fold(Time::ZERO, Time::max);
        let acknowledged = kept.taken.is_some_and(|term| term >= self.record.since);
        acknowledged && kept.settled() && !kept.granting() && kept.quiet(others)
    }

    /// Whether no server can still take orders of earlier holders.
    pub(crate) fn all_fenced(&self) -> bool {
        let number = self.record.number;
        self.fenced && self.servers.values().all(|kept| kept.taken == Some(number))
    }
}

/// The slices that each of the zone's servers should have.
fn wanted_sets(
    doc: &ServiceDoc,
    shards: &[ShardSlot],
    zone: ZoneName,
) -> BTreeMap<ServerKey, BTreeMap<SliceId, Token>> {
    let mut wanted = BTreeMap::new();
    for server in doc.servers.iter().filter(|server| server.zone == zone) {
        wanted.insert(ServerKey::of(server), BTreeMap::new());
    }
    for slot in shards {
        let Some(shard) = slot.shard() else { continue };
        for (slice, row) in shard.slices() {
            let in_zone = |index: Option<u16>| {
                let server = shard.servers.get(usize::from(index?));
                server.filter(|server| server.zone == zone)
            };
            if let Some(old) = in_zone(row.previous_owner) {
                wanted.entry(old.key).or_default();
            }
            let Some(owner) = in_zone(row.owner) else { continue };
            let set = wanted.entry(owner.key).or_default();
            if row.previous_owner.is_none() && !slot.may_be_lost(slice, owner.key) {
                set.insert(slice, row.token);
            }
        }
    }
    wanted
}
