use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

use serde_json::{Value, json};

use crate::http::{Message, listen};

/// Objects on one page of a list.
const PAGE: usize = 3;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// It refuses all calls.
    Busy,
    /// It carries writes out and loses their answers.
    LostAnswers,
}

/// The platform's store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<Objects>, Condvar)>,
}

#[derive(Default)]
struct Objects {
    mode: StoreMode,
    revision: u64,
    objects: BTreeMap<String, (u64, Value)>,
    events: Vec<(u64, String, Option<Value>)>,
    /// Events up to this revision are forgotten.
    forgotten: u64,
}

impl Store {
    /// Starts the store.
    pub fn start() -> (Store, SocketAddr) {
        let store = Store::default();
        let serving = store.clone();
        (store, listen(move |stream| serving.serve(&stream)))
    }

    /// Changes how the store behaves.
    pub fn set(&self, mode: StoreMode) {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner).mode = mode;
    }

    /// Forgets the history, so that watches have to list again.
    pub fn compact(&self) {
        let mut state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.forgotten = state.revision;
        state.events.clear();
        self.state.1.notify_all();
    }

    /// Writes an object, or removes it.
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
                StoreMode::Busy => (503, Value::Null),
                StoreMode::Up | StoreMode::LostAnswers => self.answer(&request),
            };
            if mode == StoreMode::LostAnswers && writes {
                return;
            }
            let body = body.to_string();
            let text =
                format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if (&mut &*stream).write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Value) {
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
            Some((revision, spec)) => (200, object(key, *revision, Some(spec))),
            None => (404, Value::Null),
        }
    }

    fn list(&self, kind: &str, after: &str) -> (u16, Value) {
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let (prefix, from) = (format!("{kind}/"), format!("{kind}/{after}"));
        let of_kind = state.objects.iter().filter(|(key, _)| key.starts_with(&prefix));
        let mut rest: Vec<Value> = of_kind
            .filter(|(key, _)| after.is_empty() || **key > from)
            .map(|(key, (revision, spec))| object(key, *revision, Some(spec)))
            .collect();
        let more = rest.len() > PAGE;
        rest.truncate(PAGE);
        (200, json!({"items": rest, "has-more": more, "as-of": state.revision}))
    }

    fn watch(&self, kind: &str, since: u64, wait_ms: u64) -> (u16, Value) {
        let prefix = format!("{kind}/");
        let is_news =
            |event: &&(u64, String, Option<Value>)| event.0 > since && event.1.starts_with(&prefix);
        let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waits = |state: &mut Objects| {
            since >= state.forgotten && !state.events.iter().any(|event| is_news(&event))
        };
        let wait = Duration::from_millis(wait_ms);
        let waited = self.state.1.wait_timeout_while(state, wait, waits);
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        if since < state.forgotten {
            return (410, Value::Null);
        }
        let events: Vec<Value> = state
            .events
            .iter()
            .filter(is_news)
            .map(|(revision, key, spec)| {
                json!({"deleted": spec.is_none(), "object": object(key, *revision, spec.as_ref())})
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
            return (409, object(&key, *revision, Some(spec)));
        }
        let revision = state.write(&key, Some(body["spec"].clone()));
        self.state.1.notify_all();
        (200, object(&key, revision, Some(&body["spec"])))
    }
}

impl Objects {
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

fn object(key: &str, revision: u64, spec: Option<&Value>) -> Value {
    let name = key.rsplit('/').next().unwrap_or_default();
    json!({"metadata": {"name": name, "revision": revision}, "spec": spec, "status": null})
}
