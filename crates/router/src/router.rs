use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use bay_range::{Candidate, OwnerId};
use bay_time::Time;
use bay_types::{ErrorKind, HostName, Revision, ServerName, ServiceName, ZoneName};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{
    CallerLimits, Config, Counter, Crash, CrashDetector, Directory, DirectoryChange, KeyCount,
    OwnerChanges, OwnerMap, PlatformBounds, RequestFields, RequestState, RetryBudget, RouteMap,
    RouterSettings, ServerEntry, ServerTiming, ServiceOwners, ServicePool, ServiceReport,
};

mod attempt_results;
mod server_selection;

/// Picks servers for callers' requests and decides what becomes of them.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Option<Arc<Config>>,
    routes: RouteMap,
    pools: HashMap<ServiceName, ServicePool>,
    directory: Directory,
    crashes: CrashDetector,
    found_crashes: Vec<Crash>,
    hosts: Vec<HostName>,
    routers: u32,
    random: SmallRng,
    counts: BTreeMap<Counter, u64>,
}

impl Router {
    /// Most routers before any was heard of.
    const FEW_ROUTERS: u32 = 3;

    /// A router that knows nothing yet.
    pub fn new(settings: RouterSettings, seed: u64) -> Router {
        Router {
            settings,
            config: None,
            routes: RouteMap::default(),
            pools: HashMap::new(),
            directory: Directory::default(),
            crashes: CrashDetector::default(),
            found_crashes: Vec::new(),
            hosts: Vec::new(),
            routers: Router::FEW_ROUTERS,
            random: SmallRng::seed_from_u64(seed),
            counts: BTreeMap::new(),
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// What callers may send.
    pub fn caller_limits(&self) -> CallerLimits {
        self.config.as_ref().map_or_else(CallerLimits::default, |config| config.limits)
    }

    /// The servers.
    pub fn directory(&self) -> &Directory {
        &self.directory
    }

    /// Whether it has all that requests need.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.directory.is_loaded()
    }

    /// Takes the platform's bounds; returns whether they have changed.
    pub fn set_bounds(&mut self, bounds: PlatformBounds) -> bool {
        if self.settings.bounds == bounds {
            return false;
        }
        self.settings.bounds = bounds;
        for pool in self.pools.values_mut() {
            pool.retry_budget.set_bounds(&bounds);
        }
        true
    }

    /// Counts since the start.
    pub fn counts(&self) -> &BTreeMap<Counter, u64> {
        &self.counts
    }

    /// Takes a configuration; returns whether it is newer than the one in force.
    pub fn apply_config(&mut self, config: Config) -> bool {
        if self.config.as_ref().is_some_and(|old| old.version >= config.version) {
            return false;
        }
        for spec in &config.services {
            match self.pools.get_mut(&spec.name) {
                Some(pool) => pool.spec = spec.clone(),
                None => {
                    let mut budget = RetryBudget::new(&self.settings.bounds);
                    budget.set_router_count(Time::ZERO, self.routers);
                    let mut pool = ServicePool::new(spec.clone(), budget);
                    let of_service = self
                        .directory
                        .iter()
                        .filter(|(_, server)| server.entry.service == spec.name);
                    pool.servers = of_service.map(|(name, _)| name).collect();
                    self.pools.insert(spec.name, pool);
                }
            }
        }
        self.routes = RouteMap::new(&config);
        self.config = Some(Arc::new(config));
        true
    }

    /// Takes a server's entry, or its removal.
    pub fn apply_server(
        &mut self,
        now: Time,
        name: ServerName,
        revision: Revision,
        entry: Option<ServerEntry>,
    ) -> DirectoryChange {
        let change = self.directory.apply(now, name, revision, entry);
        self.index(name);
        self.find_crashes(now);
        change
    }

    /// Takes the whole list of servers.
    pub fn replace_servers(
        &mut self,
        now: Time,
        revision: Revision,
        entries: Vec<(ServerName, Revision, ServerEntry)>,
    ) -> Vec<(ServerName, DirectoryChange)> {
        let changes = self.directory.replace(now, revision, entries);
        for (name, _) in &changes {
            self.index(*name);
        }
        self.find_crashes(now);
        changes
    }

    /// Takes note that the store answers again after an outage.
    pub fn handle_store_recovery(&mut self, now: Time) {
        self.directory.handle_store_recovery(now);
    }

    /// Drops servers whose entries lapsed and did not come back.
    pub fn expire_servers(&mut self, now: Time) -> Vec<ServerName> {
        let gone = self.directory.expire(now);
        for name in &gone {
            self.index(*name);
        }
        self.find_crashes(now);
        gone
    }

    /// Looks which requests ran at servers that have ended.
    fn find_crashes(&mut self, now: Time) {
        for (server, started) in self.directory.drain_ended() {
            self.found_crashes.extend(self.crashes.record_server_end(now, server, started));
        }
    }

    /// The crashes found since the last call, for the other routers.
    pub fn drain_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.found_crashes)
    }

    /// Takes a crash that another router has found.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        self.crashes.record_crash(now, crash);
    }

    fn index(&mut self, name: ServerName) {
        let service = self.directory.get(name).map(|server| server.entry.service);
        for (other, pool) in &mut self.pools {
            if service == Some(*other) {
                pool.servers.insert(name);
            } else {
                pool.servers.remove(&name);
            }
        }
    }

    /// Takes the zones that are out.
    pub fn set_evacuated_zones(&mut self, now: Time, zones: BTreeSet<ZoneName>) {
        let warm_up = self.pools.values().map(|pool| pool.spec.warm_up).max().unwrap_or_default();
        self.directory.set_evacuated_zones(now, zones, warm_up);
    }

    /// Takes the hosts that run routers, and how many of them are alive.
    pub fn set_hosts(&mut self, now: Time, mut hosts: Vec<HostName>, alive: u32) {
        hosts.sort();
        self.hosts = hosts;
        self.routers = alive.max(1);
        for pool in self.pools.values_mut() {
            pool.retry_budget.set_router_count(now, self.routers);
        }
    }

    /// How many routers share what holds for all together.
    pub fn router_count(&self) -> u32 {
        self.routers
    }

    /// Takes the owners of a service's keys; returns whether they are newer.
    pub fn replace_owners(&mut self, service: ServiceName, owners: OwnerMap) -> bool {
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        if owners.version() <= pool.owners.version() {
            return false;
        }
        pool.owners = owners;
        true
    }

    /// Takes a part of the owners of a service's keys; returns whether they are complete and newer.
    pub fn add_owners_part(&mut self, owners: ServiceOwners) -> bool {
        let ServiceOwners { service, part: (index, count), owners } = owners;
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        let all = pool.owner_parts.insert(owners.version(), index, count, owners);
        all.and_then(OwnerMap::join).is_some_and(|owners| self.replace_owners(service, owners))
    }

    /// Takes changes of the owners of a service's keys; returns whether they follow what is known.
    pub fn apply_owner_changes(&mut self, service: ServiceName, changes: &OwnerChanges) -> bool {
        self.pools.get_mut(&service).is_some_and(|pool| pool.owners.apply(changes))
    }

    /// The owners of a service's keys.
    pub fn owners(&self, service: ServiceName) -> Option<&OwnerMap> {
        self.pools.get(&service).map(|pool| &pool.owners)
    }

    /// The services whose keys have owners.
    pub fn keyed_services(&self) -> Vec<ServiceName> {
        let keyed = self.pools.values().filter(|pool| pool.spec.keyed);
        keyed.map(|pool| pool.spec.name).collect()
    }

    /// A service's servers as its granter sees them.
    pub fn candidates(&self, now: Time, service: ServiceName) -> Vec<Candidate> {
        let Some(pool) = self.pools.get(&service) else {
            return Vec::new();
        };
        let servers = pool.servers.iter().filter_map(|name| {
            let server = self.directory.get(*name)?;
            Some(Candidate {
                owner: OwnerId { server: *name, started: server.entry.started },
                address: server.entry.address,
                zone: server.entry.zone,
                slots: server.entry.slots,
                eligible: self.directory.is_eligible(now, server),
                cold: self.directory.may_be_cold(now, server),
                service_ms: server.service_ms(),
            })
        });
        servers.collect()
    }

    /// What the granter has to know, since the last time.
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

    /// Takes in a request; its body has not been read.
    ///
    /// # Errors
    /// Returns why the request is refused.
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
        Ok(RequestState::new(now, route, service, key, fields.deadline))
    }
}
