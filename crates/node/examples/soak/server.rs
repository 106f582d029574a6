use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};
use serde_json::{Value, json};

use crate::http::{Message, listen};
use crate::ledger::Ledger;
use crate::proxy::Proxy;

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(8);

/// How much longer than told a server holds keys, as its clock may be slow.
const SLOW_CLOCK: f64 = 1.02;

/// A server that owns keys, behind a proxy of its own.
pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub proxy: Proxy,
    pub up: AtomicBool,
    pub draining: AtomicBool,
    /// Whether its heartbeats reach the store.
    pub listed: AtomicBool,
    pub started: AtomicU64,
    sequence: AtomicU64,
    /// When the store acknowledged that it leaves.
    left_at: Mutex<Option<Time>>,
    holds: Mutex<Vec<Hold>>,
}

#[derive(Clone, Copy)]
struct Hold {
    first: u64,
    last: u64,
    fence: u64,
    until: Time,
}

/// All servers, and what they find out about each other.
pub struct Servers {
    pub all: Vec<Arc<Server>>,
    pub ledger: Arc<Ledger>,
    /// Longest time after the acknowledgement in which a leaving server may get requests.
    pub drain: Duration,
    /// Whether every router reaches the store and has done so for a while.
    pub calm: AtomicBool,
}

impl Server {
    /// Starts a server; `servers` is filled once all have started.
    pub fn start(
        name: String,
        service: &'static str,
        zone: &'static str,
        servers: &Arc<Mutex<Option<Arc<Servers>>>>,
    ) -> Arc<Server> {
        let slot: Arc<Mutex<Option<Arc<Server>>>> = Arc::default();
        let (own, all) = (Arc::clone(&slot), Arc::clone(servers));
        let address: SocketAddr = listen(move |stream| {
            let own = own.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let all = all.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if let (Some(own), Some(all)) = (own, all) {
                own.serve(&all, &stream);
            }
        });
        let server = Arc::new(Server {
            name,
            service,
            zone,
            proxy: Proxy::start(address),
            up: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            listed: AtomicBool::new(true),
            started: AtomicU64::new(1_000),
            sequence: AtomicU64::new(0),
            left_at: Mutex::default(),
            holds: Mutex::default(),
        });
        *slot.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&server));
        server
    }

    /// What it writes to the store with its next heartbeat.
    pub fn entry(&self) -> Value {
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        json!({
            "service": self.service, "address": self.proxy.address, "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "warmup-left": "0ms",
            "sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
            "born": self.started.load(Ordering::SeqCst),
        })
    }

    /// Takes note that the store has acknowledged its leaving, or that it is back.
    pub fn acknowledged(&self, leaving: bool) {
        let mut left_at = self.left_at.lock().unwrap_or_else(PoisonError::into_inner);
        match leaving {
            true => {
                left_at.get_or_insert(BootClock.now());
            }
            false => *left_at = None,
        }
    }

    /// Ends the present life; the next one holds and knows nothing.
    pub fn crash(&self) {
        self.up.store(false, Ordering::SeqCst);
        self.holds.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Starts another life.
    pub fn restart(&self) {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.draining.store(false, Ordering::SeqCst);
        self.up.store(true, Ordering::SeqCst);
    }

    fn holds_key(&self, key: u64) -> bool {
        let now = BootClock.now();
        let holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        holds.iter().any(|hold| hold.first <= key && key <= hold.last && now < hold.until)
    }

    fn serve(&self, servers: &Servers, stream: &TcpStream) {
        let life = self.started.load(Ordering::SeqCst);
        let Ok(read) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read);
        while let Some(request) = Message::read(&mut reader) {
            let alive =
                || self.up.load(Ordering::SeqCst) && self.started.load(Ordering::SeqCst) == life;
            if !alive() {
                return;
            }
            let (status, headers, body) = self.answer(servers, &request);
            if !alive() {
                return;
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nRequest-Id: {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                request.header("request-id"),
                body.len()
            );
            if (&mut &*stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, servers: &Servers, request: &Message) -> (u16, &'static str, String) {
        const NOT_RUN: &str = "Not-Executed: 1\r\n";
        if request.header("expected-instance") != self.name {
            return (421, NOT_RUN, String::new());
        }
        match request.word(1) {
            "/api/grant" => return (self.grant(&request.body), "", String::new()),
            "/api/release" => {
                self.release(&request.body);
                return (200, "", String::new());
            }
            _ => {}
        }
        let key = request.header("shard-key").parse::<u64>().ok();
        if let Some(key) = key
            && !self.holds_key(key)
        {
            return (421, NOT_RUN, String::new());
        }
        self.check(servers, key);
        let id = request.header("request-id");
        if request.word(0) == "POST" {
            servers.ledger.begin_once(id, &self.name);
        }
        thread::park_timeout(WORK);
        (
            200,
            "Response-Signature: s\r\nInstance-Load: 1,0,4\r\n",
            format!("{id} {}", request.word(1)),
        )
    }

    /// Checks what must hold when a request begins.
    fn check(&self, servers: &Servers, key: Option<u64>) {
        let now = BootClock.now();
        if let Some(key) = key {
            for other in servers.all.iter().filter(|other| other.name != self.name) {
                if other.up.load(Ordering::SeqCst) && other.holds_key(key) && self.holds_key(key) {
                    let (a, b) = (&self.name, &other.name);
                    servers.ledger.broken(format!("{a} and {b} hold key {key}"));
                }
            }
        }
        let left_at = *self.left_at.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(left_at) = left_at
            && servers.calm.load(Ordering::SeqCst)
            && now.since(left_at) > servers.drain
        {
            let late = now.since(left_at).as_millis();
            servers.ledger.broken(format!("{} got a request {late} ms after it left", self.name));
        }
    }

    fn grant(&self, body: &[u8]) -> u16 {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return 400;
        };
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let (first, last, fence) = (number("from"), number("target"), number("fence"));
        let hold = order["hold_time"].as_str().unwrap_or_default().trim_end_matches("ms");
        let hold = Duration::from_millis(hold.parse().unwrap_or_default()).mul_f64(SLOW_CLOCK);
        let mut holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        let overlaps = |hold: &&Hold| hold.first <= last && first <= hold.last;
        if holds.iter().filter(overlaps).any(|hold| hold.fence > fence) {
            return 409;
        }
        remove(&mut holds, first, last);
        holds.push(Hold { first, last, fence, until: BootClock.now() + hold });
        200
    }

    fn release(&self, body: &[u8]) {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let mut holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        remove(&mut holds, number("from"), number("target"));
    }
}

fn remove(holds: &mut Vec<Hold>, first: u64, last: u64) {
    let mut kept = Vec::new();
    for hold in holds.drain(..) {
        if hold.last < first || last < hold.first {
            kept.push(hold);
            continue;
        }
        if hold.first < first {
            kept.push(Hold { last: first - 1, ..hold });
        }
        if hold.last > last {
            kept.push(Hold { first: last + 1, ..hold });
        }
    }
    *holds = kept;
}
