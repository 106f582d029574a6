//! Stand-ins for the platform: its object store, and servers that accept grants.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the stand-ins")]

mod running_router;
mod store_front;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

pub use running_router::{
    RunningRouter, settings_json, start_router, start_router_in_zone, start_router_with_contracts,
    start_router_with_memory,
};
pub use store_front::StoreFront;

/// A request to a stand-in. The names of its headers are in lower case.
pub struct Request {
    pub request_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads a request. Returns `None` if the connection fails, or closes before the request line or
/// within the body. If it closes within the headers, these count as complete.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let request = read_head(reader)?;
    let length = request.headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Request { body, ..request })
}

/// Like [`read_request`], up to the body, which is empty in the result.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let Some((name, value)) = header.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    Some(Request { request_line: line.trim().to_owned(), headers, body: Vec::new() })
}

/// Starts a server that runs `serve` for each connection, and returns its address.
pub fn start_raw_server<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

impl StoreCopy {
    /// Removes an object from the copy.
    pub fn remove(&mut self, key: &str) {
        self.objects.remove(key);
    }
}

/// A stand-in for the platform's object store. Replacing an object requires its current revision.
#[derive(Clone, Default)]
pub struct FakeStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// The revision and the value of each object, by key.
    objects: BTreeMap<String, (u64, Value)>,
    /// The watch history: revision, key and new value, or `None` for a removal.
    events: Vec<(u64, String, Option<Value>)>,
    /// Number of lists so far, by kind of object.
    lists: BTreeMap<String, usize>,
    /// Number of restorations from a copy.
    restorations: u64,
    /// Revision from which the watch history goes back no further.
    history_from: u64,
}

/// A copy of the store's objects.
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<String, (u64, Value)>,
}

impl FakeStore {
    /// Starts the store and returns its address.
    pub fn start() -> (FakeStore, SocketAddr) {
        let store = FakeStore::default();
        let shared = store.clone();
        let address = start_raw_server(move |stream| shared.serve(&stream));
        (store, address)
    }

    /// Writes an object, or removes it if `spec` is `None`. Returns the new revision of the store.
    pub fn write(&self, key: &str, spec: Option<Value>) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &spec {
            Some(spec) => state.objects.insert(key.to_owned(), (revision, spec.clone())),
            None => state.objects.remove(key),
        };
        state.events.push((revision, key.to_owned(), spec));
        changed.notify_all();
        revision
    }

    /// Copies all objects.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.0.lock().unwrap();
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Puts the store back to a copy. Revisions since are given out again.
    pub fn restore(&self, copy: &StoreCopy) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision = copy.revision;
        state.objects = copy.objects.clone();
        state.events.clear();
        state.history_from = copy.revision;
        state.restorations += 1;
        changed.notify_all();
    }

    /// Returns the header that tells the store's era.
    fn era_header(&self) -> String {
        format!("Store-Era: {}\r\n", self.state.0.lock().unwrap().restorations + 1)
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            if (&mut &*stream).write_all(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    /// Carries out a request; returns the encoded answer.
    pub fn answer(&self, request: &Request) -> Vec<u8> {
        let (status, body) = self.handle_request(request);
        let body = with_unreadable_parts(&body.to_string());
        let (era, length) = (self.era_header(), body.len());
        let head = format!("HTTP/1.1 {status} X\r\n{era}Content-Length: {length}\r\n\r\n");
        [head.into_bytes(), body].concat()
    }

    fn handle_request(&self, request: &Request) -> (u16, Value) {
        let mut words = request.request_line.split(' ');
        let (method, target) = (words.next().unwrap(), words.next().unwrap());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let key = path.trim_start_matches("/api/objects/");
        let number = |name: &str| {
            let value = query.split('&').find_map(|pair| pair.strip_prefix(name));
            value.and_then(|text| text.parse::<u64>().ok())
        };
        match (method, key.contains('/')) {
            ("GET", true) => self.get(key),
            ("GET", false) => match number("watch=") {
                Some(since) => self.watch(key, since, number("wait-ms=").unwrap_or(0)),
                None => self.list(key),
            },
            _ => self.put(key, &serde_json::from_slice(&request.body).unwrap()),
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap();
        match state.objects.get(key) {
            Some((revision, spec)) => (200, object_json(key, *revision, Some(spec))),
            None => (404, Value::Null),
        }
    }

    /// Returns the value of an object.
    pub fn object(&self, key: &str) -> Option<Value> {
        self.state.0.lock().unwrap().objects.get(key).map(|(_, value)| value.clone())
    }

    /// Returns how many lists of a kind of objects were requested.
    pub fn list_count(&self, kind: &str) -> usize {
        self.state.0.lock().unwrap().lists.get(kind).copied().unwrap_or(0)
    }

    fn list(&self, kind: &str) -> (u16, Value) {
        let mut state = self.state.0.lock().unwrap();
        *state.lists.entry(kind.to_owned()).or_default() += 1;
        let of_kind = state.objects.iter().filter(|(key, _)| key.starts_with(&format!("{kind}/")));
        let items: Vec<Value> = of_kind
            .map(|(key, (revision, spec))| object_json(key, *revision, Some(spec)))
            .collect();
        (200, json!({"items": items, "has-more": false, "as-of": state.revision}))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let (state, changed) = &*self.state;
        let prefix = format!("{kind}/");
        let is_newer = |(revision, key, _): &&(u64, String, Option<Value>)| {
            *revision > since && key.starts_with(&prefix)
        };
        let state = state.lock().unwrap();
        let wait = Duration::from_millis(wait_ms);
        let is_gone = |state: &StoreState| since > state.revision || since < state.history_from;
        let (state, _) = changed
            .wait_timeout_while(state, wait, |state| {
                !is_gone(state) && !state.events.iter().any(|e| is_newer(&e))
            })
            .unwrap();
        if is_gone(&state) {
            return (410, Value::Null);
        }
        let events: Vec<Value> = state
            .events
            .iter()
            .filter(is_newer)
            .map(|(revision, key, spec)| {
                json!({"deleted": spec.is_none(),
                       "object": object_json(key, *revision, spec.as_ref())})
            })
            .collect();
        (200, json!({"events": events, "as-of": state.revision}))
    }

    fn put(&self, key: &str, body: &Value) -> (u16, Value) {
        let name = body["metadata"]["name"].as_str().unwrap();
        let key = if key.contains('/') { key.to_owned() } else { format!("{key}/{name}") };
        let expected = body["metadata"]["revision"].as_u64();
        {
            let state = self.state.0.lock().unwrap();
            match state.objects.get(&key) {
                Some((revision, spec)) if expected != Some(*revision) => {
                    return (409, object_json(&key, *revision, Some(spec)));
                }
                None if expected.is_some() => return (404, Value::Null),
                _ => {}
            }
        }
        let revision = self.write(&key, Some(body["spec"].clone()));
        (200, object_json(&key, revision, Some(&body["spec"])))
    }
}

/// Stands for a value in 200,000 lists, one within the other.
pub const DEEPLY_NESTED: &str = "@deeply-nested@";

/// Stands for a number that no type of number can hold.
pub const HUGE_NUMBER: &str = "@huge-number@";

/// Stands for bytes that are no text.
pub const NO_TEXT: &str = "@no-text@";

/// Replaces the stand-ins for what a JSON value of the test cannot be.
fn with_unreadable_parts(body: &str) -> Vec<u8> {
    const DEPTH: usize = 200_000;
    let quoted = |text: &str| format!("\"{text}\"");
    let nested = || "[".repeat(DEPTH) + &"]".repeat(DEPTH);
    let body = match body.contains(DEEPLY_NESTED) {
        true => body.replace(&quoted(DEEPLY_NESTED), &nested()),
        false => body.to_owned(),
    };
    let body = body.replace(&quoted(HUGE_NUMBER), "1e999").into_bytes();
    let mut out = Vec::with_capacity(body.len());
    let mut rest = body.as_slice();
    let mark = NO_TEXT.as_bytes();
    while let Some(at) = rest.windows(mark.len()).position(|part| part == mark) {
        out.extend_from_slice(&rest[..at]);
        out.extend_from_slice(b"\xff\xfe");
        rest = &rest[at + mark.len()..];
    }
    out.extend_from_slice(rest);
    out
}

fn object_json(key: &str, revision: u64, spec: Option<&Value>) -> Value {
    let (_, name) = key.split_once('/').unwrap();
    json!({"metadata": {"name": name, "revision": revision}, "spec": spec, "status": null})
}

/// Number of connections of servers with [`ServerBehavior::Endless`] that the other side has closed.
pub static ENDLESS_CLOSED: AtomicU64 = AtomicU64::new(0);

/// Writes a head, then portions of repeated text until the other side closes the connection. The
/// pauses let many such answers grow evenly.
fn write_endlessly(mut stream: &TcpStream, head: &str, rest: &str) {
    let portion = rest.repeat(131_072 / rest.len() + 1);
    let mut result = stream.write_all(head.as_bytes());
    while result.is_ok() {
        result = stream.write_all(portion.as_bytes());
        thread::sleep(Duration::from_millis(50));
    }
    ENDLESS_CLOSED.fetch_add(1, Ordering::Relaxed);
}

/// Returns a configuration with routes of the host `shop`, each with its path prefix, type and service,
/// and with the services `pool` and `keyed`. Requests have 5 s and this latency objective.
pub fn config(objective: &str, routes: &[(&str, &str, &str)]) -> Value {
    let row = |(prefix, kind, service): &(&str, &str, &str)| {
        json!([prefix, "shop", prefix, kind, "5s", objective, 1, 2, service])
    };
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": routes.iter().map(row).collect::<Vec<_>>(),
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "warmup", "warmup-per-s", "sharded"],
            "rows": [["pool", "/health", 150, "3s", 5.0, null],
                     ["keyed", "/health", 150, "3s", 5.0, true]],
        },
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 100_000,
                   "header-timeout": "3s", "idle-timeout": "15s"},
    })
}

/// Returns the entry of a ready, warm server.
pub fn server_entry(service: &str, address: SocketAddr, slots: usize) -> Value {
    json!({"service": service, "address": address, "zone": "a", "version": "v1", "slots": slots,
           "state": "ready", "warmup-left": "0ms", "sequence": 1, "born": 1})
}

/// Sends a request with the identifier `q` and the key 77; returns the head of the response by lines.
pub fn request_head(address: SocketAddr, method: &str, path: &str) -> Vec<String> {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nShard-Key: 77\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    lines.take_while(|line| !line.is_empty()).collect()
}

/// Like [`request_head`]; returns the status.
pub fn request_status(address: SocketAddr, method: &str, path: &str) -> u16 {
    request_head(address, method, path)[0].split(' ').nth(1).unwrap().parse().unwrap()
}

/// Sends a GET request with the identifier `q` and the key 77; returns the status and the body.
pub fn request_body(address: SocketAddr, path: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nShard-Key: 77\r\n\
         Connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, body.to_owned())
}

/// How a server responds to requests.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum ServerBehavior {
    /// Responds with its name, the path and the length of the body.
    Echo,
    /// Closes the connection before the declared length of the body is sent.
    Truncated,
    /// Sends a response to another request first, then the right one.
    Mismatched,
    /// Sends a body without a length, which ends when the connection closes.
    UntilClose,
    /// Refuses and reports that the request did not run.
    NotExecuted,
    /// Responds after 400 ms.
    Delayed,
    /// Like `Echo`, but names a limit of two requests per second from all routers.
    RateLimited,
    /// Sends this forever, whatever the request is.
    Endless(&'static str, &'static str),
    /// Never responds to a request. Orders are still acknowledged.
    Silent,
    /// Like `Echo`, but a copy of the last acknowledgement of an order precedes the next response on
    /// its connection.
    RepeatsOrders,
}

/// Starts a server that sends what `answer` returns for each request and its index on the connection,
/// and returns its address. An empty answer closes the connection.
pub fn start_scripted_server<F>(answer: F) -> SocketAddr
where
    F: Fn(&Request, usize) -> String + Clone + Send + 'static,
{
    start_raw_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut index = 0;
        while let Some(request) = read_request(&mut reader) {
            let text = answer(&request, index);
            index += 1;
            if text.is_empty() || (&mut &stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    })
}

/// Returns an answer that names its request, with these headers, each of which ends its line.
pub fn answer_to(request: &Request, status: u16, headers: &str, body: &str) -> String {
    let id = request.headers.get("request-id").map_or("", String::as_str);
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\n{headers}Content-Length: {length}\r\n\r\n{body}"
    )
}

/// Starts a server that accepts grants and requests, and returns its address. `id` is its name.
pub fn start_server(id: &'static str, behavior: ServerBehavior) -> SocketAddr {
    start_raw_server(move |stream| serve_requests(&stream, id, behavior))
}

fn serve_requests(stream: &TcpStream, id: &str, behavior: ServerBehavior) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut late_copy = String::new();
    while let Some(request) = read_request(&mut reader) {
        let path = request.request_line.split(' ').nth(1).unwrap().to_owned();
        let request_id = request.headers.get("request-id").cloned().unwrap_or_default();
        let response = |status: u16, headers: &str, body: &str, length: usize| {
            format!(
                "HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{headers}\
                 Content-Length: {length}\r\n\r\n{body}"
            )
        };
        let signed_headers = "Response-Signature: s\r\nInstance-Load: 1,0,4\r\n";
        let body = format!("{id} {path} {}", request.body.len());
        let expected = request.headers.get("expected-instance").map(String::as_str);
        let (text, closes_connection) = match behavior {
            _ if expected != Some(id) => (response(421, "Not-Executed: 1\r\n", "", 0), false),
            ServerBehavior::RepeatsOrders if path.starts_with("/api/") => {
                late_copy = "HTTP/1.1 409 X\r\nContent-Length: 0\r\n\r\n".to_owned();
                ("HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_owned(), false)
            }
            ServerBehavior::RepeatsOrders => {
                let answer = response(200, signed_headers, &body, body.len());
                (std::mem::take(&mut late_copy) + &answer, false)
            }
            _ if path.starts_with("/api/") => (response(200, "", "", 0), false),
            ServerBehavior::Echo => (response(200, signed_headers, &body, body.len()), false),
            ServerBehavior::RateLimited => {
                let headers = format!("{signed_headers}Server-Limit: 2.0\r\n");
                (response(200, &headers, &body, body.len()), false)
            }
            ServerBehavior::Endless(head, rest) => return write_endlessly(stream, head, rest),
            ServerBehavior::Silent => continue,
            ServerBehavior::Delayed => {
                thread::sleep(Duration::from_millis(400));
                (response(200, signed_headers, &body, body.len()), false)
            }
            ServerBehavior::Truncated => {
                (response(200, signed_headers, &body, body.len() + 50), true)
            }
            ServerBehavior::NotExecuted => (response(503, "Not-Executed: 1\r\n", "", 0), false),
            ServerBehavior::Mismatched => {
                let unrelated = "HTTP/1.1 200 X\r\nRequest-Id: other\r\nResponse-Signature: s\r\n\
                             Content-Length: 5\r\n\r\nother";
                (format!("{unrelated}{}", response(200, signed_headers, &body, body.len())), false)
            }
            ServerBehavior::UntilClose => (
                format!("HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\n{signed_headers}\r\n{body}"),
                true,
            ),
        };
        if (&mut &*stream).write_all(text.as_bytes()).is_err() || closes_connection {
            return;
        }
    }
}
