//! The store comes back from a copy that lacks what granters have written: holds that it does not name go
//! on.

mod platform;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    FakeStore, RunningRouter, StoreCopy, StoreFront, answer_to, config, server_entry, start_router,
    start_scripted_server,
};
use serde_json::Value;
use test_case::test_case;

/// Time within which keys are served again (bound `recover`).
const RECOVER: Duration = Duration::from_secs(15);

/// What servers hold by the orders that have reached them.
#[derive(Clone, Default)]
struct Holds(Arc<Mutex<Vec<Hold>>>);

#[derive(Clone)]
struct Hold {
    server: &'static str,
    first: u64,
    last: u64,
    since: Instant,
    until: Instant,
}

impl Holds {
    /// Carries out an order; returns whether it was one.
    fn carry_out(&self, server: &'static str, line: &str, body: &[u8]) -> bool {
        if !line.contains("/api/") {
            return false;
        }
        let order: Value = serde_json::from_slice(body).unwrap();
        let (first, last) = (order["from"].as_u64().unwrap(), order["target"].as_u64().unwrap());
        let now = Instant::now();
        let mut holds = self.0.lock().unwrap();
        let before = holds.clone();
        let is_current = |hold: &Hold| {
            hold.server == server && hold.first <= last && first <= hold.last && hold.until > now
        };
        for hold in holds.iter_mut().filter(|hold| is_current(hold)) {
            hold.until = now;
        }
        // What is left of a hold on more keys.
        for hold in before.into_iter().filter(|hold| is_current(hold)) {
            if hold.first < first {
                holds.push(Hold { last: first - 1, since: now, ..hold.clone() });
            }
            if hold.last > last {
                holds.push(Hold { first: last + 1, since: now, ..hold });
            }
        }
        if line.contains("/api/grant") {
            let millis = order["hold_time"].as_str().unwrap().trim_end_matches("ms");
            let until = now + Duration::from_millis(millis.parse().unwrap());
            holds.push(Hold { server, first, last, since: now, until });
        }
        true
    }

    /// Returns for how long two servers held a key together at most.
    fn longest_overlap(&self) -> Duration {
        let holds = self.0.lock().unwrap();
        let mut longest = Duration::ZERO;
        for (at, a) in holds.iter().enumerate() {
            for b in &holds[at + 1..] {
                if a.server != b.server && a.first <= b.last && b.first <= a.last {
                    let (begin, end) = (a.since.max(b.since), a.until.min(b.until));
                    longest = longest.max(end.saturating_duration_since(begin));
                }
            }
        }
        longest
    }
}

/// A fleet with a copy of its store from before the start.
struct Fleet {
    store: FakeStore,
    copy: StoreCopy,
    routers: Vec<RunningRouter>,
    fronts: Vec<StoreFront>,
    holds: Holds,
    servers: Vec<Value>,
}

impl Fleet {
    /// Starts routers and two servers, of which the second one joins later, and waits until both own keys.
    fn start(routers: &[&str]) -> Fleet {
        let (store, _) = FakeStore::start();
        store.write("config/main", Some(config("200ms", &[("/key/", "safe", "keyed")])));
        let holds = Holds::default();
        let servers = ["i-1", "i-2"].map(|id| {
            let holds = holds.clone();
            let address = start_scripted_server(move |request, _| {
                if holds.carry_out(id, &request.request_line, &request.body) {
                    return "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_owned();
                }
                answer_to(request, 200, "Response-Signature: s\r\n", id)
            });
            server_entry("keyed", address, 4)
        });
        let copy = store.copy();
        store.write("servers/i-1", Some(servers[0].clone()));
        let mut fleet = Fleet {
            store,
            copy,
            routers: Vec::new(),
            fronts: Vec::new(),
            holds,
            servers: servers.into(),
        };
        routers.iter().for_each(|host| fleet.start_router(host));
        fleet.routers.iter().for_each(|router| wait_until_served(router.listen));
        fleet.store.write("servers/i-2", Some(fleet.servers[1].clone()));
        let has_two = || {
            let table = fleet.store.object("bay-ranges/keyed").unwrap_or_default().to_string();
            table.contains("i-1") && table.contains("i-2")
        };
        for key in (0..65_536).step_by(512).cycle() {
            request_key(fleet.routers[0].listen, key);
            if has_two() {
                break;
            }
        }
        // The granter takes two changes of the table for a move.
        thread::sleep(Duration::from_secs(1));
        fleet
    }

    fn start_router(&mut self, host: &str) {
        let (front, address) = StoreFront::start(&self.store);
        self.routers.push(start_router(host, address, &["hold-max=10s", "grace=2s"]));
        self.fronts.push(front);
    }

    /// Returns the index of the granter's router, by its record.
    fn granter(&self, hosts: &[&str]) -> usize {
        let record = self.store.object("bay-granter/leader").unwrap();
        hosts.iter().position(|host| record["host"] == **host).unwrap()
    }

    /// Restores the store; the servers write their entries again, the first one a little later.
    fn restore(&self) {
        self.store.restore(&self.copy);
        self.store.write("servers/i-2", Some(self.servers[1].clone()));
        let (store, entry) = (self.store.clone(), self.servers[0].clone());
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(1_500));
            store.write("servers/i-1", Some(entry));
        });
    }
}

/// Sends a request for a key; returns whether it was served.
fn request_key(router: SocketAddr, key: u32) -> bool {
    let mut stream = TcpStream::connect(router).unwrap();
    let head = "GET /key/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nConnection: close\r\n";
    stream.write_all(format!("{head}Shard-Key: {key}\r\n\r\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer.starts_with("HTTP/1.1 200")
}

/// Waits until a router serves a sample of the keys.
fn wait_until_served(router: SocketAddr) {
    while !(0..65_536).step_by(4_096).all(|key| request_key(router, key)) {
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against two owners of a key: a router that finds no record of a granter, and no table, after the
/// store was restored takes the keys for free.
#[test_case(1_500; "the granter reaches the store soon after the others")]
#[test_case(6_000; "the granter reaches the store late")]
fn a_router_that_reaches_a_restored_store_first_grants_no_held_keys(cut_ms: u64) {
    let hosts = ["h1", "h2", "h3", "h4"];
    let fleet = Fleet::start(&hosts);
    let granter = fleet.granter(&hosts);
    fleet.fronts[granter].hold_kind("");
    fleet.restore();
    let restored_at = Instant::now();
    thread::sleep(Duration::from_millis(cut_ms));
    fleet.fronts[granter].release();
    thread::sleep((restored_at + Duration::from_secs(8)).saturating_duration_since(Instant::now()));
    fleet.routers.iter().for_each(|router| wait_until_served(router.listen));
    assert!(restored_at.elapsed() < RECOVER, "served after {:?}", restored_at.elapsed());
    let overlap = fleet.holds.longest_overlap();
    assert!(overlap < Duration::from_millis(500), "two servers held a key for {overlap:?}");
}

/// Guards against two owners of a key: a process that has just started takes a copy from before the
/// system's start for the first start.
#[test]
fn a_router_that_starts_beside_a_restored_store_grants_no_held_keys() {
    let hosts = ["h1", "h2"];
    let mut fleet = Fleet::start(&hosts);
    let granter = fleet.granter(&hosts);
    // The granter stops while its record cannot be written.
    fleet.fronts.iter().for_each(|front| front.hold_kind(""));
    fleet.routers[granter].stop.send_blocking(()).unwrap();
    assert!(fleet.routers[granter].stopped.recv().is_err(), "the channel closes at the end");
    fleet.restore();
    let restored_at = Instant::now();
    fleet.start_router("h3");
    thread::sleep(Duration::from_secs(5));
    let other = 1 - granter;
    fleet.fronts[other].release();
    wait_until_served(fleet.routers[other].listen);
    wait_until_served(fleet.routers[2].listen);
    assert!(
        restored_at.elapsed() < RECOVER + Duration::from_secs(5),
        "{:?}",
        restored_at.elapsed()
    );
    let overlap = fleet.holds.longest_overlap();
    assert!(overlap < Duration::from_millis(500), "two servers held a key for {overlap:?}");
}
