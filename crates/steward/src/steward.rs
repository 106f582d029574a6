use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_own::{Assignment, AssignmentRow, rendezvous_owner};
use bay_store::{Expect, Object, ObjectKey, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{NodeId, Revision, ServerName, ServiceName, SliceId, Term, Token, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion, LinkMessage, Order, OrderReply, encode};

use crate::keeper::Keeper;
use crate::{Input, LinkId, OrderId, Output, StoreCallId};

/// Pause between two readings of the store.
const POLL: Duration = Duration::from_millis(200);

/// What a steward is told at its start.
#[derive(Debug, Clone)]
pub struct StewardConfig {
    /// The steward's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seeds the steward's random choices.
    pub seed: u64,
}

/// Plans assignments, keeps leases and spreads configuration and maps.
#[derive(Debug)]
pub struct Steward {
    config: StewardConfig,
    next_poll: Time,
    next_id: u64,
    calls: HashMap<StoreCallId, Call>,
    orders: HashMap<OrderId, (ServiceName, ZoneName, ServerName, Order)>,
    services: BTreeMap<ServiceName, Service>,
    items: BTreeMap<ItemKey, Item>,
    links: Vec<LinkId>,
}

#[derive(Debug)]
struct Service {
    doc: ServiceDoc,
    assignment: Option<Assignment>,
    keepers: BTreeMap<ZoneName, Keeper>,
}

#[derive(Debug, Clone)]
enum Call {
    Documents,
    Zones,
    Assignments,
    Terms,
    TakeTerm(ServiceName, ZoneName),
    Plan,
}

impl Steward {
    /// A steward that knows nothing yet.
    pub fn new(config: StewardConfig, now: Time) -> Steward {
        Steward {
            config,
            next_poll: now,
            next_id: 0,
            calls: HashMap::new(),
            orders: HashMap::new(),
            services: BTreeMap::new(),
            items: BTreeMap::new(),
            links: Vec::new(),
        }
    }

    /// The time of the next [`Input::Tick`].
    pub fn next_deadline(&self) -> Time {
        let keepers = self.services.values().flat_map(|service| service.keepers.values());
        keepers.map(Keeper::next_deadline).fold(self.next_poll, Time::min)
    }

    /// Takes one input and appends what is to be done.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => self.tick(now, out),
            Input::Store { id, result } => self.store_answer(now, id, result, out),
            Input::Order { id, reply } => self.order_answer(id, reply, out),
            Input::Link { link, message } => self.link_message(link, message, out),
            Input::LinkClosed { link } => self.links.retain(|other| *other != link),
            Input::Datagram { .. } | Input::Stop => {}
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if now >= self.next_poll {
            self.next_poll = now + POLL;
            self.list(Call::Documents, ObjectKey::SERVICES, out);
            self.list(Call::Zones, ObjectKey::ZONES, out);
            self.list(Call::Assignments, ObjectKey::ASSIGNMENTS, out);
            self.list(Call::Terms, ObjectKey::TERMS, out);
        }
        self.renew(now, out);
    }

    fn renew(&mut self, now: Time, out: &mut Vec<Output>) {
        for (name, service) in &mut self.services {
            for (zone, keeper) in &mut service.keepers {
                for (server, to, order) in keeper.renew(now, &service.doc) {
                    self.next_id += 1;
                    let id = OrderId(self.next_id);
                    self.orders.insert(id, (*name, *zone, server, order.clone()));
                    out.push(Output::Order { id, to, order });
                }
            }
        }
    }

    fn list(&mut self, call: Call, prefix: &str, out: &mut Vec<Output>) {
        self.call(call, StoreRequest::List { prefix: prefix.to_owned() }, out);
    }

    fn call(&mut self, call: Call, request: StoreRequest, out: &mut Vec<Output>) {
        self.next_id += 1;
        let id = StoreCallId(self.next_id);
        self.calls.insert(id, call);
        out.push(Output::Store { id, request });
    }

    fn store_answer(
        &mut self,
        now: Time,
        id: StoreCallId,
        result: StoreResult,
        out: &mut Vec<Output>,
    ) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match (call, result) {
            (Call::Documents, Ok(StoreReply::Objects(body))) => self.documents(body.objects, out),
            (Call::Zones, Ok(StoreReply::Objects(body))) => self.zones(body.objects, out),
            (Call::Assignments, Ok(StoreReply::Objects(body))) => {
                self.assignments(body.objects, out);
            }
            (Call::Terms, Ok(StoreReply::Objects(body))) => self.terms(&body.objects, out),
            (Call::TakeTerm(service, zone), Ok(StoreReply::Written(revision))) => {
                self.start_term(now, service, zone, revision);
            }
            _ => {}
        }
    }

    fn documents(&mut self, objects: Vec<Object>, out: &mut Vec<Output>) {
        for object in objects {
            let Ok(doc) = ServiceDoc::parse(object.key.as_str(), object.body.as_bytes()) else {
                continue;
            };
            self.publish(ItemKey::Document(doc.name), object.revision, object.body, out);
            match self.services.get_mut(&doc.name) {
                Some(service) => service.doc = doc,
                None => {
                    let keepers = BTreeMap::new();
                    self.services.insert(doc.name, Service { doc, assignment: None, keepers });
                }
            }
        }
    }

    fn zones(&mut self, objects: Vec<Object>, out: &mut Vec<Output>) {
        for object in objects {
            let name = object.key.as_str().trim_start_matches(ObjectKey::ZONES);
            if let Ok(zone) = ZoneName::new(name) {
                self.publish(ItemKey::Zone(zone), object.revision, object.body, out);
            }
        }
    }

    fn assignments(&mut self, objects: Vec<Object>, out: &mut Vec<Output>) {
        for object in objects {
            let path = object.key.as_str().trim_start_matches(ObjectKey::ASSIGNMENTS);
            let name = path.split('/').next().and_then(|name| ServiceName::new(name).ok());
            let Some(service) = name.and_then(|name| self.services.get_mut(&name)) else {
                continue;
            };
            let Ok(assignment) = serde_json::from_str::<Assignment>(&object.body) else {
                continue;
            };
            for keeper in service.keepers.values_mut() {
                keeper.set_assignment(&service.doc, &assignment);
            }
            service.assignment = Some(assignment);
        }
        self.plan(out);
    }

    fn plan(&mut self, out: &mut Vec<Output>) {
        let mut puts = Vec::new();
        for (name, service) in &self.services {
            let Some(rules) = service.doc.keyed() else {
                continue;
            };
            if service.assignment.is_some() {
                continue;
            }
            let rows = (0..rules.layout.ranges()).filter_map(|index| {
                let slice = SliceId(index);
                let servers = service.doc.servers.iter().map(|server| (server.name, server.weight));
                let owner = rendezvous_owner(slice, servers)?;
                Some(AssignmentRow { slice, token: Token(1), owner })
            });
            let assignment = Assignment { nonce: self.config.seed, rows: rows.collect() };
            let Ok(body) = serde_json::to_string(&assignment) else {
                continue;
            };
            let key = ObjectKey::assignment(*name, 0);
            puts.push(StoreRequest::Put { key, body, expect: Expect::Absent });
        }
        for put in puts {
            self.call(Call::Plan, put, out);
        }
    }

    fn terms(&mut self, objects: &[Object], out: &mut Vec<Output>) {
        let mut wanted = Vec::new();
        for (name, service) in &self.services {
            if service.doc.keyed().is_none() {
                continue;
            }
            for server in &service.doc.servers {
                let key = ObjectKey::term(*name, server.zone);
                let held = objects.iter().any(|object| object.key == key);
                let pending = wanted.contains(&(*name, server.zone));
                if !held && !pending && server.zone != self.config.zone {
                    wanted.push((*name, server.zone));
                }
            }
        }
        for (service, zone) in wanted {
            let key = ObjectKey::term(service, zone);
            let body = self.config.node.to_string();
            let put = StoreRequest::Put { key, body, expect: Expect::Absent };
            self.call(Call::TakeTerm(service, zone), put, out);
        }
    }

    fn start_term(&mut self, now: Time, name: ServiceName, zone: ZoneName, revision: Revision) {
        let Some(service) = self.services.get_mut(&name) else {
            return;
        };
        let mut keeper = Keeper::new(self.config.node, Term(revision.0), zone, now);
        if let Some(assignment) = &service.assignment {
            keeper.set_assignment(&service.doc, assignment);
        }
        service.keepers.insert(zone, keeper);
    }

    fn order_answer(&mut self, id: OrderId, reply: Option<OrderReply>, out: &mut Vec<Output>) {
        let Some((service, zone, server, order)) = self.orders.remove(&id) else {
            return;
        };
        let Some(reply) = reply else { return };
        let keepers = self.services.get_mut(&service).map(|service| &mut service.keepers);
        let Some(keeper) = keepers.and_then(|keepers| keepers.get_mut(&zone)) else {
            return;
        };
        if !keeper.acknowledge(server, &order, &reply) {
            return;
        }
        keeper.routes_minor += 1;
        let version = ItemVersion { major: keeper.term.0, minor: keeper.routes_minor };
        let Ok(body) = encode(&keeper.routes()) else {
            return;
        };
        let key = ItemKey::Routes(service, zone);
        self.spread(Item { key, version, base: None, body }, out);
    }

    fn publish(&mut self, key: ItemKey, revision: Revision, body: String, out: &mut Vec<Output>) {
        let version = ItemVersion { major: revision.0, minor: 0 };
        self.spread(Item { key, version, base: None, body: body.into_bytes() }, out);
    }

    fn spread(&mut self, item: Item, out: &mut Vec<Output>) {
        if self.items.get(&item.key).is_some_and(|known| known.version >= item.version) {
            return;
        }
        for link in &self.links {
            let message = LinkMessage::Items(vec![item.clone()]);
            out.push(Output::Link { link: *link, message });
        }
        self.items.insert(item.key, item);
    }

    fn link_message(&mut self, link: LinkId, message: LinkMessage, out: &mut Vec<Output>) {
        if let LinkMessage::Hello { .. } = message {
            self.links.push(link);
            let items = self.items.values().cloned().collect();
            out.push(Output::Link { link, message: LinkMessage::Items(items) });
        }
    }
}
