use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bay_account::Freshness;
use bay_admission::LocalAdmission;
use bay_quota::LocalQuota;
use bay_range::{Candidate, KeyLimit, OwnerId, OwnerLimit, ServerOccupancy};
use bay_time::Time;
use bay_types::{ErrorKind, HostName, Revision, ServerName, ServiceName, ZoneName};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{
    CallerLimits, Config, Counter, Crash, CrashDetector, Directory, DirectoryChange, KeyCount,
    OwnerChanges, OwnerMap, PlatformBounds, RateLimitNotice, RequestFields, RequestState,
    RetryBudget, RouteMap, RouterSettings, ServerEntry, ServerIdentifier, ServerNotice,
    ServerPaths, ServerTiming, ServiceOwners, ServicePool, ServiceReport,
};

mod attempt_results;
mod key_proof;
mod learned_capacity;
mod paths;
mod quotas;
mod rank_admission;
mod rate_limits;
mod server_notices;
mod server_selection;

/// Picks servers for callers' requests, and decides on retries and refusals.
///
/// It also keeps the statistics and limits on which these decisions rest.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Option<Arc<Config>>,
    /// Proof of the age of the configuration, by which API keys are used.
    freshness: Freshness,
    routes: RouteMap,
    pools: HashMap<ServiceName, ServicePool>,
    directory: Directory,
    crash_detector: CrashDetector,
    /// Crashes found since the last call of [`Router::drain_crashes`].
    new_crashes: Vec<Crash>,
    /// Rate limits learned since the last call of [`Router::drain_rate_limits`].
    new_rate_limits: Vec<RateLimitNotice>,
    /// What servers have said since the last call of [`Router::drain_notices`].
    new_notices: Vec<ServerNotice>,
    /// Hosts that run routers, sorted by name.
    hosts: Vec<HostName>,
    /// Routers that have not answered a request for a permit, and until when none is sent to them.
    silent_hosts: BTreeMap<HostName, Time>,
    paths: ServerPaths,
    /// Admission by rank; unused unless overload control is on.
    admission: LocalAdmission,
    /// When the last answer of any server arrived.
    answered_at: Time,
    /// Number of live routers, at least 1.
    router_count: u32,
    /// Use of accounts with a quota; `None` if quotas are not enforced.
    quota: Option<LocalQuota>,
    /// Identifies the start of the process in reports of that use.
    incarnation: u32,
    rng: SmallRng,
    counts: BTreeMap<Counter, u64>,
    /// The last server whose samples went to the granter.
    last_reported_server: Option<ServerName>,
}

impl Router {
    /// Number of routers assumed until the first call of [`Router::set_hosts`].
    const INITIAL_ROUTER_COUNT: u32 = 3;

    /// Creates a router without configuration and servers; `seed` seeds its random choices.
    pub fn new(settings: RouterSettings, seed: u64) -> Router {
        Router {
            settings,
            config: None,
            freshness: Freshness::default(),
            routes: RouteMap::default(),
            pools: HashMap::new(),
            directory: Directory::default(),
            crash_detector: CrashDetector::default(),
            new_crashes: Vec::new(),
            new_rate_limits: Vec::new(),
            new_notices: Vec::new(),
            hosts: Vec::new(),
            silent_hosts: BTreeMap::new(),
            paths: ServerPaths::default(),
            admission: LocalAdmission::default(),
            answered_at: Time::ZERO,
            router_count: Router::INITIAL_ROUTER_COUNT,
            quota: None,
            incarnation: seed as u32,
            rng: SmallRng::seed_from_u64(seed),
            counts: BTreeMap::new(),
            last_reported_server: None,
        }
    }

    /// Returns the configuration in force, if one was applied.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns whether the configuration in force has client accounts.
    pub fn has_accounts(&self) -> bool {
        self.config.as_ref().is_some_and(|config| config.accounts.is_some())
    }

    /// Returns the limits on callers' requests; the defaults until a configuration is applied.
    pub fn caller_limits(&self) -> CallerLimits {
        self.config.as_ref().map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// Returns the registered servers and the zones that are out.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Returns whether a configuration and the list of servers are loaded.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.directory.is_loaded()
    }

    /// Replaces the platform's bounds; returns whether they differ from the previous ones.
    pub fn set_bounds(&mut self, bounds: PlatformBounds) -> bool {
        if self.settings.bounds == bounds {
            return false;
        }
        self.settings.bounds = bounds;
        for pool in self.pools.values_mut() {
            pool.retry_budget.set_bounds(&bounds);
        }
        self.update_quota_limits();
        true
    }

    /// Returns the counters since the start of the process.
    pub fn counts(&self) -> &BTreeMap<Counter, u64> {
        &self.counts
    }

    /// Applies a configuration if its version is newer; returns whether it was applied.
    ///
    /// Services that the new configuration no longer names keep their pools.
    pub fn apply_config(&mut self, config: Config) -> bool {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        for spec in &config.services {
            match self.pools.get_mut(&spec.name) {
                Some(pool) => pool.spec = spec.clone(),
                None => {
                    let mut budget = RetryBudget::new(&self.settings.bounds);
                    budget.set_router_count(Time::ZERO, self.router_count);
                    let mut pool = ServicePool::new(spec.clone(), budget);
                    let service_servers = self
                        .directory
                        .iter()
                        .filter(|(_, server)| server.entry.service == spec.name);
                    pool.servers = service_servers.map(|(name, _)| name).collect();
                    self.pools.insert(spec.name, pool);
                }
            }
        }
        self.routes = RouteMap::new(&config);
        self.config = Some(Arc::new(config));
        self.update_quota_limits();
        true
    }

    /// Applies a server's entry, or its removal if `entry` is `None`.
    pub fn apply_server(
        &mut self,
        now: Time,
        name: ServerName,
        revision: Revision,
        entry: Option<ServerEntry>,
    ) -> DirectoryChange {
        let change = self.directory.apply(now, name, revision, entry);
        self.reindex_server(name);
        self.detect_crashes(now);
        change
    }

    /// Records the identifier of a registered server.
    pub fn record_identifier(&mut self, identifier: ServerIdentifier) {
        self.directory.record_identifier(identifier);
    }

    /// Replaces the list of servers; returns the changes that matter to requests.
    pub fn replace_servers(
        &mut self,
        now: Time,
        revision: Revision,
        entries: Vec<(ServerName, Revision, ServerEntry)>,
    ) -> Vec<(ServerName, DirectoryChange)> {
        let changes = self.directory.replace(now, revision, entries);
        for (name, _) in &changes {
            self.reindex_server(*name);
        }
        self.detect_crashes(now);
        changes
    }

    /// Starts the grace period after a store outage, in which lapsed entries may return.
    pub fn handle_store_recovery(&mut self, now: Time) {
        self.directory.handle_store_recovery(now);
    }

    /// Removes servers whose entries lapsed and should have returned by `lapsed_by`; returns their names.
    pub fn expire_servers(&mut self, now: Time, lapsed_by: Time) -> Vec<ServerName> {
        let expired = self.directory.expire(lapsed_by);
        for name in &expired {
            self.reindex_server(*name);
        }
        self.detect_crashes(now);
        expired
    }

    /// Looks for requests that crashed the servers that have ended since the last call.
    fn detect_crashes(&mut self, now: Time) {
        for (server, started) in self.directory.drain_ended() {
            self.new_crashes.extend(self.crash_detector.record_server_end(now, server, started));
        }
    }

    /// Drains the crashes that this router has found, to be sent to the other routers.
    pub fn drain_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.new_crashes)
    }

    /// Records a crash that another router has found.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        self.crash_detector.record_crash(now, crash);
    }

    /// Moves a server to the pool of its service, or out of all pools if it was removed.
    fn reindex_server(&mut self, name: ServerName) {
        let service = self.directory.get(name).map(|server| server.entry.service);
        for (pool_service, pool) in &mut self.pools {
            if service == Some(*pool_service) {
                pool.servers.insert(name);
            } else {
                pool.servers.remove(&name);
            }
        }
    }

    /// Replaces the set of zones that are out.
    pub fn set_zones_out(&mut self, now: Time, zones: BTreeSet<ZoneName>) {
        let warm_up = self.pools.values().map(|pool| pool.spec.warm_up).max().unwrap_or_default();
        self.directory.set_zones_out(now, zones, warm_up);
    }

    /// Replaces the hosts that run routers; `alive` is how many of them are alive.
    pub fn set_hosts(&mut self, now: Time, mut hosts: Vec<HostName>, alive: u32) {
        hosts.sort();
        self.hosts = hosts;
        self.router_count = alive.max(1);
        for pool in self.pools.values_mut() {
            pool.retry_budget.set_router_count(now, self.router_count);
        }
        self.update_quota_routers();
    }

    /// Returns the number of live routers, at least 1. They share the limits on all of them.
    pub fn router_count(&self) -> u32 {
        self.router_count
    }

    /// Replaces the owners of a service's keys if `owners` is newer; returns whether it is.
    pub fn replace_owners(&mut self, service: ServiceName, owners: OwnerMap) -> bool {
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        if owners.version() <= pool.owners.version() {
            return false;
        }
        pool.owners = owners;
        pool.rejections.retain_current(&pool.owners);
        true
    }

    /// Adds a part of an owner map; returns whether that completed a newer map, now in force.
    pub fn add_owners_part(&mut self, owners: ServiceOwners) -> bool {
        let ServiceOwners { service, part: (index, count), owners } = owners;
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        let parts = pool.owner_parts.insert(owners.version(), index, count, owners);
        parts.and_then(OwnerMap::join).is_some_and(|owners| self.replace_owners(service, owners))
    }

    /// Applies changes to an owner map; returns whether they directly follow the map in force.
    pub fn apply_owner_changes(&mut self, service: ServiceName, changes: &OwnerChanges) -> bool {
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        let is_applied = pool.owners.apply(changes);
        pool.rejections.retain_current(&pool.owners);
        is_applied
    }

    /// Returns the owner map of a service.
    pub fn owners(&self, service: ServiceName) -> Option<&OwnerMap> {
        self.pools.get(&service).map(|pool| &pool.owners)
    }

    /// Replaces the limits of a service's overloaded keys, which are in the order of the keys.
    pub fn set_key_limits(&mut self, now: Time, service: ServiceName, limits: Vec<KeyLimit>) {
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.set_key_limits(now, limits);
        }
    }

    /// Replaces the limits of a service's overloaded owners.
    pub fn set_owner_limits(&mut self, now: Time, service: ServiceName, limits: Vec<OwnerLimit>) {
        if let Some(pool) = self.pools.get_mut(&service) {
            pool.set_owner_limits(now, limits);
        }
    }

    /// Returns the services whose keys have owners.
    pub fn keyed_services(&self) -> Vec<ServiceName> {
        let keyed = self.pools.values().filter(|pool| pool.spec.keyed);
        keyed.map(|pool| pool.spec.name).collect()
    }

    /// Returns a service's servers as candidates for key ranges.
    pub fn candidates(&self, now: Time, service: ServiceName) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(&service) else {
            return Vec::new();
        };
        let servers = pool.servers.iter().filter_map(|name| {
            let server = self.directory.get(*name)?;
            let learned = server.learned_capacity(now);
            let learned_rate = learned.map(|learned| learned.rate());
            let limits = [server.rate_limit(now), learned_rate];
            Some(Candidate {
                owner: OwnerId { server: *name, started: server.entry.started },
                address: server.entry.address,
                zone: server.entry.zone,
                slots: server.entry.slots,
                eligible: self.directory.is_assignable(now, *name, server),
                cold: self.directory.may_be_cold(now, server),
                service_ms: learned.map(|learned| learned.base_ms).or(server.service_ms()),
                rate_limit: limits.into_iter().flatten().reduce(f64::min),
            })
        });
        servers.collect()
    }

    /// Drains the request counts and service times since the last report to the granter.
    pub fn drain_reports(&mut self) -> Vec<ServiceReport> {
        let mut reports = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.spec.keyed) {
            let keys = pool.key_counts.drain();
            let keys = keys.map(|(key, requests)| KeyCount { key, requests }).collect();
            let directory = &mut self.directory;
            let times = pool.servers.iter().filter_map(|name| {
                let (requests, service_ms) = directory.get_mut(*name)?.drain_measurements()?;
                Some(ServerTiming { server: *name, service_ms: service_ms as f32, requests })
            });
            reports.push(ServiceReport { service: pool.spec.name, keys, servers: times.collect() });
        }
        reports
    }

    /// Drains the numbers of requests that the servers of services with keys have told since the last
    /// call.
    pub fn drain_occupancies(&mut self) -> Vec<(ServiceName, Vec<ServerOccupancy>)> {
        let keyed = self.pools.values().filter(|pool| pool.spec.keyed);
        let directory = &mut self.directory;
        let services = keyed.map(|pool| {
            let servers = pool.servers.iter().filter_map(|name| {
                let requests = directory.get_mut(*name)?.take_occupancy()?;
                Some(ServerOccupancy { server: *name, requests })
            });
            (pool.spec.name, servers.collect::<Vec<_>>())
        });
        services.filter(|(_, servers)| !servers.is_empty()).collect()
    }

    /// Returns the longest time that a request may take; `deadline` is how long its caller waits. `None`
    /// without a route and a deadline.
    pub fn max_time(&self, host: &str, path: &str, deadline: Option<Duration>) -> Option<Duration> {
        deadline.into_iter().chain(self.routes.timeout(host, path)).min()
    }

    /// Finds the route and service of a request, and counts it.
    ///
    /// Needs only the head. The caller sets the length of the body and the digest afterwards.
    ///
    /// # Errors
    /// Returns `NotReady`, `NoRoute`, `UnknownApiKey`, `KeysOutdated`, `NoTarget` or `KeyMissing` if
    /// the request is refused.
    pub fn admit(
        &mut self,
        now: Time,
        host: &str,
        path: &str,
        fields: &RequestFields,
    ) -> Result<RequestState, ErrorKind> {
        if !self.is_ready() {
            return Err(ErrorKind::NotReady);
        }
        let (route, service) = self.routes.find(host, path).ok_or(ErrorKind::NoRoute)?;
        let service = service.ok_or(ErrorKind::NoTarget)?;
        let accounts = self.config.as_ref().and_then(|config| config.accounts.as_ref());
        let account = match accounts {
            Some(accounts) if !route.key_exempt => {
                let key = fields.api_key.ok_or(ErrorKind::UnknownApiKey)?;
                self.check_key_proof(now)?;
                let account = accounts.find(key).ok_or(ErrorKind::UnknownApiKey)?;
                Some((Arc::clone(account), key))
            }
            _ => None,
        };
        let pool = self.pools.get_mut(&service).ok_or(ErrorKind::NoTarget)?;
        let key = match (pool.spec.keyed, fields.key) {
            (true, None) => return Err(ErrorKind::KeyMissing),
            (true, key) => key,
            (false, _) => None,
        };
        pool.retry_budget.record_request(now);
        if let Some(key) = key {
            pool.count_key(key);
        }
        *self.counts.entry(Counter::Request).or_default() += 1;
        let mut request = RequestState::new(now, route, service, key, fields.deadline);
        request.account = account;
        Ok(request)
    }
}
