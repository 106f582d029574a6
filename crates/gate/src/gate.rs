use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use bay_call::{
    Action, AttemptId, CallId, ClaimTable, Count, Counter, CounterBuffer, HotKeyRate, Quarantine,
};
use bay_time::{Time, Timers};
use bay_types::{ErrorKind, NodeId, ServiceName, ZoneName};
use bay_wire::{GateAddress, ItemKey, ItemVersion, Routes};
use slotmap::{Key, KeyData, SlotMap};

use crate::GateLimits;
use crate::notice_queue::NoticeQueue;
use crate::pending_call::PendingCall;
use crate::service::{Service, ServiceId};

/// When a caller may come back where nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What a gate is told at its start.
#[derive(Debug, Clone)]
pub struct GateConfig {
    /// The gate's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seeds the gate's random choices; differs at each start of the process.
    pub seed: u64,
}

slotmap::new_key_type! {
    /// Identifies a request within the gate.
    pub(crate) struct CallKey;
}

/// Takes callers' requests, picks a server or target and answers for the outcome.
#[derive(Debug)]
pub struct Gate {
    pub(crate) config: GateConfig,
    pub(crate) limits: GateLimits,
    pub(crate) admitting: bool,
    pub(crate) versions: BTreeMap<ItemKey, ItemVersion>,
    pub(crate) services: SlotMap<ServiceId, Service>,
    pub(crate) services_by_name: BTreeMap<ServiceName, ServiceId>,
    pub(crate) services_by_host: HashMap<String, ServiceId>,
    pub(crate) zones_out: BTreeSet<ZoneName>,
    /// Routes that came before the document of their service.
    pub(crate) early_routes: BTreeMap<(ServiceName, ZoneName), Routes>,
    /// The gates that are up, once they are known.
    pub(crate) gates: BTreeMap<NodeId, GateAddress>,
    pub(crate) gates_known: bool,
    pub(crate) calls: SlotMap<CallKey, PendingCall>,
    /// How many requests were not admitted.
    pub(crate) rejected_calls: u64,
    /// How many of the requests wait without an attempt.
    pub(crate) waiting_calls: usize,
    pub(crate) timers: Timers<CallId>,
    pub(crate) claims: ClaimTable,
    pub(crate) quarantine: Quarantine,
    pub(crate) notices: NoticeQueue,
    pub(crate) counters: CounterBuffer,
    /// Requests to place before the gate returns to its shell.
    pub(crate) calls_to_place: Vec<CallId>,
    /// Services whose pools have something to say.
    pub(crate) touched_services: Vec<ServiceId>,
}

impl Gate {
    /// A gate without configuration.
    pub fn new(config: GateConfig) -> Gate {
        Gate {
            config,
            limits: GateLimits::default(),
            admitting: true,
            versions: BTreeMap::new(),
            services: SlotMap::with_key(),
            services_by_name: BTreeMap::new(),
            services_by_host: HashMap::new(),
            zones_out: BTreeSet::new(),
            early_routes: BTreeMap::new(),
            gates: BTreeMap::new(),
            gates_known: false,
            calls: SlotMap::with_key(),
            rejected_calls: 0,
            waiting_calls: 0,
            timers: Timers::new(),
            claims: ClaimTable::default(),
            quarantine: Quarantine::default(),
            notices: NoticeQueue::default(),
            counters: CounterBuffer::new(),
            calls_to_place: Vec::new(),
            touched_services: Vec::new(),
        }
    }

    /// Sets what the gate can take.
    pub fn set_limits(&mut self, limits: GateLimits) {
        self.limits = limits;
    }

    /// The host that the gate runs on.
    pub fn node(&self) -> NodeId {
        self.config.node
    }

    /// Whether the gate takes requests: it has configuration and is not about to stop.
    pub fn is_ready(&self) -> bool {
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

    /// The versions in force.
    pub fn versions(&self) -> &BTreeMap<ItemKey, ItemVersion> {
        &self.versions
    }

    /// Takes what was counted since the last time.
    pub fn drain_counts(&mut self, out: &mut Vec<Count>) {
        self.counters.drain_into(out);
    }

    /// Counts an answer that the shell gives by itself, before there is a request to begin;
    /// returns when the caller may come back.
    pub fn record_shell_refusal(&mut self, kind: ErrorKind) -> Option<Duration> {
        self.counters.count_refusal(kind);
        retry_after(kind, None)
    }

    /// The keys of a service that this gate sees most, the hottest first.
    pub fn hot_keys(&mut self, now: Time, service: ServiceName) -> &[HotKeyRate] {
        let id = self.services_by_name.get(&service);
        match id.and_then(|id| self.services.get_mut(*id)) {
            Some(service) => service.hot_keys.rates(now),
            None => &[],
        }
    }

    /// How many requests a second of a service name a key, at this gate.
    pub fn keyed_rate(&mut self, now: Time, service: ServiceName) -> f64 {
        let id = self.services_by_name.get(&service);
        let service = id.and_then(|id| self.services.get_mut(*id));
        service.map_or(0.0, |service| service.hot_keys.total_rate(now))
    }

    /// The services whose servers own keys.
    pub fn keyed_services(&self) -> impl Iterator<Item = ServiceName> + '_ {
        let keyed =
            |id: &ServiceId| self.services.get(*id).is_some_and(|service| service.routes.is_some());
        self.services_by_name.iter().filter(move |(_, id)| keyed(id)).map(|(name, _)| *name)
    }

    /// Whether the first byte of an attempt may be handed to its connection now.
    ///
    /// From then on the target may have run the request; if the answer is no, the shell sends
    /// nothing.
    pub fn may_send(&mut self, now: Time, call: CallId, attempt: AttemptId) -> bool {
        let pending = self.calls.get_mut(call_key(call));
        pending.is_some_and(|pending| pending.call.may_send(now, attempt))
    }

    /// Connections, idle ones among them, that this gate may have to an attempt's target now; the
    /// sum over all gates stays within the target's limit.
    pub fn connection_cap(&self, call: CallId, attempt: AttemptId) -> Option<u32> {
        let pending = self.calls.get(call_key(call))?;
        let service = self.services.get(pending.service)?;
        Some(service.pool.connection_cap(pending.target_of(attempt)?))
    }

    /// The time of the next [`Gate::tick`].
    pub fn next_deadline(&mut self) -> Option<Time> {
        let pools = self.services.values_mut().filter_map(|service| service.pool.next_deadline());
        let others = self.timers.next_deadline().into_iter().chain(self.notices.next_deadline());
        pools.chain(others).min()
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(id) = self.timers.pop_due(now) {
            self.handle_call_timer(now, id, out);
        }
        self.claims.expire(now);
        self.touched_services.extend(self.services.keys());
        self.run_pending_work(now, out);
    }

    /// Finishes what a change has set off, before the gate returns to its shell.
    pub(crate) fn run_pending_work(&mut self, now: Time, out: &mut Vec<Action>) {
        self.touched_services.sort_unstable();
        self.touched_services.dedup();
        for index in 0..self.touched_services.len() {
            self.wake_queued(now, self.touched_services[index]);
        }
        while let Some(id) = self.calls_to_place.pop() {
            self.place(now, id, out);
        }
        let mut touched_services = std::mem::take(&mut self.touched_services);
        touched_services.sort_unstable();
        touched_services.dedup();
        for id in touched_services {
            self.send_load_messages(now, id, out);
        }
        self.send_notices(now, out);
    }

    /// Counts something.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.counters.increment(counter);
    }
}

/// The number of a request outside the gate.
pub(crate) fn call_id(key: CallKey) -> CallId {
    CallId(key.data().as_ffi())
}

/// The place of a request within the gate.
pub(crate) fn call_key(id: CallId) -> CallKey {
    CallKey::from(KeyData::from_ffi(id.0))
}

/// When a caller may come back after an answer of this kind.
pub(crate) fn retry_after(kind: ErrorKind, known: Option<Duration>) -> Option<Duration> {
    kind.retry_after().then_some(known.unwrap_or(DEFAULT_RETRY_AFTER))
}
