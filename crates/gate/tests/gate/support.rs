//! A harness for a gate on virtual time, with builders for request heads, documents and items.

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

/// The head of a test request.
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

    pub fn with_header(mut self, name: &'static str, value: &str) -> Head {
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

/// An attempt that the gate started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    pub call: CallId,
    pub attempt: AttemptId,
    pub to: SocketAddr,
    pub token: Option<Token>,
    pub fresh: bool,
}

/// A gate on virtual time and the actions that it returned.
pub struct GateHarness {
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

/// Returns a document with servers 1 to `servers`, each in a zone of its own.
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

impl GateHarness {
    /// Creates a gate whose list of live gates contains only itself.
    pub fn with_gate_list(number: u8) -> GateHarness {
        let mut harness = GateHarness::without_gate_list(number);
        harness.gate.set_gates(harness.now, &peer_list(&[number]), &mut harness.out);
        harness
    }

    /// Creates a gate that has no list of live gates yet.
    pub fn without_gate_list(number: u8) -> GateHarness {
        let config = GateConfig { node: node(number), zone: zone(1), seed: u64::from(number) };
        let now = Time::from_millis(1_000);
        GateHarness { gate: Gate::new(config), now, out: Vec::new(), version: 0 }
    }

    /// Creates a gate with one service.
    pub fn with_service(kind: &str, servers: u8) -> GateHarness {
        let mut harness = GateHarness::with_gate_list(1);
        harness.apply(ItemKey::Document(service()), document(kind, servers).into_bytes());
        harness
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

    /// Assigns all slices to a server, or to none, under a token.
    pub fn assign_slices(&mut self, server: Option<u8>, token: u64) -> ApplyResult {
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

    /// Sends an attempt and forwards its whole answer.
    pub fn complete(&mut self, sent: Sent) {
        self.may_send(sent);
        self.answer(sent, None);
        self.event(sent.call, Event::Completed { attempt: sent.attempt });
    }

    /// Completes enough requests of 10 ms each for the pool to derive a hedge delay.
    pub fn warm_up(&mut self) {
        for _ in 0..100 {
            self.get("/");
            let sent = self.expect_attempt();
            self.may_send(sent);
            self.advance(Duration::from_millis(10));
            self.complete(sent);
            self.out.clear();
        }
        self.drain_count("attempt.started");
    }

    pub fn fail(&mut self, sent: Sent, failure: AttemptFailure) {
        let attempt = sent.attempt;
        self.event(sent.call, Event::Failed { attempt, failure, replayable: true });
    }

    /// Advances time, with a tick at each deadline on the way.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.gate.next_deadline().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.gate.tick(self.now, &mut self.out);
        }
        self.now = end;
        self.gate.tick(self.now, &mut self.out);
    }

    /// Removes and returns the attempts started since the last call.
    pub fn drain_attempts(&mut self) -> Vec<Sent> {
        let (attempts, rest) = std::mem::take(&mut self.out)
            .into_iter()
            .partition(|action| matches!(action, Action::StartAttempt { .. }));
        self.out = rest;
        attempts.into_iter().filter_map(sent).collect()
    }

    /// Removes and returns the only attempt started since the last call.
    ///
    /// # Panics
    ///
    /// Panics if there was none or more than one.
    pub fn expect_attempt(&mut self) -> Sent {
        let attempts = self.drain_attempts();
        assert_eq!(attempts.len(), 1, "{attempts:?} {:?}", self.out);
        attempts[0]
    }

    /// Returns the error kind that a request was refused with, if it was.
    pub fn refusal(&self, id: CallId) -> Option<ErrorKind> {
        self.out.iter().find_map(|action| match action {
            Action::Refuse { call, kind, .. } if *call == id => Some(*kind),
            _ => None,
        })
    }

    /// Removes and returns the datagrams to other gates.
    pub fn drain_datagrams(&mut self) -> Vec<(SocketAddr, PeerMessage)> {
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

    /// Resets all counters and returns the count of one of them.
    pub fn drain_count(&mut self, name: &str) -> u64 {
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

/// Returns a list of live gates with these numbers.
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

/// A cluster of gates with one service that exchange datagrams without delay.
pub struct Cluster {
    pub harnesses: Vec<GateHarness>,
    /// Gates that are cut off: their datagrams in both directions are dropped.
    pub lost: Vec<usize>,
    /// Whether to drop notices about crashing requests.
    pub drops_notices: bool,
}

impl Cluster {
    pub fn new(gates: u8, kind: &str, servers: u8) -> Cluster {
        let numbers: Vec<u8> = (1..=gates).collect();
        let mut cluster = Cluster {
            harnesses: numbers.iter().map(|n| GateHarness::with_gate_list(*n)).collect(),
            lost: vec![],
            drops_notices: false,
        };
        for harness in &mut cluster.harnesses {
            harness.apply(ItemKey::Document(service()), document(kind, servers).into_bytes());
        }
        cluster.set_gates(&numbers);
        cluster
    }

    /// Sets the list of live gates at all gates, by number from 1.
    pub fn set_gates(&mut self, numbers: &[u8]) {
        for harness in &mut self.harnesses {
            harness.gate.set_gates(harness.now, &peer_list(numbers), &mut harness.out);
        }
        self.deliver();
    }

    /// Delivers datagrams, and those sent in response, for up to ten rounds.
    pub fn deliver(&mut self) {
        for _ in 0..10 {
            for from in 0..self.harnesses.len() {
                for (to, message) in self.harnesses[from].drain_datagrams() {
                    if self.drops_notices && matches!(message, PeerMessage::Quarantine { .. }) {
                        continue;
                    }
                    let index =
                        (0..self.harnesses.len()).find(|n| peer_address(*n as u8 + 1) == to);
                    let reached = index.filter(|_| !self.lost.contains(&from));
                    if let Some(index) = reached.filter(|index| !self.lost.contains(index)) {
                        let harness = &mut self.harnesses[index];
                        harness.gate.handle_peer_message(
                            harness.now,
                            node(from as u8 + 1),
                            message,
                            &mut harness.out,
                        );
                    }
                }
            }
        }
    }

    /// Advances time at all gates.
    pub fn advance(&mut self, span: Duration) {
        for harness in &mut self.harnesses {
            harness.advance(span);
        }
        self.deliver();
    }
}
