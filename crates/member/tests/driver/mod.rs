//! Drives many [`Peers`] on virtual time, over a network that loses, duplicates and delays messages
//! and that can be partitioned.

#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bay_member::{LinkHandle, MemberConfig, MemberState, Peers, PeersOutput, SeedNode};
use bay_time::Time;
use bay_types::{Incarnation, NodeId, ServiceName, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion, KeyVersion, LinkMessage, Role, encode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Bytes that the seal and the IP and UDP headers add to a datagram.
const DATAGRAM_OVERHEAD: u64 = 45 + 28;
/// Bytes that the frame, its authentication code and the IP and TCP headers in both directions
/// add to a link message.
const LINK_MESSAGE_OVERHEAD: u64 = 20 + 120;
/// Bytes of a new connection: the TCP handshake and the link's own.
const LINK_SETUP_BYTES: u64 = 600;
/// Time after which an idle connection is closed.
const LINK_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Handle of the connection from a node's own gate.
const GATE_LINK: LinkHandle = LinkHandle(u64::MAX);
/// Handle of the connection from another host's gate.
const GUEST_LINK: LinkHandle = LinkHandle(u64::MAX - 1);

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick { node: usize, at: Time },
    Datagram { from: usize, to: usize, payload: Vec<u8> },
    Link { from: usize, to: usize, reply: bool, bytes: Vec<u8> },
}

/// Counters of network traffic.
#[derive(Debug, Default, Clone, Copy)]
pub struct Traffic {
    pub messages: u64,
    pub bytes: u64,
}

/// A recorded datagram.
#[derive(Debug, Clone)]
pub struct Recorded {
    pub from: usize,
    pub to: usize,
    pub payload: Vec<u8>,
}

pub struct Node {
    pub peers: Peers,
    pub id: NodeId,
    pub zone: ZoneName,
    pub address: SocketAddr,
    pub up: bool,
    pub paused: bool,
    pub traffic: Traffic,
    /// Last version of each item reported since the node's start, to check that none reverts.
    seen: BTreeMap<ItemKey, ItemVersion>,
    /// When each item last changed here.
    pub changed: BTreeMap<ItemKey, Time>,
    gate: BTreeMap<ItemKey, ItemVersion>,
    gate_linked: bool,
    /// The hosts in the latest list of gates that this node's gate received.
    pub gates: Vec<NodeId>,
    held_back: Vec<Event>,
    tick_at: Time,
    incarnation: u64,
    pub surveyed: bool,
}

/// Returns whether datagrams from the first node to the second are dropped.
pub type Cut = Box<dyn Fn(&Node, &Node) -> bool>;

pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub loss: f64,
    /// Share of the link messages that are lost to broken connections.
    pub links_broken: f64,
    pub duplicated: f64,
    pub cut: Cut,
    /// The datagrams delivered, if recording is on.
    pub recorded: Option<Vec<Recorded>>,
    /// Number of times any node declared the current start of a running node dead.
    pub false_deaths: u64,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    rng: SmallRng,
    opened: HashMap<(usize, usize), Time>,
    by_address: HashMap<SocketAddr, usize>,
}

impl Net {
    /// Creates nodes spread evenly over zones. Each group of three zones is a region.
    pub fn new(count: usize, zones: usize, seed: u64) -> Net {
        let mut net = Net {
            now: Time::from_millis(1_000),
            nodes: Vec::new(),
            loss: 0.0,
            links_broken: 0.0,
            duplicated: 0.0,
            cut: Box::new(|_, _| false),
            recorded: None,
            false_deaths: 0,
            queue: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            opened: HashMap::new(),
            by_address: HashMap::new(),
        };
        for index in 0..count {
            net.add(index, zones);
        }
        let seeds = net.seeds();
        for node in &mut net.nodes {
            node.peers.set_seeds(&seeds);
        }
        net
    }

    fn add(&mut self, index: usize, zones: usize) {
        let number = index as u64;
        let id = NodeId(number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let zone = ZoneName::new(&format!("zone-{}", index % zones)).unwrap();
        let octets = [10, 0, (index / 250) as u8, (index % 250) as u8 + 1];
        let address = SocketAddr::from((octets, 7_000));
        self.by_address.insert(address, index);
        let peers = Peers::new(config(id, zone, address, 1, self.rng.random()), self.now);
        self.nodes.push(Node {
            peers,
            id,
            zone,
            address,
            up: true,
            paused: false,
            traffic: Traffic::default(),
            seen: BTreeMap::new(),
            changed: BTreeMap::new(),
            gate: BTreeMap::new(),
            gate_linked: false,
            gates: Vec::new(),
            held_back: Vec::new(),
            tick_at: Time::MAX,
            incarnation: 1,
            surveyed: false,
        });
        self.schedule(index);
    }

    pub fn seeds(&self) -> Vec<SeedNode> {
        self.nodes.iter().map(|node| SeedNode { node: node.id, steward: node.address }).collect()
    }

    /// Crashes a node.
    pub fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].gate_linked = false;
        self.opened.retain(|(from, to), _| *from != index && *to != index);
    }

    /// Starts a node with empty state and a higher incarnation.
    pub fn restart(&mut self, index: usize) {
        self.kill(index);
        let seeds = self.seeds();
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.incarnation += 1;
        let config = config(node.id, node.zone, node.address, node.incarnation, seed);
        node.peers = Peers::new(config, self.now);
        node.peers.set_seeds(&seeds);
        node.up = true;
        node.paused = false;
        node.seen.clear();
        node.changed.clear();
        node.gate.clear();
        node.tick_at = Time::MAX;
        self.schedule(index);
    }

    /// Suspends a node's process. Events for it are held back.
    pub fn pause(&mut self, index: usize) {
        self.nodes[index].paused = true;
    }

    /// Drops the events held back for a paused process, as a full socket buffer does.
    pub fn drop_held_back(&mut self, index: usize) {
        self.nodes[index].held_back.clear();
    }

    /// Resumes a paused process and delivers the events held back.
    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for event in std::mem::take(&mut self.nodes[index].held_back) {
            self.push(self.now, event);
        }
        self.nodes[index].tick_at = Time::MAX;
        self.schedule(index);
    }

    /// Connects each node's own gate to it.
    pub fn link_gates(&mut self) {
        for index in 0..self.nodes.len() {
            self.nodes[index].gate_linked = true;
            let node = self.nodes[index].id;
            let hello = LinkMessage::Hello { node, role: Role::Gate, versions: Vec::new() };
            self.handle(index, |peers, now, out| {
                peers.handle_link_message(now, GATE_LINK, hello, out)
            });
        }
    }

    /// Connects the gate of one host to the steward of another one as well.
    pub fn link_guest(&mut self, gate: usize, steward: usize) {
        let node = self.nodes[gate].id;
        let hello = LinkMessage::Hello { node, role: Role::Gate, versions: Vec::new() };
        self.handle(steward, |peers, now, out| {
            peers.handle_link_message(now, GUEST_LINK, hello, out)
        });
    }

    /// Closes the connection made by [`Net::link_guest`].
    pub fn close_guest(&mut self, steward: usize) {
        self.handle(steward, |peers, now, _| peers.close_link(now, GUEST_LINK));
    }

    /// Offers an item at a node, as if read from the store or produced there.
    pub fn offer(&mut self, index: usize, item: Item) {
        self.handle(index, |peers, now, out| {
            peers.offer(now, item, out);
        });
    }

    pub fn survey(&mut self, index: usize) {
        self.nodes[index].surveyed = false;
        self.handle(index, |peers, now, out| peers.start_survey(now, out));
    }

    pub fn leave(&mut self, index: usize) {
        self.handle(index, |peers, now, out| peers.leave(now, out));
    }

    /// Delivers a datagram at once.
    pub fn deliver(&mut self, datagram: Recorded) {
        let Recorded { from, to, payload } = datagram;
        self.push(self.now, Event::Datagram { from, to, payload });
    }

    /// Advances virtual time.
    pub fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while let Some(Reverse((at, ..))) = self.queue.peek() {
            if *at > until {
                break;
            }
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now = self.now.max(at);
            self.dispatch(event);
        }
        self.now = until;
    }

    /// Advances virtual time until a condition holds; returns the time it took, or `None` beyond
    /// the limit.
    pub fn run_until<F>(&mut self, limit: Duration, holds: F) -> Option<Duration>
    where
        F: Fn(&Net) -> bool,
    {
        let start = self.now;
        while !holds(self) {
            if self.now.since(start) > limit {
                return None;
            }
            self.run(Duration::from_millis(10));
        }
        Some(self.now.since(start))
    }

    /// Whether every running node holds an item at exactly this version.
    pub fn everywhere(&self, key: ItemKey, version: ItemVersion) -> bool {
        let mut up = self.nodes.iter().filter(|node| node.up && !node.paused);
        up.all(|node| node.peers.items().version(key) == version)
    }

    /// Whether every running node sees the running nodes as alive and all others as dead.
    pub fn agreed(&self) -> bool {
        let up: Vec<NodeId> =
            self.nodes.iter().filter(|node| node.up && !node.paused).map(|node| node.id).collect();
        let sees = |node: &Node| {
            let mut alive = 0;
            let rest_dead = node.peers.membership().members().all(|member| match member.state {
                MemberState::Alive => {
                    alive += 1;
                    up.contains(&member.node)
                }
                MemberState::Dead => !up.contains(&member.node),
                MemberState::Suspect | MemberState::Leaving => false,
            });
            rest_dead && alive == up.len()
        };
        self.nodes.iter().filter(|node| node.up && !node.paused).all(sees)
    }

    fn dispatch(&mut self, event: Event) {
        let index = match &event {
            Event::Tick { node, .. } => *node,
            Event::Datagram { to, .. } | Event::Link { to, .. } => *to,
        };
        let node = &mut self.nodes[index];
        if !node.up {
            return;
        }
        if node.paused {
            node.held_back.push(event);
            return;
        }
        match event {
            Event::Tick { at, .. } => {
                if node.tick_at == at {
                    node.tick_at = Time::MAX;
                    self.handle(index, |peers, now, out| peers.tick(now, out));
                }
            }
            Event::Datagram { from, payload, .. } => {
                node.traffic.messages += 1;
                node.traffic.bytes += payload.len() as u64 + DATAGRAM_OVERHEAD;
                if let Some(recorded) = &mut self.recorded {
                    recorded.push(Recorded { from, to: index, payload: payload.clone() });
                }
                let from = self.nodes[from].address;
                self.handle(index, |peers, now, out| {
                    peers.handle_datagram(now, from, &payload, out)
                });
            }
            Event::Link { from, reply, bytes, .. } => {
                node.traffic.messages += 1;
                node.traffic.bytes += bytes.len() as u64 + LINK_MESSAGE_OVERHEAD;
                let message = bay_wire::decode(&bytes).unwrap();
                let link = link_handle(from, reply);
                self.handle(index, |peers, now, out| {
                    peers.handle_link_message(now, link, message, out)
                });
            }
        }
    }

    fn handle<F>(&mut self, index: usize, input: F)
    where
        F: FnOnce(&mut Peers, Time, &mut Vec<PeersOutput>),
    {
        let mut out = Vec::new();
        input(&mut self.nodes[index].peers, self.now, &mut out);
        for output in out {
            self.perform(index, output);
        }
        self.schedule(index);
    }

    fn perform(&mut self, index: usize, output: PeersOutput) {
        match output {
            PeersOutput::Datagram { to, payload } => self.send_datagram(index, to, payload),
            PeersOutput::Steward { to, message } => {
                let to = self.by_address[&to];
                self.send_link(index, to, false, &message);
            }
            PeersOutput::Link { link: GATE_LINK, message } => {
                self.handle_gate_message(index, message)
            }
            PeersOutput::Link { link: GUEST_LINK, .. } => {}
            PeersOutput::Link { link, message } => {
                let (to, reply) = ((link.0 / 2) as usize, link.0 % 2 == 0);
                self.send_link(index, to, reply, &message);
            }
            PeersOutput::MemberChanged(member) => {
                // An earlier start of a node is rightly declared dead.
                let this_start = |node: &Node| node.incarnation <= member.incarnation.0;
                let up = |node: &Node| {
                    node.id == member.node && this_start(node) && node.up && !node.paused
                };
                if member.state == MemberState::Dead && self.nodes.iter().any(up) {
                    self.false_deaths += 1;
                }
            }
            PeersOutput::ItemChanged(item) => {
                let node = &mut self.nodes[index];
                let before = node.seen.insert(item.key, item.version);
                assert!(before < Some(item.version), "a version reverted at node {index}");
                node.changed.insert(item.key, self.now);
            }
            PeersOutput::SurveyFinished => self.nodes[index].surveyed = true,
        }
    }

    fn handle_gate_message(&mut self, index: usize, message: LinkMessage) {
        let items = match message {
            LinkMessage::Items(items) => items,
            LinkMessage::Gates(gates) => {
                self.nodes[index].gates = gates.iter().map(|gate| gate.node).collect();
                return;
            }
            _ => return,
        };
        if !self.nodes[index].gate_linked {
            return;
        }
        let mut in_force = Vec::new();
        for item in items {
            let known = self.nodes[index].gate.entry(item.key).or_default();
            assert!(*known < item.version, "a version reverted at the gate of node {index}");
            assert!(item.base.is_none_or(|base| base == *known), "a gate was sent a gap");
            *known = item.version;
            in_force.push(KeyVersion { key: item.key, version: item.version });
        }
        let message = LinkMessage::InForce(in_force);
        self.handle(index, |peers, now, out| {
            peers.handle_link_message(now, GATE_LINK, message, out)
        });
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, payload: Vec<u8>) {
        let node = &mut self.nodes[from];
        node.traffic.messages += 1;
        node.traffic.bytes += payload.len() as u64 + DATAGRAM_OVERHEAD;
        let Some(to) = self.by_address.get(&to).copied() else {
            return;
        };
        if (self.cut)(&self.nodes[from], &self.nodes[to]) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = if self.rng.random_bool(self.duplicated) { 2 } else { 1 };
        for _ in 0..copies {
            let latency = self.latency(from, to).mul_f64(self.rng.random_range(1.0..1.5));
            let payload = payload.clone();
            self.push(self.now + latency, Event::Datagram { from, to, payload });
        }
    }

    fn send_link(&mut self, from: usize, to: usize, reply: bool, message: &LinkMessage) {
        let (a, b) = (&self.nodes[from], &self.nodes[to]);
        if !b.up || (self.cut)(a, b) || (self.cut)(b, a) {
            return;
        }
        if self.rng.random_bool(self.links_broken) {
            return;
        }
        let bytes = encode(message).unwrap();
        let mut size = bytes.len() as u64 + LINK_MESSAGE_OVERHEAD;
        let opened = self.opened.insert((from.min(to), from.max(to)), self.now);
        if opened.is_none_or(|at| self.now.since(at) > LINK_IDLE_TIMEOUT) {
            size += LINK_SETUP_BYTES;
        }
        let traffic = &mut self.nodes[from].traffic;
        traffic.messages += 1;
        traffic.bytes += size;
        let latency = self.latency(from, to) * 3;
        self.push(self.now + latency, Event::Link { from, to, reply, bytes });
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        let number = |index: usize| {
            let zone = self.nodes[index].zone;
            zone.as_str().trim_start_matches("zone-").parse::<usize>().unwrap()
        };
        let (a, b) = (number(from), number(to));
        let micros = match (a == b, a / 3 == b / 3) {
            (true, _) => 300,
            (false, true) => 1_500,
            (false, false) => 40_000,
        };
        Duration::from_micros(micros)
    }

    fn schedule(&mut self, index: usize) {
        let at = self.nodes[index].peers.next_deadline().max(self.now);
        if at < self.nodes[index].tick_at {
            self.nodes[index].tick_at = at;
            self.push(at, Event::Tick { node: index, at });
        }
    }

    fn push(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }
}

/// Returns the handle of the connection with a node; it is even if this node opened it.
fn link_handle(other: usize, opened_here: bool) -> LinkHandle {
    LinkHandle(other as u64 * 2 + u64::from(!opened_here))
}

fn config(
    node: NodeId,
    zone: ZoneName,
    steward: SocketAddr,
    incarnation: u64,
    seed: u64,
) -> MemberConfig {
    let gate = Some(SocketAddr::new(steward.ip(), 7_001));
    MemberConfig { node, zone, steward, gate, incarnation: Incarnation(incarnation), seed }
}

/// Creates a service's document at a version.
pub fn document(name: &str, major: u64, bytes: usize) -> Item {
    let key = ItemKey::Document(ServiceName::new(name).unwrap());
    let version = ItemVersion { major, minor: 0 };
    Item { key, version, base: None, body: vec![b'x'; bytes] }
}
