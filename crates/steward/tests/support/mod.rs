//! Several stewards, servers and a store on virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use bay_conf::{ZoneDoc, ZoneState};
use bay_fakes::{MemStore, OwnerServer};
use bay_own::{Route, RouteTable};
use bay_steward::{Input, LinkId, Output, StatusId, Steward, StewardConfig, StoreCallId};
use bay_store::{Host, HostState, ObjectKey, Precondition, StoreReply, StoreRequest};
use bay_time::Time;
use bay_types::{
    HostName, Incarnation, KeyHash, NodeId, Revision, ServiceName, SliceLayout, ZoneName,
};
use bay_wire::{
    ClusterStatus, HotKeyRate, ItemKey, ItemVersion, KeyVersion, LinkMessage, Role, Routes,
    ServiceRates, decode,
};

const STORE_DELAY: Duration = Duration::from_millis(3);
const NET_DELAY: Duration = Duration::from_millis(1);
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Identifier of the first gate's connection; connections between stewards are below it.
const FIRST_GATE_LINK: u64 = 1 << 40;
const HOSTS_PER_NET: usize = 200;
/// Maximum number of open watches; older ones have ended.
const MAX_WATCHES: usize = 4_096;
pub const RANGES: u32 = 64;
pub const ZONES: [&str; 3] = ["north", "south", "peel"];

pub struct Site {
    pub now: Time,
    pub store: MemStore,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub statuses: Vec<ClusterStatus>,
    pub traffic: Traffic,
    watches: Vec<(usize, StoreCallId, StoreRequest)>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    inputs: HashMap<u64, (usize, Input)>,
    links: HashMap<LinkId, (usize, usize)>,
    sequence: u64,
}

pub struct Node {
    pub up: bool,
    pub gate: Gate,
    steward: Steward,
    /// When the steward wants its next tick.
    due: Time,
    incarnation: u64,
}

pub struct Server {
    pub up: bool,
    pub zone: ZoneName,
    pub state: OwnerServer,
}

/// Counts of what the stewards have sent.
#[derive(Debug, Default)]
pub struct Traffic {
    pub reads: u64,
    pub watches: u64,
    pub writes: u64,
    pub orders: u64,
    pub order_bytes: u64,
    pub datagrams: u64,
    pub datagram_bytes: u64,
}

impl Traffic {
    fn count(&mut self, request: &StoreRequest) {
        match request {
            StoreRequest::Get { .. } | StoreRequest::List { .. } | StoreRequest::Hosts => {
                self.reads += 1;
            }
            StoreRequest::Watch { .. } => self.watches += 1,
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } => self.writes += 1,
        }
    }
}

/// The routes and item versions that a gate has received from its steward.
pub struct Gate {
    pub table: RouteTable,
    pub versions: BTreeMap<ItemKey, ItemVersion>,
    pub reverted: u32,
}

fn host_name(index: usize) -> HostName {
    HostName::new(&format!("entry-{index}")).unwrap()
}

fn steward_address(index: usize) -> SocketAddr {
    SocketAddr::from((host_ip(0, index), 8090))
}

fn host_ip(net: u8, index: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, net, (index / HOSTS_PER_NET) as u8, (index % HOSTS_PER_NET) as u8)
}

/// Returns the index of the host or server at an address.
fn index_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { panic!("{address}") };
    let [_, _, high, low] = ip.octets();
    usize::from(high) * HOSTS_PER_NET + usize::from(low)
}

pub fn server_address(index: usize) -> SocketAddr {
    SocketAddr::from((host_ip(1, index), 7500))
}

pub fn zone(index: usize) -> ZoneName {
    ZoneName::new(ZONES[index % ZONES.len()]).unwrap()
}

pub fn service() -> ServiceName {
    ServiceName::new("jobs").unwrap()
}

impl Gate {
    fn new() -> Gate {
        let table = RouteTable::new(SliceLayout::new(RANGES).unwrap());
        Gate { table, versions: BTreeMap::new(), reverted: 0 }
    }

    fn apply(&mut self, message: LinkMessage) {
        let LinkMessage::Items(items) = message else { return };
        for item in items {
            let version = self.versions.entry(item.key).or_default();
            self.reverted += u32::from(item.version < *version);
            *version = item.version;
            if let ItemKey::Routes(..) = item.key {
                self.table.merge(&decode::<Routes>(&item.body).unwrap());
            }
        }
    }

    /// Returns the route of one key in each range.
    pub fn routes(&self) -> Vec<Option<Route>> {
        let step = u64::MAX / u64::from(RANGES) + 1;
        (0..u64::from(RANGES)).map(|range| self.table.lookup(KeyHash(range * step))).collect()
    }
}

impl Site {
    /// Creates a site whose hosts and servers are spread evenly over the zones.
    pub fn new(hosts: usize, servers: usize) -> Site {
        let mut site = Site {
            now: Time::from_millis(1_000),
            store: MemStore::new(),
            nodes: Vec::new(),
            servers: Vec::new(),
            statuses: Vec::new(),
            traffic: Traffic::default(),
            watches: Vec::new(),
            queue: BinaryHeap::new(),
            inputs: HashMap::new(),
            links: HashMap::new(),
            sequence: 0,
        };
        for index in 0..servers {
            let state = OwnerServer::new(index as u64 + 1, true);
            site.servers.push(Server { up: true, zone: zone(index), state });
        }
        let host = |index| Host {
            name: host_name(index),
            zone: zone(index),
            steward: steward_address(index),
            state: HostState::Live,
        };
        site.store.set_hosts((0..hosts).map(host).collect());
        for index in 0..hosts {
            let steward = site.steward(index, 1);
            let (gate, due) = (Gate::new(), site.now);
            site.nodes.push(Node { up: true, gate, steward, due, incarnation: 1 });
            site.connect_gate(index);
        }
        site
    }

    fn steward(&self, index: usize, incarnation: u64) -> Steward {
        let config = StewardConfig {
            node: NodeId::of(host_name(index)),
            incarnation: Incarnation(incarnation),
            zone: zone(index),
            address: steward_address(index),
            gate: SocketAddr::from((host_ip(0, index), 8082)),
            seed: index as u64 + 100 * incarnation,
        };
        Steward::new(config, self.now)
    }

    fn connect_gate(&mut self, index: usize) {
        let node = NodeId::of(host_name(index));
        let versions = self.nodes[index].gate.versions.iter();
        let versions =
            versions.map(|(key, version)| KeyVersion { key: *key, version: *version }).collect();
        let message = LinkMessage::Hello { node, role: Role::Gate, versions };
        let link = LinkId(FIRST_GATE_LINK + index as u64);
        self.schedule_input(NET_DELAY, index, Input::Link { link, message });
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
    }

    /// Lets the gate of a host report the rate of a key.
    pub fn report_rate(&mut self, index: usize, key: KeyHash, per_second: u32, total: u32) {
        let keys = vec![HotKeyRate { key, per_second }];
        let message =
            LinkMessage::Rates(ServiceRates { service: service(), total_per_second: total, keys });
        let link = LinkId(FIRST_GATE_LINK + index as u64);
        self.schedule_input(NET_DELAY, index, Input::Link { link, message });
    }

    pub fn stop(&mut self, index: usize) {
        self.schedule_input(NET_DELAY, index, Input::Stop);
    }

    pub fn stopped(&self, index: usize) -> bool {
        self.nodes[index].steward.is_stopped()
    }

    pub fn restart(&mut self, index: usize) {
        let incarnation = self.nodes[index].incarnation + 1;
        let steward = self.steward(index, incarnation);
        let node = &mut self.nodes[index];
        node.steward = steward;
        node.due = self.now;
        node.incarnation = incarnation;
        node.up = true;
        self.connect_gate(index);
    }

    pub fn ask_status(&mut self, index: usize) {
        self.schedule_input(NET_DELAY, index, Input::StatusRequest(StatusId(1)));
    }

    /// Writes the service's document unconditionally.
    pub fn apply_document(&mut self, timeout_ms: u32) -> Revision {
        let mut text = format!(
            "[service]\nname = jobs\nhosts = jobs.example\nkind = keyed\n\
             [keys]\npath = /jobs/{{key}}\nslices = {RANGES}\nfenced = yes\n\
             [requests]\ntimeout = {timeout_ms} ms\n[limits]\nslots = 4\nconnections = 110\n"
        );
        for (index, server) in self.servers.iter().enumerate() {
            let address = server_address(index);
            text += &format!("[server s{index}]\naddress = {address}\nzone = {}\n", server.zone);
        }
        self.write(ObjectKey::service(service()), text)
    }

    pub fn set_zone(&mut self, zone: ZoneName, state: ZoneState) -> Revision {
        let doc = ZoneDoc { zone, state, operator: String::from("test") };
        self.write(ObjectKey::zone(zone), doc.to_text())
    }

    fn write(&mut self, key: ObjectKey, body: String) -> Revision {
        let read = self.store.call(StoreRequest::Get { key: key.clone() }).unwrap();
        let StoreReply::Object(object) = read else { panic!("{read:?}") };
        let precondition =
            object.map_or(Precondition::Absent, |object| Precondition::Revision(object.revision));
        let written = self.store.call(StoreRequest::Put { key, body, precondition }).unwrap();
        self.wake_watches();
        match written {
            StoreReply::Written(revision) => revision,
            other => panic!("{other:?}"),
        }
    }

    /// Runs the site for a span of virtual time and calls `check` after each step.
    pub fn run_for<F>(&mut self, span: Duration, mut check: F)
    where
        F: FnMut(&mut Site),
    {
        let end = self.now + span;
        loop {
            let due = self.queue.peek().map_or(Time::MAX, |Reverse((at, _))| *at);
            let now = self.now;
            let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
            let ticks = up.map(|(index, node)| (node.due, index));
            let (tick, index) = ticks.min().unwrap_or((Time::MAX, 0));
            let next = due.min(tick).max(now);
            if next > end {
                self.now = end;
                return;
            }
            self.now = next;
            if due <= next {
                let Reverse((_, number)) = self.queue.pop().unwrap();
                let (index, input) = self.inputs.remove(&number).unwrap();
                self.handle_input(index, input);
            } else {
                self.handle_input(index, Input::Tick);
            }
            check(self);
        }
    }

    fn schedule_input(&mut self, delay: Duration, index: usize, input: Input) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.inputs.insert(self.sequence, (index, input));
    }

    fn handle_input(&mut self, index: usize, input: Input) {
        if !self.nodes[index].up {
            return;
        }
        let mut out = Vec::new();
        let now = self.now;
        let node = &mut self.nodes[index];
        node.steward.handle(now, input, &mut out);
        node.due = node.steward.next_deadline(now);
        for output in out {
            self.perform(index, output);
        }
    }

    fn perform(&mut self, index: usize, output: Output) {
        match output {
            Output::Store { id, request } => {
                self.traffic.count(&request);
                self.call_store(index, id, request);
            }
            Output::Order { id, to, order } => {
                self.traffic.orders += 1;
                self.traffic.order_bytes += serde_json::to_vec(&order).unwrap().len() as u64;
                let server = &mut self.servers[index_of(to)];
                let now = self.now;
                let reply = server.up.then(|| server.state.handle_order(now, &order));
                let delay = if reply.is_some() { NET_DELAY * 2 } else { ORDER_TIMEOUT };
                self.schedule_input(delay, index, Input::Order { id, reply });
            }
            Output::Datagram { to, payload } => {
                self.traffic.datagrams += 1;
                self.traffic.datagram_bytes += payload.len() as u64;
                let node = NodeId::of(host_name(index));
                let from = steward_address(index);
                let datagram = Input::Datagram { node, from, payload };
                self.schedule_input(NET_DELAY, index_of(to), datagram);
            }
            Output::Steward { to, message } => {
                let other = index_of(to);
                self.sequence += 1;
                let link = LinkId(self.sequence);
                self.links.insert(link, (index, other));
                self.schedule_input(NET_DELAY, other, Input::Link { link, message });
            }
            Output::Link { link, message } => self.deliver(index, link, message),
            Output::Status { status, .. } => self.statuses.push(*status),
            Output::Count(_) => {}
        }
    }

    fn call_store(&mut self, index: usize, id: StoreCallId, request: StoreRequest) {
        let result = self.store.call(request.clone());
        let wait = match (&request, &result) {
            (StoreRequest::Watch { wait, .. }, Ok(StoreReply::Changes(body)))
                if body.changes.is_empty() && !body.compacted =>
            {
                self.watches.push((index, id, request.clone()));
                *wait
            }
            _ => STORE_DELAY,
        };
        self.schedule_input(wait, index, Input::Store { id, result });
        if let StoreRequest::Put { .. } | StoreRequest::Delete { .. } = request {
            self.wake_watches();
        }
    }

    /// Answers the watches with changes; the stewards ignore the replies at the end of their wait.
    fn wake_watches(&mut self) {
        for (index, id, request) in std::mem::take(&mut self.watches) {
            let result = self.store.call(request.clone());
            match &result {
                Ok(StoreReply::Changes(body)) if body.changes.is_empty() => {
                    self.watches.push((index, id, request));
                }
                _ => self.schedule_input(STORE_DELAY, index, Input::Store { id, result }),
            }
        }
        let oldest = self.watches.len().saturating_sub(MAX_WATCHES);
        self.watches.drain(..oldest);
    }

    fn deliver(&mut self, index: usize, link: LinkId, message: LinkMessage) {
        if link.0 >= FIRST_GATE_LINK {
            self.nodes[index].gate.apply(message);
        } else if let Some((one, other)) = self.links.get(&link).copied() {
            let to = if one == index { other } else { one };
            self.schedule_input(NET_DELAY, to, Input::Link { link, message });
        }
    }

    /// Returns the number of slices with two owners by the servers' own leases.
    pub fn doubly_owned_slices(&mut self) -> usize {
        let now = self.now;
        let mut owners: BTreeMap<u32, u32> = BTreeMap::new();
        for server in &mut self.servers {
            for grant in server.state.owned_slices(now) {
                *owners.entry(grant.slice.0).or_default() += 1;
            }
        }
        owners.values().filter(|count| **count > 1).count()
    }

    /// Returns the number of ranges that a host's gate routes to a live server that owns them.
    pub fn served_ranges(&mut self, index: usize) -> usize {
        let routes = self.nodes[index].gate.routes();
        let now = self.now;
        let mut served = 0;
        for route in routes.into_iter().flatten() {
            let server = &mut self.servers[index_of(route.server)];
            let mut owned = server.state.owned_slices(now);
            let owns = owned.any(|grant| grant.slice == route.slice && grant.token == route.token);
            drop(owned);
            served += usize::from(owns && server.up);
        }
        served
    }
}
