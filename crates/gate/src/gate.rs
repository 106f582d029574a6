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

/// Time after which a refused caller may retry, unless a better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A gate's identity and random seed, fixed when it is created.
#[derive(Debug, Clone)]
pub struct GateConfig {
    /// The host that the gate runs on.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seed of the gate's random choices and part of its claims' ids.
    ///
    /// It must differ at each start of the process, so that a claim from before a restart is not
    /// mistaken for a current one.
    pub seed: u64,
}

slotmap::new_key_type! {
    /// Key of a request in the gate's slot map.
    pub(crate) struct CallKey;
}

/// Admits callers' requests, picks a target for each and decides on its answer.
///
/// Methods append the actions for the shell to `out`.
#[derive(Debug)]
pub struct Gate {
    pub(crate) config: GateConfig,
    pub(crate) limits: GateLimits,
    pub(crate) admitting: bool,
    /// The versions of the items in force.
    pub(crate) versions: BTreeMap<ItemKey, ItemVersion>,
    pub(crate) services: SlotMap<ServiceId, Service>,
    pub(crate) services_by_name: BTreeMap<ServiceName, ServiceId>,
    pub(crate) services_by_host: HashMap<String, ServiceId>,
    pub(crate) zones_out: BTreeSet<ZoneName>,
    /// Routes that arrived before the document of their service.
    pub(crate) early_routes: BTreeMap<(ServiceName, ZoneName), Routes>,
    /// The live gates; empty until [`Gate::set_gates`] is called.
    pub(crate) gates: BTreeMap<NodeId, GateAddress>,
    pub(crate) gates_known: bool,
    pub(crate) calls: SlotMap<CallKey, PendingCall>,
    /// Number of requests that were not admitted, from which their ids are made.
    pub(crate) unadmitted_calls: u64,
    /// Number of requests in `calls` that wait without a live attempt.
    pub(crate) waiting_calls: usize,
    pub(crate) timers: Timers<CallId>,
    pub(crate) claims: ClaimTable,
    pub(crate) quarantine: Quarantine,
    pub(crate) notices: NoticeQueue,
    pub(crate) counters: CounterBuffer,
    /// Requests to place before the current method returns.
    pub(crate) calls_to_place: Vec<CallId>,
    /// Services whose pools changed and may have messages for other gates or free slots.
    pub(crate) touched_services: Vec<ServiceId>,
}

impl Gate {
    /// Creates a gate without services. It refuses requests until a document is applied.
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
            unadmitted_calls: 0,
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

    /// Replaces the gate's limits on requests.
    pub fn set_limits(&mut self, limits: GateLimits) {
        self.limits = limits;
    }

    /// Returns the host that the gate runs on.
    pub fn node(&self) -> NodeId {
        self.config.node
    }

    /// Returns whether the gate admits requests: it knows a service and is not draining.
    pub fn is_ready(&self) -> bool {
        self.admitting && !self.services.is_empty()
    }

    /// Refuses all new requests from now on, before a planned stop.
    pub fn stop_admitting(&mut self) {
        self.admitting = false;
    }

    /// Returns the number of requests that have not ended.
    pub fn in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Returns the versions of the items in force, deleted services included.
    pub fn versions(&self) -> &BTreeMap<ItemKey, ItemVersion> {
        &self.versions
    }

    /// Appends the counts since the last call to `out` and resets them.
    pub fn drain_counts(&mut self, out: &mut Vec<Count>) {
        self.counters.drain_into(out);
    }

    /// Counts an error that the shell answers before it can begin a request.
    ///
    /// Returns the value for `Retry-After`, if the error kind has one.
    pub fn record_shell_refusal(&mut self, kind: ErrorKind) -> Option<Duration> {
        self.counters.count_refusal(kind);
        retry_after(kind, None)
    }

    /// Returns the most frequent keys of a service at this gate, in descending order of rate.
    pub fn hot_keys(&mut self, now: Time, service: ServiceName) -> &[HotKeyRate] {
        let id = self.services_by_name.get(&service);
        match id.and_then(|id| self.services.get_mut(*id)) {
            Some(service) => service.hot_keys.rates(now),
            None => &[],
        }
    }

    /// Returns a service's keyed requests per second at this gate.
    pub fn keyed_rate(&mut self, now: Time, service: ServiceName) -> f64 {
        let id = self.services_by_name.get(&service);
        let service = id.and_then(|id| self.services.get_mut(*id));
        service.map_or(0.0, |service| service.hot_keys.total_rate(now))
    }

    /// Iterates over the services whose servers own slices of keys.
    pub fn keyed_services(&self) -> impl Iterator<Item = ServiceName> + '_ {
        let keyed =
            |id: &ServiceId| self.services.get(*id).is_some_and(|service| service.routes.is_some());
        self.services_by_name.iter().filter(move |(_, id)| keyed(id)).map(|(name, _)| *name)
    }

    /// Returns whether the shell may write the first byte of an attempt now.
    ///
    /// If so, the target may run the request from now on. If not, the shell sends nothing.
    pub fn may_send(&mut self, now: Time, call: CallId, attempt: AttemptId) -> bool {
        let pending = self.calls.get_mut(call_key(call));
        pending.is_some_and(|pending| pending.call.may_send(now, attempt))
    }

    /// Returns how many connections, idle ones included, this gate may have to an attempt's target.
    ///
    /// The sum over all gates stays within the target's limit. Returns `None` if the attempt has
    /// ended.
    pub fn connection_cap(&self, call: CallId, attempt: AttemptId) -> Option<u32> {
        let pending = self.calls.get(call_key(call))?;
        let service = self.services.get(pending.service)?;
        Some(service.pool.connection_cap(pending.target_of(attempt)?))
    }

    /// Returns when [`Gate::tick`] must be called next.
    pub fn next_deadline(&mut self) -> Option<Time> {
        let pools = self.services.values_mut().filter_map(|service| service.pool.next_deadline());
        let others = self.timers.next_deadline().into_iter().chain(self.notices.next_deadline());
        pools.chain(others).min()
    }

    /// Handles all timers that are due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(id) = self.timers.pop_due(now) {
            self.handle_call_timer(now, id, out);
        }
        self.claims.expire(now);
        self.touched_services.extend(self.services.keys());
        self.run_pending_work(now, out);
    }

    /// Places the requests that can proceed and sends the messages that are due.
    ///
    /// Runs at the end of each method that changes the gate.
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
            self.tick_pool(now, id, out);
        }
        self.send_notices(now, out);
    }

    /// Adds one to a counter.
    pub(crate) fn count(&mut self, counter: Counter) {
        self.counters.increment(counter);
    }
}

/// Converts a slot-map key to the request's public id.
pub(crate) fn call_id(key: CallKey) -> CallId {
    CallId(key.data().as_ffi())
}

/// Converts a request's public id to its slot-map key.
pub(crate) fn call_key(id: CallId) -> CallKey {
    CallKey::from(KeyData::from_ffi(id.0))
}

/// Returns the time after which a caller may retry, if the error kind has one.
pub(crate) fn retry_after(kind: ErrorKind, known: Option<Duration>) -> Option<Duration> {
    kind.has_retry_after().then_some(known.unwrap_or(DEFAULT_RETRY_AFTER))
}
