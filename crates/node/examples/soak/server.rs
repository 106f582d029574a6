use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};
use serde_json::{Value, json};

use crate::checker::InvariantChecker;
use crate::http::{Message, start_listener};
use crate::proxy::Proxy;

/// Time that a server takes to run a request.
const SERVICE_TIME: Duration = Duration::from_millis(8);

/// Factor by which a server prolongs each lease, as a server with a slow clock would.
const CLOCK_SKEW_FACTOR: f64 = 1.02;

/// A stand-in for a server, behind its own proxy. It owns the keys that it was granted.
pub struct Server {
    pub name: String,
    pub service: &'static str,
    pub zone: &'static str,
    pub proxy: Proxy,
    pub is_up: AtomicBool,
    pub is_draining: AtomicBool,
    /// What the server says of itself in each answer, whatever its entry says.
    notice: Mutex<Option<Notice>>,
    /// Whether heartbeats of this server reach the store.
    pub sends_heartbeats: AtomicBool,
    /// The `born` value of the entry; a restart increments it.
    pub incarnation: AtomicU64,
    sequence: AtomicU64,
    /// Time at which the store acknowledged that the server drains or is removed.
    drain_acknowledged_at: Mutex<Option<Time>>,
    leases: Mutex<Vec<Lease>>,
}

/// What a server says of itself in each answer, and the requests that came although routers knew.
struct Notice {
    kind: NoticeKind,
    since: Time,
    late_requests: usize,
}

/// Kind of a [`Notice`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeKind {
    /// The server leaves.
    Leaving,
    /// The server turns all requests away and wants none for this time.
    Pause(Duration),
}

impl NoticeKind {
    /// Time after the first answer within which requests are on their way.
    const PAUSE_SLACK: Duration = Duration::from_millis(500);

    /// Returns whether a request of a router that knows the notice is late.
    fn is_late(self, age: Duration, drain_timeout: Duration) -> bool {
        match self {
            NoticeKind::Leaving => age > drain_timeout,
            NoticeKind::Pause(pause) => age > NoticeKind::PAUSE_SLACK && age < pause,
        }
    }
}

/// A granted range of keys, both ends included.
#[derive(Clone, Copy)]
struct Lease {
    first: u64,
    last: u64,
    fencing_token: u64,
    expires_at: Time,
}

/// All servers, with what they need to check the invariants.
pub struct Servers {
    pub all: Vec<Arc<Server>>,
    pub checker: Arc<InvariantChecker>,
    /// Maximum time after the acknowledgement in which a draining server may receive requests.
    pub drain_timeout: Duration,
    /// Maximum number of requests that a server may get although all routers have had time to learn what
    /// it says. A router that starts, or has not asked the server yet, cannot know.
    pub max_late_requests: usize,
    /// Whether no fault is active and none was recently, so every router reaches the store.
    pub is_stable: AtomicBool,
}

impl Server {
    /// Starts a server. It closes connections until `servers` is filled, once all have started.
    pub fn start(
        name: String,
        service: &'static str,
        zone: &'static str,
        servers: &Arc<Mutex<Option<Arc<Servers>>>>,
    ) -> Arc<Server> {
        let server_cell: Arc<Mutex<Option<Arc<Server>>>> = Arc::default();
        let (this_server, all) = (Arc::clone(&server_cell), Arc::clone(servers));
        let address: SocketAddr = start_listener(move |stream| {
            let this_server = this_server.lock().unwrap_or_else(PoisonError::into_inner).clone();
            let all = all.lock().unwrap_or_else(PoisonError::into_inner).clone();
            if let (Some(this_server), Some(all)) = (this_server, all) {
                this_server.serve(&all, &stream);
            }
        });
        let server = Arc::new(Server {
            name,
            service,
            zone,
            proxy: Proxy::start(address),
            is_up: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            notice: Mutex::default(),
            sends_heartbeats: AtomicBool::new(true),
            incarnation: AtomicU64::new(1_000),
            sequence: AtomicU64::new(0),
            drain_acknowledged_at: Mutex::default(),
            leases: Mutex::default(),
        });
        *server_cell.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&server));
        server
    }

    /// Returns the store entry for the next heartbeat, with an incremented sequence number.
    pub fn next_entry(&self) -> Value {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        json!({
            "service": self.service, "address": self.proxy.address, "zone": self.zone,
            "version": "v1", "slots": 4, "state": state, "warmup-left": "0ms",
            "sequence": self.sequence.fetch_add(1, Ordering::SeqCst),
            "born": self.incarnation.load(Ordering::SeqCst),
        })
    }

    /// Records that the store acknowledged an entry of this server, or its removal. A server that
    /// drains or was removed is leaving.
    pub fn record_acknowledgement(&self, is_leaving: bool) {
        let mut drain_acknowledged_at =
            self.drain_acknowledged_at.lock().unwrap_or_else(PoisonError::into_inner);
        match is_leaving {
            true => {
                drain_acknowledged_at.get_or_insert(BootClock.now());
            }
            false => *drain_acknowledged_at = None,
        }
    }

    /// Stops serving and drops all leases.
    pub fn crash(&self) {
        self.is_up.store(false, Ordering::SeqCst);
        self.leases.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Starts serving under a new incarnation, without leases.
    pub fn restart(&self) {
        self.incarnation.fetch_add(1, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        self.is_draining.store(false, Ordering::SeqCst);
        self.set_notice(None);
        self.is_up.store(true, Ordering::SeqCst);
    }

    /// Sets what the server says of itself in each answer from now on.
    pub fn set_notice(&self, kind: Option<NoticeKind>) {
        let notice = kind.map(|kind| Notice { kind, since: BootClock.now(), late_requests: 0 });
        *self.notice.lock().unwrap_or_else(PoisonError::into_inner) = notice;
    }

    /// Counts a request against the server's notice; returns the notice and the rest of a pause.
    fn apply_notice(&self, servers: &Servers) -> Option<(NoticeKind, Duration)> {
        let mut notice = self.notice.lock().unwrap_or_else(PoisonError::into_inner);
        let Notice { kind, since, late_requests } = notice.as_mut()?;
        let age = BootClock.now().since(*since);
        if kind.is_late(age, servers.drain_timeout) {
            *late_requests += 1;
            if *late_requests == servers.max_late_requests + 1 {
                servers.checker.record_violation(format!(
                    "server {} got {late_requests} requests although it said {kind:?}",
                    self.name
                ));
            }
        }
        match *kind {
            NoticeKind::Leaving => Some((*kind, Duration::ZERO)),
            NoticeKind::Pause(pause) if age < pause => Some((*kind, pause - age)),
            NoticeKind::Pause(_) => None,
        }
    }

    fn owns_key(&self, key: u64) -> bool {
        let now = BootClock.now();
        let leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        leases.iter().any(|lease| lease.first <= key && key <= lease.last && now < lease.expires_at)
    }

    fn serve(&self, servers: &Servers, stream: &TcpStream) {
        let served_incarnation = self.incarnation.load(Ordering::SeqCst);
        let Ok(read) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read);
        while let Some(request) = Message::read(&mut reader) {
            let is_same_incarnation = || {
                self.is_up.load(Ordering::SeqCst)
                    && self.incarnation.load(Ordering::SeqCst) == served_incarnation
            };
            if !is_same_incarnation() {
                return;
            }
            let (status, headers, body) = self.handle_request(servers, &request);
            if !is_same_incarnation() {
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

    fn handle_request(&self, servers: &Servers, request: &Message) -> (u16, String, String) {
        const NOT_RUN: &str = "Not-Executed: 1\r\n";
        if request.header("expected-instance") != self.name {
            return (421, NOT_RUN.to_owned(), String::new());
        }
        match request.word(1) {
            "/api/grant" => {
                return (self.handle_grant(&request.body), String::new(), String::new());
            }
            "/api/release" => {
                self.handle_release(&request.body);
                return (200, String::new(), String::new());
            }
            _ => {}
        }
        let key = request.header("shard-key").parse::<u64>().ok();
        if let Some(key) = key
            && !self.owns_key(key)
        {
            return (421, NOT_RUN.to_owned(), String::new());
        }
        let notice = match self.apply_notice(servers) {
            Some((NoticeKind::Pause(_), rest)) => {
                let headers = format!("{NOT_RUN}Retry-After: {:.3}\r\n", rest.as_secs_f64());
                return (503, headers, String::new());
            }
            Some((NoticeKind::Leaving, _)) => "Server-Leaving: 1\r\n",
            None => "",
        };
        self.check_invariants(servers, key);
        let id = request.header("request-id");
        if request.word(0) == "POST" {
            servers.checker.record_run(id, &self.name);
        }
        thread::park_timeout(SERVICE_TIME);
        (
            200,
            format!("Response-Signature: s\r\nInstance-Load: 1,0,4\r\n{notice}"),
            format!("{id} {}", request.word(1)),
        )
    }

    /// Checks at the start of a request that no other server owns its key, and that this server may
    /// still receive requests.
    fn check_invariants(&self, servers: &Servers, key: Option<u64>) {
        let now = BootClock.now();
        if let Some(key) = key {
            for other in servers.all.iter().filter(|other| other.name != self.name) {
                if other.is_up.load(Ordering::SeqCst) && other.owns_key(key) && self.owns_key(key) {
                    let (a, b) = (&self.name, &other.name);
                    servers
                        .checker
                        .record_violation(format!("servers {a} and {b} both own key {key}"));
                }
            }
        }
        let drain_acknowledged_at =
            *self.drain_acknowledged_at.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(drain_acknowledged_at) = drain_acknowledged_at
            && servers.is_stable.load(Ordering::SeqCst)
            && now.since(drain_acknowledged_at) > servers.drain_timeout
        {
            let late = now.since(drain_acknowledged_at).as_millis();
            servers.checker.record_violation(format!(
                "server {} received a request {late} ms after its drain",
                self.name
            ));
        }
    }

    /// Stores a lease and returns the status: 409 if an overlapping lease has a higher fencing token.
    fn handle_grant(&self, body: &[u8]) -> u16 {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return 400;
        };
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let (first, last, fencing_token) = (number("from"), number("target"), number("fence"));
        let hold = order["hold_time"].as_str().unwrap_or_default().trim_end_matches("ms");
        let hold =
            Duration::from_millis(hold.parse().unwrap_or_default()).mul_f64(CLOCK_SKEW_FACTOR);
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        let overlaps = |lease: &&Lease| lease.first <= last && first <= lease.last;
        if leases.iter().filter(overlaps).any(|lease| lease.fencing_token > fencing_token) {
            return 409;
        }
        remove_range(&mut leases, first, last);
        leases.push(Lease { first, last, fencing_token, expires_at: BootClock.now() + hold });
        200
    }

    fn handle_release(&self, body: &[u8]) {
        let Ok(order) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        let number = |name: &str| order[name].as_u64().unwrap_or_default();
        let mut leases = self.leases.lock().unwrap_or_else(PoisonError::into_inner);
        remove_range(&mut leases, number("from"), number("target"));
    }
}

/// Removes the keys from `first` to `last` from all leases.
fn remove_range(leases: &mut Vec<Lease>, first: u64, last: u64) {
    let mut remaining = Vec::new();
    for lease in leases.drain(..) {
        if lease.last < first || last < lease.first {
            remaining.push(lease);
            continue;
        }
        if lease.first < first {
            remaining.push(Lease { last: first - 1, ..lease });
        }
        if lease.last > last {
            remaining.push(Lease { first: last + 1, ..lease });
        }
    }
    *leases = remaining;
}
