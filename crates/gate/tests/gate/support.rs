//! A gate on virtual time, with the heads, documents and items that tests give it.

use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{
    Action, AttemptFailure, AttemptId, CallId, Count, Event, NotRunReason, RequestHead,
};
use bay_conf::Method;
use bay_gate::{ApplyResult, Gate, GateConfig};
use bay_time::Time;
use bay_types::{ErrorKind, HostName, NodeId, ServiceName, SliceId, Token, ZoneName};
use bay_wire::{GateAddress, Item, ItemKey, ItemVersion, PeerMessage, RouteRow, Routes, encode};

/// A request's head.
#[derive(Debug, Clone)]
pub struct Head {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
}

impl Head {
    pub fn new(method: Method, path: &str) -> Head {
        Head { method, path: path.to_owned(), headers: Vec::new() }
    }

    pub fn with(mut self, name: &'static str, value: &str) -> Head {
        self.headers.push((name, value.to_owned()));
        self
    }
}

impl RequestHead for Head {
    fn method(&self) -> Option<Method> {
        Some(self.method)
    }

    fn host(&self) -> Option<&str> {
        Some("jobs.example")
    }

    fn path(&self) -> &str {
        &self.path
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| *known == name).map(|(_, value)| value.as_str())
    }
}

/// An attempt that a gate asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub call: CallId,
    pub attempt: AttemptId,
    pub to: SocketAddr,
    pub token: Option<Token>,
    pub fresh: bool,
}

/// A gate and what it asked for.
pub struct Bed {
    pub gate: Gate,
    pub now: Time,
    pub out: Vec<Action>,
    version: u64,
}

pub fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

pub fn service() -> ServiceName {
    ServiceName::new("jobs").unwrap()
}

pub fn zone(number: u8) -> ZoneName {
    ZoneName::new(&format!("z{number}")).unwrap()
}

pub fn node(number: u8) -> NodeId {
    NodeId::of(HostName::new(&format!("entry-{number}")).unwrap())
}

/// A document with servers 1 to `servers`, one in each zone.
pub fn document(kind: &str, servers: u8) -> String {
    let keys = "[keys]\npath = /jobs/{key}\nslices = 64\nfenced = yes\n";
    let keys = if kind == "keyed" { keys } else { "" };
    let mut text = format!(
        "[service]\nname = jobs\nhosts = jobs.example\nkind = {kind}\n{keys}\
         [requests]\ntimeout = 2 s\nretry_budget = 100 %\nhedge_budget = 100 %\n\
         [limits]\nslots = 64\nconnections = 110\ncold_slots = 64\n"
    );
    for number in 1..=servers {
        let address = address(number);
        text += &format!("[server s{number}]\naddress = {address}\nzone = z{number}\n");
    }
    text
}

impl Bed {
    /// A gate that knows itself as the only one.
    pub fn new(number: u8) -> Bed {
        let mut bed = Bed::unlisted(number);
        bed.gate.set_gates(bed.now, &peer_list(&[number]), &mut bed.out);
        bed
    }

    /// A gate that does not know which gates are up.
    pub fn unlisted(number: u8) -> Bed {
        let config = GateConfig { node: node(number), zone: zone(1), seed: u64::from(number) };
        let now = Time::from_millis(1_000);
        Bed { gate: Gate::new(config), now, out: Vec::new(), version: 0 }
    }

    /// A gate with one service.
    pub fn with(kind: &str, servers: u8) -> Bed {
        let mut bed = Bed::new(1);
        bed.apply(ItemKey::Document(service()), document(kind, servers).into_bytes());
        bed
    }

    pub fn apply(&mut self, key: ItemKey, body: Vec<u8>) -> ApplyResult {
        self.version += 1;
        self.apply_version(key, body, self.version)
    }

    pub fn apply_version(&mut self, key: ItemKey, body: Vec<u8>, major: u64) -> ApplyResult {
        let version = ItemVersion { major, minor: 0 };
        let item = Item { key, version, base: None, body };
        self.gate.apply(self.now, &item, &mut self.out)
    }

    /// Gives all slices to a server under a token.
    pub fn route(&mut self, server: Option<u8>, token: u64) -> ApplyResult {
        let rows = (0..64).map(|slice| RouteRow {
            slice: SliceId(slice),
            token: Token(token),
            server: server.map(|_| 0),
        });
        let servers = server.into_iter().map(address).collect();
        let routes = Routes { servers, rows: rows.collect(), hot: Vec::new() };
        self.apply(ItemKey::Routes(service(), zone(1)), encode(&routes).unwrap())
    }

    pub fn set_zone(&mut self, number: u8, state: &str) -> ApplyResult {
        let text = format!("[zone]\nname = z{number}\nstate = {state}\noperator = op\n");
        self.apply(ItemKey::Zone(zone(number)), text.into_bytes())
    }

    pub fn begin(&mut self, head: &Head) -> CallId {
        self.gate.begin_call(self.now, head, &mut self.out)
    }

    pub fn get(&mut self, path: &str) -> CallId {
        self.begin(&Head::new(Method::Get, path))
    }

    pub fn post(&mut self, path: &str) -> CallId {
        self.begin(&Head::new(Method::Post, path))
    }

    pub fn event(&mut self, call: CallId, event: Event) {
        self.gate.handle_event(self.now, call, event, &mut self.out);
    }

    pub fn may_send(&mut self, sent: Sent) -> bool {
        self.gate.may_send(self.now, sent.call, sent.attempt)
    }

    pub fn answer(&mut self, sent: Sent, not_run: Option<NotRunReason>) {
        let attempt = sent.attempt;
        self.event(sent.call, Event::Answered { attempt, status: 200, not_run, load: None });
    }

    /// Lets an attempt be answered whole.
    pub fn complete(&mut self, sent: Sent) {
        self.may_send(sent);
        self.answer(sent, None);
        self.event(sent.call, Event::Completed { attempt: sent.attempt });
    }

    /// Lets enough requests be answered in 10 ms each that the pool knows when to hedge.
    pub fn warm_up(&mut self) {
        for _ in 0..100 {
            self.get("/");
            let sent = self.attempt();
            self.may_send(sent);
            self.pass(Duration::from_millis(10));
            self.complete(sent);
            self.out.clear();
        }
        self.count("attempt.started");
    }

    pub fn fail(&mut self, sent: Sent, failure: AttemptFailure) {
        let attempt = sent.attempt;
        self.event(sent.call, Event::Failed { attempt, failure, replayable: true });
    }

    /// Lets time pass, stopping at each deadline on the way.
    pub fn pass(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.gate.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.gate.tick(self.now, &mut self.out);
        }
        self.now = end;
        self.gate.tick(self.now, &mut self.out);
    }

    /// Takes the attempts asked for since the last time.
    pub fn attempts(&mut self) -> Vec<Sent> {
        let (attempts, rest) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|action| matches!(action, Action::StartAttempt { .. }));
        self.out = rest;
        attempts.into_iter().filter_map(sent).collect()
    }

    /// Takes the one attempt asked for.
    pub fn attempt(&mut self) -> Sent {
        let attempts = self.attempts();
        assert_eq!(attempts.len(), 1, "{attempts:?} {:?}", self.out);
        attempts[0]
    }

    /// How a request was refused, if it was.
    pub fn refusal(&self, id: CallId) -> Option<ErrorKind> {
        self.out.iter().find_map(|action| match action {
            Action::Refuse { call, kind, .. } if *call == id => Some(*kind),
            _ => None,
        })
    }

    /// Takes the datagrams to other gates.
    pub fn peers(&mut self) -> Vec<(SocketAddr, PeerMessage)> {
        let (peers, rest) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|action| matches!(action, Action::SendToPeer { .. }));
        self.out = rest;
        peers
            .into_iter()
            .filter_map(|action| match action {
                Action::SendToPeer { to, message } => Some((to, message)),
                _ => None,
            })
            .collect()
    }

    /// The count of one counter since the last time.
    pub fn count(&mut self, name: &str) -> u64 {
        let mut counts: Vec<Count> = Vec::new();
        self.gate.drain_counts(&mut counts);
        counts.iter().find(|count| count.name.as_str() == name).map_or(0, |count| count.count)
    }
}

pub fn sent(action: Action) -> Option<Sent> {
    match action {
        Action::StartAttempt { call, attempt, to, grant, fresh, .. } => {
            Some(Sent { call, attempt, to, token: grant.map(|grant| grant.token), fresh })
        }
        _ => None,
    }
}

/// Gates that exchange datagrams, each known by its number.
pub fn peer_list(numbers: &[u8]) -> Vec<GateAddress> {
    let gate = |number: &u8| GateAddress {
        node: node(*number),
        zone: zone(1),
        address: peer_address(*number),
    };
    numbers.iter().map(gate).collect()
}

pub fn peer_address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 81))
}

/// Several gates of one service that exchange datagrams without delay.
pub struct Fleet {
    pub beds: Vec<Bed>,
    /// The gates that are lost: they send and receive nothing.
    pub lost: Vec<usize>,
    /// Whether notices about crashing requests are lost on their way.
    pub loses_notices: bool,
}

impl Fleet {
    pub fn new(gates: u8, kind: &str, servers: u8) -> Fleet {
        let numbers: Vec<u8> = (1..=gates).collect();
        let mut fleet = Fleet {
            beds: numbers.iter().map(|n| Bed::new(*n)).collect(),
            lost: vec![],
            loses_notices: false,
        };
        for bed in &mut fleet.beds {
            bed.apply(ItemKey::Document(service()), document(kind, servers).into_bytes());
        }
        fleet.set_gates(&numbers);
        fleet
    }

    /// Tells the gates which gates are up, by number from 1.
    pub fn set_gates(&mut self, numbers: &[u8]) {
        for bed in &mut self.beds {
            bed.gate.set_gates(bed.now, &peer_list(numbers), &mut bed.out);
        }
        self.deliver();
    }

    /// Passes datagrams on until none is left.
    pub fn deliver(&mut self) {
        for _ in 0..10 {
            for from in 0..self.beds.len() {
                for (to, message) in self.beds[from].peers() {
                    if self.loses_notices && matches!(message, PeerMessage::Quarantine { .. }) {
                        continue;
                    }
                    let index = (0..self.beds.len()).find(|n| peer_address(*n as u8 + 1) == to);
                    let reached = index.filter(|_| !self.lost.contains(&from));
                    if let Some(index) = reached.filter(|index| !self.lost.contains(index)) {
                        let bed = &mut self.beds[index];
                        bed.gate.handle_peer_message(
                            bed.now,
                            node(from as u8 + 1),
                            message,
                            &mut bed.out,
                        );
                    }
                }
            }
        }
    }

    /// Lets time pass at all gates.
    pub fn pass(&mut self, span: Duration) {
        for bed in &mut self.beds {
            bed.pass(span);
        }
        self.deliver();
    }
}
