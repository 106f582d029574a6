use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bay_call::{Action, AttemptId, Call, CallId, Count, Counter, Event, RequestHead, Step, Tally};
use bay_conf::ServiceDoc;
use bay_time::{Time, Timers};
use bay_types::{ErrorKind, KeyHash, NodeId, ServiceName, ZoneName};
use bay_wire::{GateAddress, Item, ItemKey, ItemVersion, PeerMessage, Routes, decode};

use crate::HotKeyRate;
use crate::service::Service;

/// When a caller may come back where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a gate is told at its start.
#[derive(Debug, Clone)]
pub struct GateConfig {
    /// The gate's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seeds the gate's random choices.
    pub seed: u64,
}

/// Takes callers' requests, picks a server or target and answers for the outcome.
#[derive(Debug)]
pub struct Gate {
    config: GateConfig,
    versions: BTreeMap<ItemKey, ItemVersion>,
    services: BTreeMap<ServiceName, Service>,
    hosts: HashMap<String, ServiceName>,
    calls: HashMap<CallId, Pending>,
    timers: Timers<CallId>,
    next_call: u64,
    tally: Tally,
    admitting: bool,
    gates: Vec<GateAddress>,
}

#[derive(Debug)]
struct Pending {
    service: ServiceName,
    key: Option<KeyHash>,
    call: Call,
}

/// What became of an item that was offered to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Applied {
    /// The item is in force.
    Newer,
    /// The gate already has this version or a later one.
    Stale,
    /// The item cannot be read.
    Invalid,
}

impl Gate {
    /// A gate without configuration.
    pub fn new(config: GateConfig) -> Gate {
        Gate {
            config,
            versions: BTreeMap::new(),
            services: BTreeMap::new(),
            hosts: HashMap::new(),
            calls: HashMap::new(),
            timers: Timers::new(),
            next_call: 0,
            tally: Tally::new(),
            admitting: true,
            gates: Vec::new(),
        }
    }

    /// The host that the gate runs on.
    pub fn node(&self) -> NodeId {
        self.config.node
    }

    /// Whether the gate takes requests: it has configuration and is not about to stop.
    pub fn ready(&self) -> bool {
        self.admitting && !self.services.is_empty()
    }

    /// Refuses new requests from now on, ahead of a planned stop.
    pub fn stop_admitting(&mut self) {
        self.admitting = false;
    }

    /// How many requests have not ended.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Takes what was counted since the last time.
    pub fn take_counts(&mut self, out: &mut Vec<Count>) {
        self.tally.take(out);
    }

    /// Counts an answer that the shell gives by itself, before there is a request to begin.
    pub fn refused_by_shell(&mut self, kind: ErrorKind) -> Option<Duration> {
        self.tally.refused(kind);
        retry_after(kind)
    }

    /// The keys of a service that this gate sees most, the hottest first.
    pub fn hot_keys(&self, _service: ServiceName) -> Vec<HotKeyRate> {
        Vec::new()
    }

    /// Takes the list of the gates that are up.
    pub fn set_gates(&mut self, _now: Time, gates: &[GateAddress], _out: &mut Vec<Action>) {
        self.gates = gates.to_vec();
    }

    /// Takes a datagram of another gate.
    pub fn on_peer(
        &mut self,
        _now: Time,
        from: NodeId,
        _message: PeerMessage,
        _out: &mut Vec<Action>,
    ) {
        if !self.gates.iter().any(|gate| gate.node == from) {
            self.tally.add(Counter::StrangePeers);
        }
    }

    /// Whether the first byte of an attempt may be handed to its connection now.
    ///
    /// From then on the target may have run the request; if the answer is no, the shell sends
    /// nothing.
    pub fn may_send(&mut self, _now: Time, call: CallId, _attempt: AttemptId) -> bool {
        self.calls.contains_key(&call)
    }

    /// The versions in force.
    pub fn versions(&self) -> &BTreeMap<ItemKey, ItemVersion> {
        &self.versions
    }

    /// Takes an item that is newer than what the gate has.
    ///
    /// Requests that wait for it go on; what is to be done for them is appended.
    pub fn apply(&mut self, _now: Time, item: &Item, _out: &mut Vec<Action>) -> Applied {
        if self.versions.get(&item.key).is_some_and(|version| *version >= item.version) {
            return Applied::Stale;
        }
        let applied = match item.key {
            ItemKey::Document(name) => self.apply_document(name, &item.body),
            ItemKey::Routes(name, _) => self.apply_routes(name, &item.body),
            ItemKey::Zone(_) => Applied::Newer,
        };
        if applied == Applied::Newer {
            self.versions.insert(item.key, item.version);
        }
        applied
    }

    fn apply_document(&mut self, name: ServiceName, body: &[u8]) -> Applied {
        let Ok(doc) = ServiceDoc::parse(name.as_str(), body) else {
            return Applied::Invalid;
        };
        self.hosts.retain(|_, service| *service != name);
        for host in &doc.hosts {
            self.hosts.insert(host.clone(), name);
        }
        match self.services.get_mut(&name) {
            Some(service) => service.doc = doc,
            None => {
                self.services.insert(name, Service::new(doc));
            }
        }
        Applied::Newer
    }

    fn apply_routes(&mut self, name: ServiceName, body: &[u8]) -> Applied {
        let Ok(routes) = decode::<Routes>(body) else {
            return Applied::Invalid;
        };
        let service = self.services.get_mut(&name);
        match service.and_then(|service| service.routes.as_mut()) {
            Some(table) => {
                table.merge(&routes);
                Applied::Newer
            }
            None => Applied::Invalid,
        }
    }

    /// Takes a request and appends what is to be done for it.
    pub fn begin<H>(&mut self, now: Time, head: &H, out: &mut Vec<Action>) -> CallId
    where
        H: RequestHead,
    {
        self.next_call += 1;
        let id = CallId(self.next_call);
        match self.admit(now, head) {
            Ok(pending) => {
                self.calls.insert(id, pending);
                self.attempt(now, id, out);
            }
            Err(kind) => {
                self.tally.refused(kind);
                out.push(refusal(id, kind));
            }
        }
        id
    }

    fn admit<H>(&self, now: Time, head: &H) -> Result<Pending, ErrorKind>
    where
        H: RequestHead,
    {
        if !self.ready() {
            return Err(ErrorKind::NotReady);
        }
        let host = head.host().ok_or(ErrorKind::BadRequest)?;
        let name = *self.hosts.get(host).ok_or(ErrorKind::UnknownHost)?;
        let service = self.services.get(&name).ok_or(ErrorKind::UnknownHost)?;
        let method = head.method().ok_or(ErrorKind::MethodNotAllowed)?;
        let key = service.key_of(head);
        if service.routes.is_some() && key.is_none() {
            return Err(ErrorKind::KeyMissing);
        }
        let deadline = now + service.doc.requests.timeout;
        let call = Call::new(service.idempotent(method), deadline);
        Ok(Pending { service: name, key, call })
    }

    /// Takes an event of a request and appends what is to be done.
    pub fn event(&mut self, now: Time, id: CallId, event: Event, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        match pending.call.on(now, event) {
            Step::Wait => {}
            Step::Attempt { at } => self.timers.set(id, at),
            Step::Forward(attempt) => out.push(Action::Forward { call: id, attempt }),
            Step::Refuse(kind) => self.refuse(id, kind, out),
            Step::End => self.end(id),
        }
    }

    /// The time of the next [`Gate::tick`].
    pub fn next_deadline(&mut self) -> Option<Time> {
        self.timers.next_deadline()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(id) = self.timers.pop_due(now) {
            self.attempt(now, id, out);
        }
    }

    fn attempt(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(pending) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(service) = self.services.get_mut(&pending.service) else {
            return;
        };
        let Some(destination) = service.destination(pending.key) else {
            let kind = if pending.key.is_some() { ErrorKind::NoOwner } else { ErrorKind::NoTarget };
            return self.refuse(id, kind, out);
        };
        out.push(Action::Attempt {
            call: id,
            attempt: pending.call.next_attempt(),
            to: destination.to,
            grant: destination.grant,
            time_left: pending.call.deadline().since(now),
            fresh: false,
        });
    }

    fn refuse(&mut self, id: CallId, kind: ErrorKind, out: &mut Vec<Action>) {
        self.end(id);
        self.tally.refused(kind);
        out.push(refusal(id, kind));
    }

    fn end(&mut self, id: CallId) {
        self.calls.remove(&id);
        self.timers.cancel(id);
    }
}

fn refusal(call: CallId, kind: ErrorKind) -> Action {
    Action::Refuse { call, kind, retry_after: retry_after(kind) }
}

fn retry_after(kind: ErrorKind) -> Option<Duration> {
    kind.retry_after().then_some(RETRY_AFTER)
}
