use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use bay_call::{CallId, HotKeys, RequestHead};
use bay_conf::{KeySource, Method, ServiceDoc};
use bay_load::{Pool, PoolConfig, TargetLimits, TargetSpec, Ticket};
use bay_own::{Route, RouteTable};
use bay_time::Time;
use bay_types::{KeyHash, ServiceName, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::GateConfig;
use crate::bounds::MOVE_GRACE;
use crate::min_latency::MinLatency;

slotmap::new_key_type! {
    /// Key of a service in the gate's slot map.
    pub(crate) struct ServiceId;
}

/// A service with its document, routes, pool and waiting requests.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) doc: ServiceDoc,
    /// The owners of the service's slices; `None` if its requests have no keys.
    pub(crate) routes: Option<RouteTable>,
    pub(crate) pool: Pool,
    pub(crate) hot_keys: HotKeys,
    pub(crate) min_latency: MinLatency,
    /// Requests that wait in the pool's queue.
    pub(crate) queued: HashMap<Ticket, CallId>,
    /// Requests that wait for an owner of their key.
    pub(crate) ownerless: BTreeSet<CallId>,
    /// Suspects that wait for another suspect's run to end.
    pub(crate) deferred_suspects: BTreeSet<CallId>,
    /// Targets that run a suspect of this gate, with the suspect's request.
    pub(crate) running_suspects: Vec<(SocketAddr, CallId)>,
    /// For each server of the document, since when it accepts no new requests; `None` if it does.
    closed_since: HashMap<SocketAddr, Option<Time>>,
}

impl Service {
    pub(crate) fn new(config: &GateConfig, doc: ServiceDoc, now: Time) -> Service {
        let routes = doc.keyed_rules().map(|rules| RouteTable::new(rules.layout));
        let pool = Pool::new(pool_config(config, &doc), now);
        Service {
            name: doc.name,
            routes,
            pool,
            doc,
            hot_keys: HotKeys::new(now, config.seed),
            min_latency: MinLatency::default(),
            queued: HashMap::new(),
            ownerless: BTreeSet::new(),
            deferred_suspects: BTreeSet::new(),
            running_suspects: Vec::new(),
            closed_since: HashMap::new(),
        }
    }

    /// Replaces the document. If the slice layout changed, drops all routes.
    pub(crate) fn replace_document(&mut self, config: &GateConfig, doc: ServiceDoc, now: Time) {
        let layout = |doc: &ServiceDoc| doc.keyed_rules().map(|rules| rules.layout);
        if layout(&self.doc) != layout(&doc) {
            self.routes = layout(&doc).map(RouteTable::new);
        }
        let budgets = |doc: &ServiceDoc| (doc.requests.retry_budget, doc.requests.hedge_budget);
        if self.doc.limits != doc.limits || budgets(&self.doc) != budgets(&doc) {
            self.pool.set_config(now, pool_config(config, &doc));
        }
        self.doc = doc;
    }

    /// Updates the pool's targets from the document and the state of the zones.
    pub(crate) fn update_targets<F>(&mut self, now: Time, zone_out: F)
    where
        F: Fn(ZoneName) -> bool,
    {
        let keyed = self.doc.keyed_rules().is_some();
        let mut closed = HashMap::new();
        let mut specs = Vec::new();
        for server in &self.doc.servers {
            let open = !server.leaving && !zone_out(server.zone);
            let closed_since = self.closed_since.get(&server.address).copied().flatten();
            closed.insert(server.address, (!open).then_some(closed_since.unwrap_or(now)));
            let in_service = open || keyed;
            specs.push(TargetSpec { address: server.address, zone: server.zone, in_service });
        }
        self.closed_since = closed;
        self.pool.set_targets(now, &specs);
    }

    /// Returns whether requests with this method may run more than once.
    pub(crate) fn is_idempotent(&self, method: Method) -> bool {
        self.doc.requests.idempotent_methods.contains(&method)
    }

    /// Returns the name of the header that carries a request's key, if any.
    pub(crate) fn key_header(&self) -> Option<&str> {
        match &self.doc.keyed_rules()?.source {
            KeySource::Header(name) => Some(name),
            KeySource::Path { .. } => None,
        }
    }

    /// Returns the hash of a request's key, or `None` if the request has no key.
    pub(crate) fn request_key<H>(&self, head: &H) -> Option<KeyHash>
    where
        H: RequestHead,
    {
        let key = match &self.doc.keyed_rules()?.source {
            KeySource::Header(name) => head.header(name)?,
            KeySource::Path { prefix } => head.path().strip_prefix(prefix)?.split('/').next()?,
        };
        (!key.is_empty()).then(|| KeyHash::of(key.as_bytes()))
    }

    /// Returns the route to the owner of a key.
    ///
    /// An owner that accepts no new requests still counts for [`MOVE_GRACE`].
    pub(crate) fn route(&self, now: Time, key: KeyHash) -> Option<Route> {
        let route = self.routes.as_ref()?.lookup(key)?;
        let closed = self.closed_since.get(&route.server)?;
        let open = closed.is_none_or(|since| now.since(since) < MOVE_GRACE);
        open.then_some(route)
    }

    /// Returns the addresses of the targets that accept new requests, in order.
    pub(crate) fn open_targets(&self) -> Vec<SocketAddr> {
        let open_servers = self.closed_since.iter().filter(|(_, since)| since.is_none());
        let mut targets: Vec<SocketAddr> = open_servers.map(|(address, _)| *address).collect();
        targets.sort_unstable();
        targets
    }

    /// Returns whether a target accepts new requests.
    pub(crate) fn is_open(&self, target: SocketAddr) -> bool {
        self.closed_since.get(&target).is_some_and(Option::is_none)
    }

    /// Returns whether a target runs a suspect other than this request, sent by this gate.
    pub(crate) fn runs_suspect(&self, target: SocketAddr, call: CallId) -> bool {
        self.running_suspects.iter().any(|(at, other)| *at == target && *other != call)
    }
}

/// Derives the pool's configuration from a service's document.
fn pool_config(config: &GateConfig, doc: &ServiceDoc) -> PoolConfig {
    let limits = &doc.limits;
    PoolConfig {
        node: config.node,
        zone: config.zone,
        limits: TargetLimits {
            slots: limits.slots,
            connections: limits.connections,
            cold_slots: limits.cold_slots,
            warmup: limits.warmup,
        },
        retry_budget: doc.requests.retry_budget,
        hedge_budget: doc.requests.hedge_budget,
        seed: config.seed ^ xxh3_64(doc.name.as_str().as_bytes()),
    }
}
