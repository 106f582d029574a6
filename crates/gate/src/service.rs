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
use crate::fastest::Fastest;

slotmap::new_key_type! {
    /// Identifies a service of a gate.
    pub(crate) struct ServiceId;
}

/// A service as the gate sees it.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    pub(crate) doc: ServiceDoc,
    pub(crate) routes: Option<RouteTable>,
    pub(crate) pool: Pool,
    pub(crate) hot_keys: HotKeys,
    pub(crate) fastest: Fastest,
    /// The requests that wait in the pool's queue.
    pub(crate) queued: HashMap<Ticket, CallId>,
    /// The requests that wait for an owner.
    pub(crate) ownerless: BTreeSet<CallId>,
    /// The requests that wait for a suspect's run to end.
    pub(crate) held_back: BTreeSet<CallId>,
    /// The targets that run a suspect at the moment.
    pub(crate) suspects: Vec<(SocketAddr, CallId)>,
    /// The servers of the document, and since when they take no new work, if they take none.
    closed: HashMap<SocketAddr, Option<Time>>,
}

impl Service {
    pub(crate) fn new(config: &GateConfig, doc: ServiceDoc, now: Time) -> Service {
        let routes = doc.keyed().map(|rules| RouteTable::new(rules.layout));
        let pool = Pool::new(pool_config(config, &doc), now);
        Service {
            name: doc.name,
            routes,
            pool,
            doc,
            hot_keys: HotKeys::new(now, config.seed),
            fastest: Fastest::default(),
            queued: HashMap::new(),
            ownerless: BTreeSet::new(),
            held_back: BTreeSet::new(),
            suspects: Vec::new(),
            closed: HashMap::new(),
        }
    }

    /// Takes a newer document; another layout drops the routes so far.
    pub(crate) fn replace(&mut self, config: &GateConfig, doc: ServiceDoc, now: Time) {
        let layout = |doc: &ServiceDoc| doc.keyed().map(|rules| rules.layout);
        if layout(&self.doc) != layout(&doc) {
            self.routes = layout(&doc).map(RouteTable::new);
        }
        let budgets = |doc: &ServiceDoc| (doc.requests.retry_budget, doc.requests.hedge_budget);
        if self.doc.limits != doc.limits || budgets(&self.doc) != budgets(&doc) {
            self.pool.set_config(now, pool_config(config, &doc));
        }
        self.doc = doc;
    }

    /// Brings the targets in line with the document and the zones.
    pub(crate) fn update_targets<F>(&mut self, now: Time, zone_out: F)
    where
        F: Fn(ZoneName) -> bool,
    {
        let keyed = self.doc.keyed().is_some();
        let mut closed = HashMap::new();
        let mut specs = Vec::new();
        for server in &self.doc.servers {
            let open = !server.leaving && !zone_out(server.zone);
            let before = self.closed.get(&server.address).copied().flatten();
            closed.insert(server.address, (!open).then_some(before.unwrap_or(now)));
            let in_service = open || keyed;
            specs.push(TargetSpec { address: server.address, zone: server.zone, in_service });
        }
        self.closed = closed;
        self.pool.set_targets(now, &specs);
    }

    pub(crate) fn idempotent(&self, method: Method) -> bool {
        self.doc.requests.idempotent.contains(&method)
    }

    /// The header that carries a request's key, if one does.
    pub(crate) fn key_header(&self) -> Option<&str> {
        match &self.doc.keyed()?.source {
            KeySource::Header(name) => Some(name),
            KeySource::Path { .. } => None,
        }
    }

    /// The hash of a request's key, or `None` if it names none.
    pub(crate) fn key_of<H>(&self, head: &H) -> Option<KeyHash>
    where
        H: RequestHead,
    {
        let key = match &self.doc.keyed()?.source {
            KeySource::Header(name) => head.header(name)?,
            KeySource::Path { prefix } => head.path().strip_prefix(prefix)?.split('/').next()?,
        };
        (!key.is_empty()).then(|| KeyHash::of(key.as_bytes()))
    }

    /// The owner of a key, if it has one that takes work.
    pub(crate) fn route(&self, now: Time, key: KeyHash) -> Option<Route> {
        let route = self.routes.as_ref()?.lookup(key)?;
        let closed = self.closed.get(&route.server)?;
        let open = closed.is_none_or(|since| now.since(since) < MOVE_GRACE);
        open.then_some(route)
    }

    /// The addresses of the targets that take new work.
    pub(crate) fn open_targets(&self) -> Vec<SocketAddr> {
        let open = self.closed.iter().filter(|(_, since)| since.is_none());
        let mut targets: Vec<SocketAddr> = open.map(|(address, _)| *address).collect();
        targets.sort_unstable();
        targets
    }

    /// Whether a target takes new work.
    pub(crate) fn is_open(&self, target: SocketAddr) -> bool {
        self.closed.get(&target).is_some_and(Option::is_none)
    }

    /// Whether a target runs a suspect other than this request.
    pub(crate) fn runs_suspect(&self, target: SocketAddr, call: CallId) -> bool {
        self.suspects.iter().any(|(at, other)| *at == target && *other != call)
    }
}

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
