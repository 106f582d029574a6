use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneState};
use bay_store::{Object, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{Revision, ServiceName, ZoneName};
use bay_wire::{Order, OrderReply, OrderRole};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::service_state::ServiceState;
use crate::shard::parse_shard_key;
use crate::stewards::Stewards;
use crate::store_call::StoreCall;
use crate::term_record::parse_term_key;
use crate::{
    CallId, Holder, OrderId, OwnerConfig, OwnerInput, OwnerOutput, ServerKey, Shard, StewardState,
    StewardView, TermRecord,
};

/// Time between two checks of all terms.
const TERM_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time between two publications of routes.
const PUBLISH_PERIOD: Duration = Duration::from_millis(10);

/// State machine for the ownership roles of one steward, for all keyed services and without I/O.
///
/// The roles are keeper, deputy and planner.
#[derive(Debug)]
pub struct Owner {
    pub(crate) config: OwnerConfig,
    pub(crate) rng: SmallRng,
    pub(crate) services: BTreeMap<ServiceName, ServiceState>,
    pub(crate) stewards: Stewards,
    pub(crate) stopping: bool,
    pub(crate) next_term_check: Time,
    /// The highest store revision observed so far. The first term of a zone and the first token of
    /// a new shard are numbered above it.
    pub(crate) highest_revision: Revision,
    zones: BTreeMap<ZoneName, (Revision, ZoneState)>,
    calls: HashMap<CallId, StoreCall>,
    orders: HashMap<OrderId, SentOrder>,
    next_id: u64,
    next_publish: Time,
}

/// An order in flight.
#[derive(Debug)]
struct SentOrder {
    service: ServiceName,
    zone: ZoneName,
    server: ServerKey,
    order: Order,
}

impl Owner {
    /// Creates an owner without documents, terms or shards.
    pub fn new(config: OwnerConfig, now: Time) -> Owner {
        let rng = SmallRng::seed_from_u64(config.seed);
        let mut owner = Owner {
            config,
            rng,
            services: BTreeMap::new(),
            stewards: Stewards::default(),
            stopping: false,
            next_term_check: now,
            highest_revision: Revision(0),
            zones: BTreeMap::new(),
            calls: HashMap::new(),
            orders: HashMap::new(),
            next_id: 0,
            next_publish: now,
        };
        owner.set_stewards(Vec::new());
        owner
    }

    /// Returns the identity of this process as a term holder.
    pub(crate) fn holder(&self) -> Holder {
        Holder { node: self.config.node, incarnation: self.config.incarnation }
    }

    /// Returns whether a stop was requested and every term of this process is handed over.
    pub fn is_stopped(&self) -> bool {
        let me = self.holder();
        let is_keeper = |service: &ServiceState| {
            let records = service.terms.values().filter_map(|slot| slot.record.as_ref());
            records.into_iter().any(|record| record.keeper == me)
        };
        self.stopping && !self.services.values().any(is_keeper)
    }

    /// Returns when the next [`OwnerInput::Tick`] is due; never earlier than `now`.
    pub fn next_deadline(&self, now: Time) -> Time {
        let mut next = self.next_term_check;
        for service in self.services.values() {
            for keeper in service.keepers.values() {
                next = next.min(keeper.next_deadline(now));
                if keeper.feed.is_dirty() {
                    next = next.min(self.next_publish);
                }
            }
            let deputies = service.deputies.values().map(|deputy| deputy.next_deadline());
            next = deputies.fold(next, Time::min);
        }
        next.max(now)
    }

    /// Applies one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, input: OwnerInput, out: &mut Vec<OwnerOutput>) {
        match input {
            OwnerInput::Tick => {}
            OwnerInput::Document { service, revision, doc } => {
                self.apply_document(now, service, revision, doc, out);
            }
            OwnerInput::Zone { zone, revision, state } => {
                self.apply_zone(now, zone, revision, state)
            }
            OwnerInput::Stewards(views) => self.set_stewards(views),
            OwnerInput::StoreObject(object) => self.apply_object(now, &object, out),
            OwnerInput::Store { id, result } => self.handle_store_reply(now, id, result, out),
            OwnerInput::Order { id, reply } => self.handle_order_reply(now, id, reply, out),
            OwnerInput::PeerMessage { from, message } => {
                self.handle_peer_message(now, from, message, out)
            }
            OwnerInput::Rates { service, gate, total, keys, slices } => {
                if let Some(service) = self.services.get_mut(&service) {
                    service.rates.record_report(now, gate, total, keys, slices);
                }
            }
            OwnerInput::Stop => {
                self.stopping = true;
                self.next_term_check = now;
            }
        }
        self.step(now, out);
    }

    fn step(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        if now >= self.next_term_check {
            self.next_term_check = now + TERM_CHECK_PERIOD;
            self.check_terms(now, out);
        }
        self.send_orders(now, out);
        self.write_shards(now, out);
        self.publish_routes(now, out);
    }

    fn apply_document(
        &mut self,
        now: Time,
        name: ServiceName,
        revision: Revision,
        doc: Option<ServiceDoc>,
        out: &mut Vec<OwnerOutput>,
    ) {
        self.highest_revision = self.highest_revision.max(revision);
        let service = self.services.entry(name).or_insert_with(|| ServiceState::new(name));
        if revision <= service.revision {
            out.push(OwnerOutput::Count("own.document.stale"));
            return;
        }
        service.revision = revision;
        if !service.set_doc(now, doc) {
            out.push(OwnerOutput::Count("own.document.slices-changed"));
        }
        self.next_term_check = now;
    }

    fn apply_zone(&mut self, now: Time, zone: ZoneName, revision: Revision, state: ZoneState) {
        let known = self.zones.get(&zone).map(|(known, _)| *known);
        if known.is_none_or(|known| revision > known) {
            self.zones.insert(zone, (revision, state));
            for service in self.services.values_mut() {
                service.dirty = true;
                service.planner.schedule_now(now);
            }
        }
    }

    /// Returns the zones that operators have taken out of service.
    pub(crate) fn zones_out(&self) -> BTreeSet<ZoneName> {
        let zones_out = self.zones.iter().filter(|(_, (_, state))| *state == ZoneState::Out);
        zones_out.map(|(zone, _)| *zone).collect()
    }

    fn set_stewards(&mut self, mut views: Vec<StewardView>) {
        let me = self.holder();
        let own = views.iter().find(|view| view.holder.node == me.node);
        // Membership may not list this steward yet; it counts as a candidate until then.
        let candidate = own.is_none_or(|view| view.candidate);
        views.retain(|view| view.holder.node != me.node);
        let state = if self.stopping { StewardState::Leaving } else { StewardState::Alive };
        views.push(StewardView { holder: me, zone: self.config.zone, state, candidate });
        self.stewards.set(views);
    }

    /// Applies a term or shard object from the store if its revision is newer than the known one.
    pub(crate) fn apply_object(&mut self, now: Time, object: &Object, out: &mut Vec<OwnerOutput>) {
        self.highest_revision = self.highest_revision.max(object.revision);
        if let Some((service, index)) = parse_shard_key(object.key.as_str()) {
            let known = self.services.get(&service);
            let slot = known.and_then(|service| service.shards.get(index as usize));
            if slot.is_some_and(|slot| object.revision <= slot.revision) {
                return;
            }
            match Shard::parse(object) {
                Some(shard) => self.apply_shard(now, service, index, object.revision, shard, out),
                None => out.push(OwnerOutput::Count("own.shard.unreadable")),
            }
        } else if let Some((service, zone)) = parse_term_key(object.key.as_str()) {
            match TermRecord::parse(object) {
                Some(record) => self.apply_term(now, service, zone, object.revision, record, out),
                None => out.push(OwnerOutput::Count("own.term.unreadable")),
            }
        }
    }

    /// Emits a store call and records it as in flight.
    pub(crate) fn call_store(
        &mut self,
        call: StoreCall,
        request: StoreRequest,
        out: &mut Vec<OwnerOutput>,
    ) {
        self.next_id += 1;
        let id = CallId(self.next_id);
        self.calls.insert(id, call);
        out.push(OwnerOutput::Store { id, request });
    }

    /// Returns a random number that identifies a term write.
    pub(crate) fn next_nonce(&mut self) -> u64 {
        self.rng.random()
    }

    fn handle_store_reply(
        &mut self,
        now: Time,
        id: CallId,
        result: StoreResult,
        out: &mut Vec<OwnerOutput>,
    ) {
        match self.calls.remove(&id) {
            Some(StoreCall::ListTerm { service, zone }) => {
                self.handle_term_list(now, service, zone, result, out);
            }
            Some(StoreCall::PutTerm { service, zone, nonce, record }) => {
                self.handle_term_write(now, (service, zone), nonce, *record, result, out);
            }
            Some(StoreCall::GetShard { service, index }) => {
                self.handle_shard_read(now, service, index, result, out);
            }
            Some(StoreCall::PutShard { service, index, shard }) => {
                self.handle_shard_write(now, service, index, *shard, result, out);
            }
            None => {}
        }
    }

    fn send_orders(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        let mut sent = Vec::new();
        let mut messages = Vec::new();
        for service in self.services.values_mut() {
            let name = service.name;
            for (zone, keeper) in &mut service.keepers {
                let step = keeper.step(now);
                service.dirty |= step.newly_expired;
                if step.newly_expired {
                    out.push(OwnerOutput::Count("own.server.counted-out"));
                }
                let orders = step.orders.into_iter();
                sent.extend(orders.map(|(server, order)| (name, *zone, server, order)));
                let number = keeper.record.number;
                messages.extend(step.mandate.map(|(to, mandate)| {
                    (to, name, *zone, number, crate::OwnerMessageBody::Mandate(mandate))
                }));
                let step_downs = step.step_downs.into_iter();
                messages.extend(
                    step_downs
                        .map(|to| (to, name, *zone, number, crate::OwnerMessageBody::StepDown)),
                );
            }
            let zones: Vec<ZoneName> = service.deputies.keys().copied().collect();
            for zone in zones {
                let due = service.deputies.get(&zone).is_some_and(|d| d.next_deadline() <= now);
                if !due {
                    continue;
                }
                let servers = service.servers_in(zone);
                let Some(deputy) = service.deputies.get_mut(&zone) else { continue };
                let orders = deputy.due_orders(now, &servers).into_iter();
                sent.extend(orders.map(|(server, order)| (name, zone, server, order)));
            }
        }
        for (to, service, zone, term, body) in messages {
            self.send_message(to, service, zone, term, body, out);
        }
        for (service, zone, server, order) in sent {
            self.next_id += 1;
            let id = OrderId(self.next_id);
            out.push(OwnerOutput::Order { id, to: server.address, order: order.clone() });
            self.orders.insert(id, SentOrder { service, zone, server, order });
        }
    }

    fn handle_order_reply(
        &mut self,
        now: Time,
        id: OrderId,
        reply: Option<OrderReply>,
        out: &mut Vec<OwnerOutput>,
    ) {
        let Some(sent) = self.orders.remove(&id) else {
            return;
        };
        if reply.is_none() {
            out.push(OwnerOutput::Count("own.order.unanswered"));
        }
        let Some(service) = self.services.get_mut(&sent.service) else {
            return;
        };
        let (server, order) = (sent.server, &sent.order);
        match order.role {
            OrderRole::Keeper => {
                let keeper = service.keepers.get_mut(&sent.zone);
                let keeper = keeper.filter(|keeper| keeper.record.since <= order.term);
                if let Some(keeper) = keeper {
                    service.dirty |= keeper.handle_reply(now, server, order, reply.as_ref());
                }
            }
            OrderRole::Deputy => {
                let deputy = service.deputies.get_mut(&sent.zone);
                if let Some(deputy) = deputy.filter(|deputy| deputy.term == order.term) {
                    deputy.handle_reply(now, server, order, reply.as_ref());
                }
            }
        }
    }

    fn publish_routes(&mut self, now: Time, out: &mut Vec<OwnerOutput>) {
        if now < self.next_publish {
            return;
        }
        self.next_publish = now + PUBLISH_PERIOD;
        for service in self.services.values_mut() {
            for (zone, keeper) in &mut service.keepers {
                if keeper.feed.is_dirty() && keeper.installed {
                    let number = keeper.record.number;
                    let scope = (service.name, *zone);
                    let item = keeper.feed.publish(scope, number, &keeper.servers, &service.shards);
                    out.extend(item);
                }
            }
        }
    }
}
