//! A simulator of slice ownership: stewards, servers and a store on virtual time.

mod checker;
mod clock;
mod faults;
mod meter;
mod monitor;
mod network;
mod server_node;
mod steward_node;
mod store_calls;
mod store_mode;

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

pub use checker::InvariantChecker;
pub use meter::{Gap, GapMeter};
pub use network::{Endpoint, Network};
pub use store_mode::StoreMode;

use checker::ServerGrants;
use clock::SkewedClock;
use server_node::{OrderCall, ServerNode};
use steward_node::StewardNode;

use crate::{MemStore, OwnerServer};

/// Timeout of an order to a server.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout of a store call.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without contact after which a steward counts as dead.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between updates of the stewards' membership views.
const MEMBER_PERIOD: Duration = Duration::from_millis(250);
/// Interval between full listings of the store.
const LIST_PERIOD: Duration = Duration::from_secs(3);
/// Interval between samples of which slices are served.
const SAMPLE_PERIOD: Duration = Duration::from_millis(10);

/// Simulates stewards, their servers and one store on virtual time.
///
/// A run depends only on the seed and on the calls made.
#[derive(Debug)]
pub struct OwnershipSim {
    now: Time,
    rng: SmallRng,
    seed: u64,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    stewards: Vec<StewardNode>,
    servers: Vec<ServerNode>,
    store: MemStore,
    store_mode: StoreMode,
    /// Latest revision passed to the checker and to the stewards' watches.
    seen_revision: Revision,
    docs: BTreeMap<ServiceName, ServiceDoc>,
    /// Published routes that have arrived, merged by service.
    tables: BTreeMap<ServiceName, RouteTable>,
    /// Start of the current loss of contact, by observer and observed steward.
    silent_since: BTreeMap<(usize, usize), Time>,
    /// Delays, losses and cuts of messages.
    pub network: Network,
    /// Checks of the invariants, updated on each write and grant.
    pub checker: InvariantChecker,
    /// Measured times without service, per slice.
    pub meter: GapMeter,
    /// Counters of the owners, and counts of orders, peer messages, published route tables
    /// (`spread`) and store calls.
    pub counters: BTreeMap<&'static str, u64>,
    /// Whether `meter` takes samples.
    pub is_metering: bool,
}

/// A queued event. Events of the same time run in the order of their `sequence`.
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

/// An event, with the index of the steward or server that it concerns, if it concerns one.
#[derive(Debug)]
enum Event {
    Wake(usize),
    Input(usize, Incarnation, Box<OwnerInput>),
    Order(usize, OrderCall, Order),
    OrderResult(OrderCall, Option<OrderReply>),
    /// The last field is whether the store's reply reaches the steward.
    StoreCall(usize, Incarnation, CallId, StoreRequest, bool),
    Routes(ServiceName, Routes),
    UpdateMembers,
    ListStore,
    Sample,
}

impl OwnershipSim {
    /// Creates one steward per entry of `steward_zones`, and the servers in the documents.
    ///
    /// # Panics
    /// Panics if a zone name or a document is invalid.
    pub fn new(seed: u64, steward_zones: &[&str], documents: &[&str]) -> OwnershipSim {
        let mut sim = OwnershipSim {
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
            silent_since: BTreeMap::new(),
            network: Network::default(),
            checker: InvariantChecker::default(),
            meter: GapMeter::default(),
            counters: BTreeMap::new(),
            is_metering: true,
        };
        for zone in steward_zones {
            sim.add_steward(ZoneName::new(zone).expect("a zone's name"));
        }
        for document in documents {
            sim.apply_document(document);
        }
        for event in [Event::UpdateMembers, Event::ListStore, Event::Sample] {
            sim.schedule(sim.now, event);
        }
        sim
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Advances virtual time by `span` and handles every event due by then.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(Reverse(next)) = self.queue.peek()
            && next.at <= end
        {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = next.at.max(self.now);
            self.handle_event(next.event);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.sequence, event }));
    }

    fn count(&mut self, name: &'static str, by: u64) {
        *self.counters.entry(name).or_default() += by;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Wake(steward) => self.wake_steward(steward),
            Event::Input(steward, incarnation, input) => {
                self.deliver_input(steward, incarnation, *input)
            }
            Event::Order(server, call, order) => self.deliver_order(server, call, order),
            Event::OrderResult(call, reply) => {
                let input = OwnerInput::Order { id: call.id, reply };
                self.deliver_input(call.steward, call.incarnation, input);
            }
            Event::StoreCall(steward, incarnation, id, request, has_reply) => {
                self.run_store_call(steward, incarnation, id, request, has_reply);
            }
            Event::Routes(service, routes) => {
                if let Some(table) = self.tables.get_mut(&service) {
                    table.merge(&routes);
                }
            }
            Event::UpdateMembers => self.update_members(),
            Event::ListStore => self.list_store(),
            Event::Sample => self.sample_slices(),
        }
    }

    fn wake_steward(&mut self, index: usize) {
        let steward = &self.stewards[index];
        if steward.wake_at <= self.now && !steward.is_paused {
            self.deliver_input(index, steward.incarnation, OwnerInput::Tick);
        }
    }

    /// Passes an input to a steward. Inputs to a paused steward wait until it resumes. Inputs to an
    /// earlier incarnation, or to a steward that is down, are dropped.
    fn deliver_input(&mut self, index: usize, incarnation: Incarnation, input: OwnerInput) {
        let now = self.now;
        let steward = &mut self.stewards[index];
        if steward.incarnation != incarnation {
            return;
        }
        if steward.is_paused {
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
        let wake = steward.clock.virtual_time(now, deadline);
        // Schedules a wake-up unless an earlier one is pending. None is pending if `wake_at` has
        // passed.
        if wake < steward.wake_at || steward.wake_at <= now {
            steward.wake_at = wake;
            self.schedule(wake, Event::Wake(index));
        }
        for output in out {
            self.handle_output(index, incarnation, output);
        }
    }

    fn handle_output(&mut self, index: usize, incarnation: Incarnation, output: OwnerOutput) {
        match output {
            OwnerOutput::Store { id, request } => {
                self.send_store_call(index, incarnation, id, request)
            }
            OwnerOutput::Order { id, to, order } => {
                self.count("orders", 1);
                self.send_order(OrderCall { steward: index, incarnation, id }, to, order);
            }
            OwnerOutput::PeerMessage { to, message } => self.send_peer_message(index, to, message),
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

    fn send_peer_message(&mut self, index: usize, to: NodeId, message: OwnerMessage) {
        self.count("peer messages", 1);
        let Some(receiver) = self.stewards.iter().position(|steward| steward.node == to) else {
            return;
        };
        let endpoints = (Endpoint::Steward(index), Endpoint::Steward(receiver));
        if let Some(delay) = self.network.delay(&mut self.rng, endpoints.0, endpoints.1) {
            let from = self.stewards[index].node;
            let incarnation = self.stewards[receiver].incarnation;
            let input = Box::new(OwnerInput::PeerMessage { from, message });
            self.schedule(self.now + delay, Event::Input(receiver, incarnation, input));
        }
    }

    fn send_order(&mut self, call: OrderCall, to: std::net::SocketAddr, order: Order) {
        self.schedule(self.now + ORDER_TIMEOUT, Event::OrderResult(call, None));
        let Some(server) = self.servers.iter().position(|server| server.address == to) else {
            return;
        };
        let endpoints = (Endpoint::Steward(call.steward), Endpoint::Server(server));
        if let Some(delay) = self.network.delay(&mut self.rng, endpoints.0, endpoints.1) {
            self.schedule(self.now + delay, Event::Order(server, call, order));
        }
    }

    /// Passes an order to a server, checks the slices that it newly owns, and sends the reply.
    ///
    /// Orders to a paused server wait until it resumes; a server that is down drops them.
    fn deliver_order(&mut self, index: usize, call: OrderCall, order: Order) {
        let now = self.now;
        let server = &mut self.servers[index];
        if !server.is_up {
            return;
        }
        if server.is_paused {
            server.inbox.push_back((call, order));
            return;
        }
        let before = server.owned_slices(now);
        let reading = server.clock.reading(now);
        let reply = server.server.handle_order(reading, &order);
        let after = server.owned_slices(now);
        let added: Vec<_> = after.into_iter().filter(|grant| !before.contains(grant)).collect();
        if !added.is_empty() {
            let (service, name, zone) = (server.service, server.name, server.zone);
            self.checker.check_grants(service, name, zone, &added);
            self.check_server_grants();
        }
        let endpoints = (Endpoint::Server(index), Endpoint::Steward(call.steward));
        if let Some(delay) = self.network.delay(&mut self.rng, endpoints.0, endpoints.1) {
            self.schedule(now + delay, Event::OrderResult(call, Some(reply)));
        }
    }

    fn check_server_grants(&mut self) {
        let now = self.now;
        let mut server_grants = Vec::new();
        for server in &mut self.servers {
            let grants = server.owned_slices(now);
            server_grants.push(ServerGrants {
                service: server.service,
                server: server.name,
                grants,
            });
        }
        self.checker.check_owners(now, &server_grants);
    }
}

fn expect_written(result: StoreResult) -> Revision {
    match result {
        Ok(StoreReply::Written(revision)) => revision,
        other => panic!("expected a write, found {other:?}"),
    }
}

/// Returns the precondition for replacing an object, from the result of reading it.
fn precondition_for(current: StoreResult) -> Precondition {
    match current {
        Ok(StoreReply::Object(Some(object))) => Precondition::Revision(object.revision),
        _ => Precondition::Absent,
    }
}

fn random_clock(rng: &mut SmallRng) -> SkewedClock {
    SkewedClock {
        offset: Duration::from_millis(rng.random_range(0..1_000_000)),
        parts_per_million: rng.random_range(-500..500),
    }
}

fn new_server(boot: u64, fenced: bool) -> OwnerServer {
    OwnerServer::new(boot, fenced)
}
