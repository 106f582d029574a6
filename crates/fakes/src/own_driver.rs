//! Drives many owners, servers and a store on virtual time.

mod checker;
mod clock;
mod faults;
mod meter;
mod network;
mod server_node;
mod steward_node;
mod store_mode;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bay_conf::{ServiceDoc, ZoneDoc};
use bay_own::{CallId, OwnInput, OwnMessage, OwnOutput, RouteTable, StewardState, StewardView};
use bay_store::{Expect, Object, ObjectKey, StoreError, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, Revision, ServiceName, SliceId, ZoneName};
use bay_wire::{Order, OrderReply, Routes, decode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use checker::OwnChecker;
pub use meter::{Gap, OwnMeter};
pub use network::{Network, Place};
pub use store_mode::StoreMode;

use checker::Holding;
use clock::SkewedClock;
use server_node::{OrderCall, ServerNode};
use steward_node::StewardNode;

use crate::{Admission, MemStore, OwnerServer};

/// How long a steward waits for a server's answer.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a steward waits for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a steward is silent before others see it as dead.
const MEMBER_SILENCE: Duration = Duration::from_millis(1_500);
/// Pause between two looks at the membership.
const MEMBER_PERIOD: Duration = Duration::from_millis(250);
/// Pause between two whole readings of the store.
const LIST_PERIOD: Duration = Duration::from_secs(3);
/// Pause between two samples of which slices are served.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Many owners, their servers and one store on virtual time.
#[derive(Debug)]
pub struct OwnDriver {
    now: Time,
    rng: SmallRng,
    seed: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    stewards: Vec<StewardNode>,
    servers: Vec<ServerNode>,
    store: MemStore,
    store_mode: StoreMode,
    seen_revision: Revision,
    docs: BTreeMap<ServiceName, ServiceDoc>,
    tables: BTreeMap<ServiceName, RouteTable>,
    /// Since when a steward has not heard of another.
    unheard: BTreeMap<(usize, usize), Time>,
    /// How messages travel.
    pub network: Network,
    /// The invariants.
    pub checker: OwnChecker,
    /// The unserved time.
    pub meter: OwnMeter,
    /// Counters of the owners, store calls and bytes of orders and messages.
    pub counts: BTreeMap<&'static str, u64>,
    /// Whether the meter samples.
    pub metering: bool,
}

#[derive(Debug)]
struct Scheduled {
    at: Time,
    sequence: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

#[derive(Debug)]
enum Event {
    Wake(usize),
    Input(usize, Incarnation, Box<OwnInput>),
    Order(usize, OrderCall, Order),
    OrderEnd(OrderCall, Option<OrderReply>),
    StoreCall(usize, Incarnation, CallId, StoreRequest, bool),
    Routes(ServiceName, Routes),
    Members,
    List,
    Sample,
}

impl OwnDriver {
    /// Starts a steward in each listed zone and the servers that the documents name.
    ///
    /// # Panics
    /// Panics if a name or document is not valid.
    pub fn new(seed: u64, steward_zones: &[&str], documents: &[&str]) -> OwnDriver {
        let mut driver = OwnDriver {
            now: Time::from_millis(1_000),
            rng: SmallRng::seed_from_u64(seed),
            seed,
            queue: BinaryHeap::new(),
            sequence: 0,
            stewards: Vec::new(),
            servers: Vec::new(),
            store: MemStore::new(),
            store_mode: StoreMode::Up,
            seen_revision: Revision(0),
            docs: BTreeMap::new(),
            tables: BTreeMap::new(),
            unheard: BTreeMap::new(),
            network: Network::default(),
            checker: OwnChecker::default(),
            meter: OwnMeter::default(),
            counts: BTreeMap::new(),
            metering: true,
        };
        for zone in steward_zones {
            driver.add_steward(ZoneName::new(zone).expect("a zone's name"));
        }
        for document in documents {
            driver.apply(document);
        }
        for event in [Event::Members, Event::List, Event::Sample] {
            driver.schedule(driver.now, event);
        }
        driver
    }

    /// The driver's time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Runs for a span.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at.max(self.now);
            self.perform(next.event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    fn count(&mut self, name: &'static str, by: u64) {
        *self.counts.entry(name).or_default() += by;
    }

    fn perform(&mut self, event: Event) {
        match event {
            Event::Wake(steward) => self.wake(steward),
            Event::Input(steward, incarnation, input) => self.input(steward, incarnation, *input),
            Event::Order(server, call, order) => self.order(server, call, order),
            Event::OrderEnd(call, reply) => {
                let input = OwnInput::Order { id: call.id, reply };
                self.input(call.steward, call.incarnation, input);
            }
            Event::StoreCall(steward, incarnation, id, request, answered) => {
                self.store_call(steward, incarnation, id, request, answered);
            }
            Event::Routes(service, routes) => {
                if let Some(table) = self.tables.get_mut(&service) {
                    table.merge(&routes);
                }
            }
            Event::Members => self.members(),
            Event::List => self.list(),
            Event::Sample => self.sample(),
        }
    }

    fn wake(&mut self, index: usize) {
        let steward = &self.stewards[index];
        if steward.wake <= self.now && !steward.paused {
            self.input(index, steward.incarnation, OwnInput::Tick);
        }
    }

    fn input(&mut self, index: usize, incarnation: Incarnation, input: OwnInput) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        if steward.incarnation != incarnation {
            return;
        }
        if steward.paused {
            steward.inbox.push_back(input);
            return;
        }
        let Some(owner) = steward.owner.as_mut() else {
            return;
        };
        let mut out = Vec::new();
        let reading = steward.clock.reading(now);
        owner.handle(reading, input, &mut out);
        let deadline = owner.next_deadline(reading);
        let wake = steward.clock.moment(now, deadline);
        // A wake-up that is already due comes in its turn.
        if wake < steward.wake || steward.wake <= now {
            steward.wake = wake;
            self.schedule(wake, Event::Wake(index));
        }
        for output in out {
            self.output(index, incarnation, output);
        }
    }

    fn output(&mut self, index: usize, incarnation: Incarnation, output: OwnOutput) {
        match output {
            OwnOutput::Store { id, request } => self.send_call(index, incarnation, id, request),
            OwnOutput::Order { id, to, order } => {
                self.count("orders", 1);
                self.send_order(OrderCall { steward: index, incarnation, id }, to, order);
            }
            OwnOutput::Peer { to, message } => self.send_peer(index, to, message),
            OwnOutput::Spread { whole, .. } => {
                self.count("spread", 1);
                let bay_wire::ItemKey::Routes(service, _) = whole.key else { return };
                if let Ok(routes) = decode(&whole.body) {
                    let at = self.now + Duration::from_millis(self.rng.random_range(2..30));
                    self.schedule(at, Event::Routes(service, routes));
                }
            }
            OwnOutput::Count(name) => self.count(name, 1),
        }
    }

    fn send_peer(&mut self, index: usize, to: NodeId, message: OwnMessage) {
        self.count("peer messages", 1);
        let Some(receiver) = self.stewards.iter().position(|steward| steward.node == to) else {
            return;
        };
        let places = (Place::Steward(index), Place::Steward(receiver));
        if let Some(delay) = self.network.delay(&mut self.rng, places.0, places.1) {
            let from = self.stewards[index].node;
            let incarnation = self.stewards[receiver].incarnation;
            let input = Box::new(OwnInput::Peer { from, message });
            self.schedule(self.now + delay, Event::Input(receiver, incarnation, input));
        }
    }

    fn send_order(&mut self, call: OrderCall, to: std::net::SocketAddr, order: Order) {
        self.schedule(self.now + ORDER_TIMEOUT, Event::OrderEnd(call, None));
        let Some(server) = self.servers.iter().position(|server| server.address == to) else {
            return;
        };
        let places = (Place::Steward(call.steward), Place::Server(server));
        if let Some(delay) = self.network.delay(&mut self.rng, places.0, places.1) {
            self.schedule(self.now + delay, Event::Order(server, call, order));
        }
    }

    fn order(&mut self, index: usize, call: OrderCall, order: Order) {
        let now = self.now;
        let server = &mut self.servers[index];
        if !server.up {
            return;
        }
        if server.paused {
            server.inbox.push_back((call, order));
            return;
        }
        let before = server.owned(now);
        let reading = server.clock.reading(now);
        let reply = server.server.order(reading, &order);
        let after = server.owned(now);
        let added: Vec<_> = after.into_iter().filter(|grant| !before.contains(grant)).collect();
        if !added.is_empty() {
            let (service, name, zone) = (server.service, server.name, server.zone);
            self.checker.grants(service, name, zone, &added);
            self.check_holdings();
        }
        let places = (Place::Server(index), Place::Steward(call.steward));
        if let Some(delay) = self.network.delay(&mut self.rng, places.0, places.1) {
            self.schedule(now + delay, Event::OrderEnd(call, Some(reply)));
        }
    }

    fn check_holdings(&mut self) {
        let now = self.now;
        let mut holdings = Vec::new();
        for server in &mut self.servers {
            let grants = server.owned(now);
            holdings.push(Holding { service: server.service, server: server.name, grants });
        }
        self.checker.holdings(now, &holdings);
    }

    fn send_call(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        id: CallId,
        request: StoreRequest,
    ) {
        let kind = match &request {
            StoreRequest::Put { key, .. } if key.as_str().starts_with(ObjectKey::TERMS) => {
                "store put term"
            }
            StoreRequest::Put { .. } => "store put shard",
            StoreRequest::Get { .. } => "store get",
            _ => "store list",
        };
        self.count(kind, 1);
        let places = (Place::Steward(index), Place::Store);
        let delay = self.network.delay(&mut self.rng, places.0, places.1);
        let (delay, answered) = match (self.store_mode, delay) {
            (_, None) | (StoreMode::Down, _) => {
                let input = OwnInput::Store { id, result: Err(StoreError::Unreachable) };
                let at = self.now + Duration::from_millis(20);
                self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
                return;
            }
            (StoreMode::Up, Some(delay)) => (delay, true),
            (StoreMode::Slow(slow), Some(delay)) => (delay + slow, delay + slow < STORE_TIMEOUT),
            (StoreMode::Lost, Some(delay)) => (delay, false),
            (StoreMode::LateEffect(late), Some(_)) => (late, false),
        };
        if !answered {
            let input = OwnInput::Store { id, result: Err(StoreError::Unknown) };
            let at = self.now + STORE_TIMEOUT;
            self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
        }
        let event = Event::StoreCall(index, incarnation, id, request, answered);
        self.schedule(self.now + delay, event);
    }

    fn store_call(
        &mut self,
        index: usize,
        incarnation: Incarnation,
        id: CallId,
        request: StoreRequest,
        answered: bool,
    ) {
        let result = self.store.call(request);
        self.tell_changes();
        if answered {
            let at = self.now + Duration::from_micros(self.rng.random_range(500..3_000));
            let input = OwnInput::Store { id, result };
            self.schedule(at, Event::Input(index, incarnation, Box::new(input)));
        }
    }

    /// Shows the changes in the store to the checker and to every steward that can see it.
    fn tell_changes(&mut self) {
        let since = self.seen_revision;
        let watch = StoreRequest::Watch { prefix: String::new(), since, wait: Duration::ZERO };
        let Ok(StoreReply::Changes(body)) = self.store.call(watch) else {
            return;
        };
        self.seen_revision = body.revision;
        for change in body.changes {
            let Some(text) = change.body else { continue };
            let object = Object { key: change.key, revision: change.revision, body: text };
            self.check_write(&object);
            for index in 0..self.stewards.len() {
                self.show(index, &object);
            }
        }
    }

    fn check_write(&mut self, object: &Object) {
        let path = object.key.as_str().strip_prefix(ObjectKey::ASSIGNMENTS);
        let name = path.and_then(|path| path.split('/').next());
        if let Some(Ok(service)) = name.map(ServiceName::new) {
            self.checker.written(service, object);
        }
    }

    /// Shows an object to one steward, as its watch would.
    fn show(&mut self, index: usize, object: &Object) {
        let blind = matches!(self.store_mode, StoreMode::Down);
        let delay = self.network.delay(&mut self.rng, Place::Store, Place::Steward(index));
        let Some(delay) = delay.filter(|_| !blind) else {
            return;
        };
        let input = self.input_of(object);
        let incarnation = self.stewards[index].incarnation;
        self.schedule(self.now + delay, Event::Input(index, incarnation, Box::new(input)));
    }

    fn input_of(&self, object: &Object) -> OwnInput {
        let revision = object.revision;
        let key = object.key.as_str();
        let parsed = ServiceDoc::parse(key, object.body.as_bytes());
        if let (true, Ok(doc)) = (key.starts_with(ObjectKey::SERVICES), parsed) {
            return OwnInput::Document { service: doc.name, revision, doc: Some(doc) };
        }
        let parsed = ZoneDoc::parse(key, object.body.as_bytes());
        if let (true, Ok(doc)) = (key.starts_with(ObjectKey::ZONES), parsed) {
            return OwnInput::Zone { zone: doc.zone, revision, state: doc.state };
        }
        OwnInput::Seen(object.clone())
    }

    fn list(&mut self) {
        self.schedule(self.now + LIST_PERIOD, Event::List);
        let list = StoreRequest::List { prefix: String::new() };
        let Ok(StoreReply::Objects(body)) = self.store.call(list) else {
            return;
        };
        for object in &body.objects {
            for index in 0..self.stewards.len() {
                self.show(index, object);
            }
        }
    }

    fn members(&mut self) {
        self.schedule(self.now + MEMBER_PERIOD, Event::Members);
        for index in 0..self.stewards.len() {
            if self.stewards[index].owner.is_none() {
                continue;
            }
            let others = 0..self.stewards.len();
            let views = others.map(|other| self.member_view(index, other)).collect();
            let incarnation = self.stewards[index].incarnation;
            self.input(index, incarnation, OwnInput::Stewards(views));
        }
    }

    fn member_view(&mut self, index: usize, other: usize) -> StewardView {
        let places = (Place::Steward(index), Place::Steward(other));
        let steward = &self.stewards[other];
        let cut =
            self.network.is_cut(places.0, places.1) || self.network.is_cut(places.1, places.0);
        let silent = steward.owner.is_none() || steward.paused || cut;
        if !silent || index == other {
            self.unheard.remove(&(index, other));
            let leaving = steward.leaving;
            return steward.view(if leaving { StewardState::Leaving } else { StewardState::Alive });
        }
        let since = *self.unheard.entry((index, other)).or_insert(self.now);
        let dead = self.now >= since + MEMBER_SILENCE;
        steward.view(if dead { StewardState::Dead } else { StewardState::Alive })
    }

    fn sample(&mut self) {
        self.schedule(self.now + SAMPLE_PERIOD, Event::Sample);
        if !self.metering {
            return;
        }
        let now = self.now;
        for (service, doc) in &self.docs {
            let Some(rules) = doc.keyed() else { continue };
            let table = &self.tables[service];
            for index in 0..rules.layout.ranges() {
                let slice = SliceId(index);
                let shift = 64 - rules.layout.ranges().trailing_zeros();
                // The last key of the range, which no test makes hot.
                let key = bay_types::KeyHash(((u64::from(index) + 1) << shift).wrapping_sub(1));
                let route = table.lookup(key);
                let served = route.is_some_and(|route| {
                    let server = self.servers.iter_mut().find(|s| s.address == route.server);
                    server.is_some_and(|server| {
                        let reading = server.clock.reading(now);
                        let admission = server.server.admit(reading, route.slice, route.token);
                        server.up && !server.paused && admission == Admission::Owner
                    })
                });
                self.meter.sample(now, *service, slice, served);
            }
        }
    }
}

fn expect_written(result: StoreResult) -> Revision {
    match result {
        Ok(StoreReply::Written(revision)) => revision,
        other => panic!("expected a write, found {other:?}"),
    }
}

fn expectation(current: StoreResult) -> Expect {
    match current {
        Ok(StoreReply::Object(Some(object))) => Expect::Revision(object.revision),
        _ => Expect::Absent,
    }
}

fn skewed(rng: &mut SmallRng) -> SkewedClock {
    SkewedClock {
        offset: Duration::from_millis(rng.random_range(0..1_000_000)),
        parts_per_million: rng.random_range(-500..500),
    }
}

fn new_server(boot: u64, fenced: bool) -> OwnerServer {
    OwnerServer::new(boot, fenced)
}
