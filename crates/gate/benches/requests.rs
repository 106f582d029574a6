//! Cost of the gate's decisions for a request at 64 Ki slices, compared with a lookup of its key.

use std::collections::HashMap;
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bay_call::{Action, CallId, Event, RequestHead};
use bay_conf::Method;
use bay_gate::{Gate, GateConfig, GateLimits};
use bay_time::Time;
use bay_types::{HostName, KeyHash, NodeId, ServiceName, SliceId, Token, ZoneName};
use bay_wire::{Item, ItemKey, ItemVersion, RouteRow, Routes, encode};
use criterion::Criterion;

const SLICES: u32 = 65_536;
const SERVERS: u8 = 17;
const KEYS: usize = 10_000;
/// Requests per second of one node at the target size: 1.6 million over 780 nodes.
const REQUESTS_PER_SECOND: f64 = 1_600_000.0 / 780.0;
/// Maximum share of a core for decisions at that rate.
const CORE_SHARE: f64 = 0.017;
/// Number of requests in flight while memory is measured.
const HELD: usize = 50_000;

struct Head {
    method: Method,
    path: String,
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

    fn header(&self, _name: &str) -> Option<&str> {
        None
    }
}

struct Bench {
    gate: Gate,
    now: Time,
    out: Vec<Action>,
    heads: Vec<Head>,
    next: usize,
}

impl Bench {
    fn new(kind: &str) -> Bench {
        Bench::with_routes(kind, routes())
    }

    fn with_routes(kind: &str, routes: Vec<u8>) -> Bench {
        let node = NodeId::of(HostName::new("entry-1").unwrap());
        let zone = ZoneName::new("z1").unwrap();
        let mut gate = Gate::new(GateConfig { node, zone, seed: 1 });
        let service = ServiceName::new("jobs").unwrap();
        let mut out = Vec::new();
        let body = document(kind).into_bytes();
        let document = ItemKey::Document(service);
        for (key, body) in [(document, body), (ItemKey::Routes(service, zone), routes)] {
            let version = ItemVersion { major: 1, minor: 0 };
            gate.apply(Time::ZERO, &Item { key, version, base: None, body }, &mut out);
        }
        gate.set_limits(GateLimits { max_calls: HELD * 2, max_waiting: HELD * 2 });
        let head = |job| Head { method: Method::Get, path: format!("/jobs/{job}") };
        let heads = (0..KEYS).map(head).collect();
        Bench { gate, now: Time::from_millis(1), out, heads, next: 0 }
    }

    fn begin(&mut self) -> CallId {
        self.next = (self.next + 1) % KEYS;
        self.gate.begin_call(self.now, &self.heads[self.next], &mut self.out)
    }

    /// Runs one request from its head to its complete answer.
    fn request(&mut self) {
        self.out.clear();
        self.now += Duration::from_micros(100);
        let call = self.begin();
        let started = self.out.iter().find_map(|action| match action {
            Action::StartAttempt { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let attempt = started.expect("expected an attempt at one of the idle targets");
        assert!(self.gate.may_send(self.now, call, attempt));
        self.now += Duration::from_micros(100);
        let answered = Event::Answered { attempt, status: 200, not_run: None, load: None };
        self.gate.handle_event(self.now, call, answered, &mut self.out);
        self.gate.handle_event(self.now, call, Event::Completed { attempt }, &mut self.out);
        black_box(self.gate.next_deadline());
        self.gate.tick(self.now, &mut self.out);
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn document(kind: &str) -> String {
    let keys = format!("[keys]\npath = /jobs/{{key}}\nslices = {SLICES}\nfenced = yes\n");
    let keys = if kind == "keyed" { keys } else { String::new() };
    let mut text = format!(
        "[service]\nname = jobs\nhosts = jobs.example\nkind = {kind}\n{keys}\
         [limits]\nslots = 4\nconnections = 110\n"
    );
    for number in 0..SERVERS {
        let address = address(number);
        text += &format!("[server s{number}]\naddress = {address}\nzone = z1\n");
    }
    text
}

fn routes() -> Vec<u8> {
    let row = |slice| {
        let server = Some((slice % u32::from(SERVERS)) as u16);
        RouteRow { slice: SliceId(slice), token: Token(1), server }
    };
    let rows = (0..SLICES).map(row).collect();
    let servers = (0..SERVERS).map(address).collect();
    encode(&Routes { servers, rows, hot: Vec::new() }).unwrap()
}

/// Returns the resident memory of the process in bytes.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: usize = text.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

fn report_memory() {
    // Without routes, each request waits for an owner.
    let mut bench = Bench::with_routes("keyed", Vec::new());
    let before = resident();
    for _ in 0..HELD {
        bench.begin();
    }
    assert_eq!(bench.gate.in_flight(), HELD);
    let bytes = resident().saturating_sub(before) / HELD;
    println!("memory of a request that waits: {bytes} bytes, {HELD} held");
}

fn check_core_share() {
    const REQUESTS: u32 = 200_000;
    for kind in ["keyed", "pooled"] {
        let mut bench = Bench::new(kind);
        let start = Instant::now();
        for _ in 0..REQUESTS {
            bench.request();
        }
        let each = start.elapsed() / REQUESTS;
        let share = each.as_secs_f64() * REQUESTS_PER_SECOND;
        println!("{kind}: {each:?} a request, {:.2}% of a core", share * 100.0);
        assert!(share <= CORE_SHARE, "expected at most {CORE_SHARE} of a core, found {share}");
    }
}

fn bench_key_look_up(c: &mut Criterion) {
    let heads = Bench::new("keyed").heads;
    let owners: HashMap<KeyHash, SocketAddr> = heads
        .iter()
        .map(|head| (KeyHash::of(head.path.as_bytes()), address(head.path.len() as u8)))
        .collect();
    let mut next = 0;
    c.bench_function("bare look-up of a key's owner", |b| {
        b.iter(|| {
            next = (next + 1) % KEYS;
            black_box(owners.get(&KeyHash::of(heads[next].path.as_bytes())))
        });
    });
}

fn main() {
    report_memory();
    check_core_share();
    let mut criterion = Criterion::default().configure_from_args();
    bench_key_look_up(&mut criterion);
    for kind in ["keyed", "pooled"] {
        let mut bench = Bench::new(kind);
        criterion.bench_function(&format!("{kind} request, begun to completed"), |b| {
            b.iter(|| bench.request());
        });
    }
    criterion.final_summary();
}
