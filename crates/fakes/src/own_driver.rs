//! Drives many owners, servers and a store on virtual time.

mod checker;
mod clock;
mod faults;
mod meter;
mod network;
mod server_node;
mod steward_node;
mod store_calls;
mod store_mode;
mod watching;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bay_conf::ServiceDoc;
use bay_own::{CallId, OwnerInput, OwnerMessage, OwnerOutput, RouteTable};
use bay_store::{Precondition, StoreReply, StoreRequest, StoreResult};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, Revision, ServiceName, ZoneName};
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

use crate::{MemStore, OwnerServer};

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
    Input(usize, Incarnation, Box<OwnerInput>),
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
                let input = OwnerInput::Order { id: call.id, reply };
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
            self.input(index, steward.incarnation, OwnerInput::Tick);
        }
    }

    fn input(&mut self, index: usize, incarnation: Incarnation, input: OwnerInput) {
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

    fn output(&mut self, index: usize, incarnation: Incarnation, output: OwnerOutput) {
        match output {
            OwnerOutput::Store { id, request } => self.send_call(index, incarnation, id, request),
            OwnerOutput::Order { id, to, order } => {
                self.count("orders", 1);
                self.send_order(OrderCall { steward: index, incarnation, id }, to, order);
            }
            OwnerOutput::PeerMessage { to, message } => self.send_peer(index, to, message),
            OwnerOutput::PublishRoutes { whole, .. } => {
                self.count("spread", 1);
                let bay_wire::ItemKey::Routes(service, _) = whole.key else { return };
                if let Ok(routes) = decode(&whole.body) {
                    let at = self.now + Duration::from_millis(self.rng.random_range(2..30));
                    self.schedule(at, Event::Routes(service, routes));
                }
            }
            OwnerOutput::Count(name) => self.count(name, 1),
        }
    }

    fn send_peer(&mut self, index: usize, to: NodeId, message: OwnerMessage) {
        self.count("peer messages", 1);
        let Some(receiver) = self.stewards.iter().position(|steward| steward.node == to) else {
            return;
        };
        let places = (Place::Steward(index), Place::Steward(receiver));
        if let Some(delay) = self.network.delay(&mut self.rng, places.0, places.1) {
            let from = self.stewards[index].node;
            let incarnation = self.stewards[receiver].incarnation;
            let input = Box::new(OwnerInput::PeerMessage { from, message });
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
}

fn expect_written(result: StoreResult) -> Revision {
    match result {
        Ok(StoreReply::Written(revision)) => revision,
        other => panic!("expected a write, found {other:?}"),
    }
}

fn expectation(current: StoreResult) -> Precondition {
    match current {
        Ok(StoreReply::Object(Some(object))) => Precondition::Revision(object.revision),
        _ => Precondition::Absent,
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
