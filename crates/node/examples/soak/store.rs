use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{Message, start_listener};

/// Maximum number of objects on one page of a list.
const PAGE_SIZE: usize = 3;

/// How the store treats requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Serves all requests.
    #[default]
    Up,
    /// Answers every request with status 503.
    Unavailable,
    /// Serves reads. Applies writes, then closes the connection without a reply.
    RepliesLost,
}

/// A stand-in for the platform's object store. Replacing an object requires its current revision.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

#[derive(Default)]
struct StoreState {
    mode: StoreMode,
    revision: u64,
    /// The revision and the value of each object, by key.
    objects: BTreeMap<String, (u64, Value)>,
    /// The watch history: revision, key and new value, or `None` for a removal.
    events: Vec<(u64, String, Option<Value>)>,
    /// The revision up to which, inclusive, the watch history was dropped.
    compacted_revision: u64,
    /// Number of restorations from a copy.
    restorations: u64,
}

/// A copy of the store's objects.
#[derive(Clone)]
pub struct StoreCopy {
    revision: u64,
    objects: BTreeMap<String, (u64, Value)>,
}

impl Store {
    /// Starts the store and returns its address.
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        let shared = store.clone();
        (store, start_listener(move |stream| shared.serve(&stream)))
    }

    /// Sets how the store treats requests from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner).mode = mode;
    }

    /// Drops the watch history. Watches from an older revision get status 410 and must list again.
    pub fn compact(&self) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.compacted_revision = state.revision;
        state.events.clear();
        self.state.1.notify_all();
    }

    /// Copies all objects.
    pub fn copy(&self) -> StoreCopy {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        StoreCopy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Puts the store back to a copy. Revisions since are given out again. What the operator has written
    /// is written again.
    pub fn restore(&self, copy: StoreCopy) {
        const OPERATOR_KINDS: [&str; 2] = ["config/", "evacuations/"];
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_operators = |key: &str| OPERATOR_KINDS.iter().any(|kind| key.starts_with(kind));
        let latest = std::mem::replace(&mut state.objects, copy.objects);
        state.revision = copy.revision;
        state.events.clear();
        state.compacted_revision = copy.revision;
        state.restorations += 1;
        let stale: Vec<String> =
            state.objects.keys().filter(|key| is_operators(key)).cloned().collect();
        for key in stale.into_iter().filter(|key| !latest.contains_key(key)) {
            state.write(&key, None);
        }
        for (key, (_, spec)) in latest.into_iter().filter(|(key, _)| is_operators(key)) {
            state.write(&key, Some(spec));
        }
        self.state.1.notify_all();
    }

    /// Writes an object, or removes it if `spec` is `None`. Returns the revision of the store.
    pub fn write(&self, key: &str, spec: Option<Value>) -> u64 {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let revision = state.write(key, spec);
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, stream: &TcpStream) {
        let Ok(read) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(read);
        while let Some(request) = Message::read(&mut reader) {
            let mode = self.state.0.lock().unwrap_or_else(PoisonError::into_inner).mode;
            let writes = request.word(0) != "GET";
            let (status, body) = match mode {
                StoreMode::Unavailable => (503, Value::Null),
                StoreMode::Up | StoreMode::RepliesLost => self.handle_request(&request),
            };
            if mode == StoreMode::RepliesLost && writes {
                return;
            }
            let body = body.to_string();
            let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
            let (era, length) = (state.restorations + 1, body.len());
            drop(state);
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Length: {length}\r\n\r\n{body}"
            );
            if (&mut &*stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle_request(&self, request: &Message) -> (u16, Value) {
        let target = request.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let key = path.trim_start_matches("/api/objects/");
        let text = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name));
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        match (request.word(0), key.contains('/'), number("watch=")) {
            ("GET", true, _) => self.get(key),
            ("GET", false, Some(since)) => self.watch(key, since, number("wait-ms=").unwrap_or(0)),
            ("GET", false, None) => self.list(key, text("after=").unwrap_or_default()),
            _ => self.put(key, &request.body),
        }
    }

    fn get(&self, key: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        match state.objects.get(key) {
            Some((revision, spec)) => (200, object_json(key, *revision, Some(spec))),
            None => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (prefix, start) = (format!("{kind}/"), format!("{kind}/{after}"));
        let of_kind = state.objects.iter().filter(|(key, _)| key.starts_with(&prefix));
        let mut items: Vec<Value> = of_kind
            .filter(|(key, _)| after.is_empty() || **key > start)
            .map(|(key, (revision, spec))| object_json(key, *revision, Some(spec)))
            .collect();
        let more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        (200, json!({"items": items, "has-more": more, "as-of": state.revision}))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let prefix = format!("{kind}/");
        let is_newer =
            |event: &&(u64, String, Option<Value>)| event.0 > since && event.1.starts_with(&prefix);
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let has_no_events = |state: &mut StoreState| {
            since >= state.compacted_revision
                && since <= state.revision
                && !state.events.iter().any(|event| is_newer(&event))
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = self.state.1.wait_timeout_while(state, wait, has_no_events);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if since < state.compacted_revision || since > state.revision {
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

    fn put(&self, key: &str, body: &[u8]) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return (400, Value::Null);
        };
        let name = body["metadata"]["name"].as_str().unwrap_or_default();
        let key = if key.contains('/') { key.to_owned() } else { format!("{key}/{name}") };
        let expected = body["metadata"]["revision"].as_u64();
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((revision, spec)) = state.objects.get(&key)
            && expected != Some(*revision)
        {
            return (409, object_json(&key, *revision, Some(spec)));
        }
        let revision = state.write(&key, Some(body["spec"].clone()));
        self.state.1.notify_all();
        (200, object_json(&key, revision, Some(&body["spec"])))
    }
}

impl StoreState {
    fn write(&mut self, key: &str, spec: Option<Value>) -> u64 {
        if spec.is_none() && !self.objects.contains_key(key) {
            return self.revision;
        }
        self.revision += 1;
        match &spec {
            Some(spec) => self.objects.insert(key.to_owned(), (self.revision, spec.clone())),
            None => self.objects.remove(key),
        };
        self.events.push((self.revision, key.to_owned(), spec));
        self.revision
    }
}

fn object_json(key: &str, revision: u64, spec: Option<&Value>) -> Value {
    let name = key.rsplit('/').next().unwrap_or_default();
    json!({"metadata": {"name": name, "revision": revision}, "spec": spec, "status": null})
}
