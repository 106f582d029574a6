use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bay_range::{Candidate, OwnerId};
use bay_time::Time;
use bay_types::{ErrorKind, HostName, Revision, ServerName, ServiceName, ZoneName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    AttemptResult, CallerLimits, Choice, ColdShare, Config, Counter, Crash, CrashWatch, Directory,
    DirectoryChange, KeyCount, LoadReport, OwnerChanges, OwnerMap, Pick, RequestFields,
    RequestState, RetryBudget, RouteMap, RouterSettings, Server, ServerEntry, ServerTime,
    ServicePool, ServiceReport, Verdict,
};

/// Servers of a zone that are compared for a request.
const SAMPLE: usize = 2;

/// Picks servers for callers' requests and decides what becomes of them.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    config: Option<Arc<Config>>,
    routes: RouteMap,
    pools: HashMap<ServiceName, ServicePool>,
    directory: Directory,
    crashes: CrashWatch,
    found_crashes: Vec<Crash>,
    hosts: Vec<HostName>,
    routers: u32,
    random: SmallRng,
    counts: BTreeMap<Counter, u64>,
}

impl Router {
    /// Expected time that a body costs for each kilobyte that goes to another zone, in
    /// milliseconds; bytes between zones are what the platform charges most for.
    const CROSS_ZONE_MS_PER_KB: f64 = 3.0;
    /// Expected time that any request costs in another zone, in milliseconds.
    const CROSS_ZONE_MS: f64 = 15.0;
    /// Pause before an owner is looked for again.
    const OWNER_PAUSE: Duration = Duration::from_millis(15);
    /// Share of the latency objective for which a request waits for its key's owner.
    const OWNER_WAIT_SHARE: f64 = 0.5;
    /// When a caller may come back whose key has no owner.
    const OWNER_RETRY_AFTER: Duration = Duration::from_millis(400);
    /// When a caller may come back after a refusal for load.
    const LOAD_RETRY_AFTER: Duration = Duration::from_millis(250);
    /// Largest part of its time left that a caller is asked to wait (platform bound).
    const RETRY_AFTER_SHARE: f64 = 0.3;
    /// Share of the other requests' bound on connections that one router leaves unused.
    const CONNECTION_SHARE: f64 = 0.8;
    /// How far expected times may exceed the latency objective before a request is refused.
    const MAX_STRETCH: f64 = 1.0;
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
            crashes: CrashWatch::default(),
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
                    budget.set_routers(Time::ZERO, self.routers);
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
    pub fn on_store_back(&mut self, now: Time) {
        self.directory.on_store_back(now);
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
        for (server, started) in self.directory.take_ended() {
            self.found_crashes.extend(self.crashes.on_ended(now, server, started));
        }
    }

    /// The crashes found since the last call, for the other routers.
    pub fn take_crashes(&mut self) -> Vec<Crash> {
        std::mem::take(&mut self.found_crashes)
    }

    /// Takes a crash that another router has found.
    pub fn on_crash(&mut self, now: Time, crash: Crash) {
        self.crashes.on_crash(now, crash);
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
    pub fn set_zones_out(&mut self, now: Time, zones: BTreeSet<ZoneName>) {
        let warm_up = self.pools.values().map(|pool| pool.spec.warm_up).max().unwrap_or_default();
        self.directory.set_zones_out(now, zones, warm_up);
    }

    /// Takes the hosts that run routers, and how many of them are alive.
    pub fn set_hosts(&mut self, now: Time, mut hosts: Vec<HostName>, alive: u32) {
        hosts.sort();
        self.hosts = hosts;
        self.routers = alive.max(1);
        for pool in self.pools.values_mut() {
            pool.retries.set_routers(now, self.routers);
        }
    }

    /// How many routers share what holds for all together.
    pub fn routers(&self) -> u32 {
        self.routers
    }

    /// Takes the owners of a service's keys; returns whether they are newer.
    pub fn set_owners(&mut self, service: ServiceName, owners: OwnerMap) -> bool {
        let Some(pool) = self.pools.get_mut(&service) else {
            return false;
        };
        if owners.version() <= pool.owners.version() {
            return false;
        }
        pool.owners = owners;
        true
    }

    /// Takes changes of the owners of a service's keys; returns whether they follow what is known.
    pub fn change_owners(&mut self, service: ServiceName, changes: &OwnerChanges) -> bool {
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
                eligible: self.directory.takes_requests(now, server),
                cold: self.directory.may_be_cold(now, server),
                service_ms: server.service_ms(),
            })
        });
        servers.collect()
    }

    /// What the granter has to know, since the last time.
    pub fn take_reports(&mut self) -> Vec<ServiceReport> {
        let mut reports = Vec::new();
        for pool in self.pools.values_mut().filter(|pool| pool.spec.keyed) {
            let keys = pool.key_counts.drain();
            let keys = keys.map(|(key, requests)| KeyCount { key, requests }).collect();
            let times = pool.servers.iter().filter_map(|name| {
                let service_ms = self.directory.get(*name)?.service_ms()?;
                Some(ServerTime { server: *name, service_ms: service_ms as f32 })
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
        pool.retries.on_request(now);
        if let Some(key) = key {
            pool.count_key(key);
        }
        *self.counts.entry(Counter::Request).or_default() += 1;
        Ok(RequestState::new(now, route, service, key, fields.deadline))
    }

    /// Picks the server of the next attempt.
    pub fn pick(&mut self, now: Time, request: &mut RequestState) -> Pick {
        if let Some(span) = self.crashes.banned(now, request.digest) {
            return Pick::Refuse(ErrorKind::Quarantined, Some(span));
        }
        if request.time_left(now).is_zero() {
            let kind = match request.may_have_run {
                true => ErrorKind::DeadlineUnknown,
                false => ErrorKind::Unreachable,
            };
            return Pick::Refuse(kind, None);
        }
        match request.key {
            Some(key) => self.pick_owner(now, request, key),
            None => self.pick_any(now, request),
        }
    }

    fn pick_owner(&mut self, now: Time, request: &mut RequestState, key: u16) -> Pick {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let owner = pool.owners.owner(key);
        let choice = owner.and_then(|owner| {
            let server = self.directory.get(owner.server)?;
            let same_life = server.entry.started == owner.started;
            let usable = same_life && self.directory.takes_requests(now, server);
            let free = !server.is_avoided(now);
            (usable && free).then(|| self.choice(now, owner.server, server, pool))
        });
        request.considered = choice;
        let Some(choice) = choice else {
            let waited = now.since(request.arrived).as_secs_f64();
            let longest = request.route.objective.as_secs_f64() * Router::OWNER_WAIT_SHARE;
            if waited < longest && request.time_left(now) > Router::OWNER_PAUSE {
                return Pick::Wait(now + Router::OWNER_PAUSE);
            }
            return self.refuse(now, request, ErrorKind::NoOwner);
        };
        if !choice.free_slot && self.is_hopeless(now, request, choice.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        if !self.take_cold(now, choice.server, &request.service) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        Pick::Send(choice)
    }

    fn pick_any(&mut self, now: Time, request: &mut RequestState) -> Pick {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let (mut near, mut far, mut cold) = (Vec::new(), Vec::new(), Vec::new());
        for name in &pool.servers {
            let Some(server) = self.directory.get(*name) else {
                continue;
            };
            let usable = self.directory.takes_requests(now, server) && !server.is_avoided(now);
            if !usable || request.tried.contains(name) {
                continue;
            }
            if self.directory.may_be_cold(now, server) {
                cold.push(*name);
            } else if server.entry.zone == self.settings.zone {
                near.push(*name);
            } else {
                far.push(*name);
            }
        }
        let mut best: Option<(f64, Choice)> = None;
        for name in
            sample(&mut self.random, &near).into_iter().chain(sample(&mut self.random, &far))
        {
            let Some(server) = self.directory.get(name) else {
                continue;
            };
            let choice = self.choice(now, name, server, pool);
            let cost =
                choice.expected_ms * server.failure_penalty() + self.zone_cost(server, request);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, choice));
            }
        }
        if let Some(choice) = self.pick_cold(now, request, &cold, best.map(|(cost, _)| cost)) {
            request.considered = Some(choice);
            return Pick::Send(choice);
        }
        request.considered = best.map(|(_, choice)| choice);
        let Some((_, choice)) = best else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        if !choice.free_slot && self.is_hopeless(now, request, choice.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        Pick::Send(choice)
    }

    /// Picks a cold server that may be sent a request and is no worse than the best warm one.
    fn pick_cold(
        &mut self,
        now: Time,
        request: &RequestState,
        cold: &[ServerName],
        best: Option<f64>,
    ) -> Option<Choice> {
        for name in cold {
            let pool = self.pools.get(&request.service)?;
            let server = self.directory.get(*name)?;
            let choice = self.choice(now, *name, server, pool);
            let cost =
                choice.expected_ms * server.failure_penalty() + self.zone_cost(server, request);
            if best.is_none_or(|best| cost <= best) && self.take_cold(now, *name, &request.service)
            {
                return Some(choice);
            }
        }
        None
    }

    /// Whether a server is warm, or else whether this router may send it a request now.
    fn take_cold(&mut self, now: Time, name: ServerName, service: &ServiceName) -> bool {
        let Some(server) = self.directory.get(name) else {
            return false;
        };
        if !self.directory.may_be_cold(now, server) {
            return true;
        }
        let Some(pool) = self.pools.get(service) else {
            return false;
        };
        let rate = pool.spec.warm_up_rate;
        let keyed = pool.spec.keyed;
        let routers = self.routers.max(self.hosts.len() as u32);
        let senders = match keyed {
            // A key's requests come to any router.
            true => routers,
            false => ColdShare::senders(rate, routers),
        };
        if !keyed && !self.sends_to(name, senders) {
            return false;
        }
        let server = self.directory.get_mut(name);
        server.is_some_and(|server| server.cold.take(now, rate, senders))
    }

    /// Whether this router is among those that send to a cold server.
    fn sends_to(&self, name: ServerName, senders: u32) -> bool {
        let rank = |host: &HostName| {
            xxh3_64_with_seed(
                name.as_str().as_bytes(),
                xxh3_64_with_seed(host.as_str().as_bytes(), 0),
            )
        };
        let own = rank(&self.settings.host);
        let before = self.hosts.iter().filter(|host| rank(host) < own).count();
        (before as u32) < senders
    }

    fn choice(&self, now: Time, name: ServerName, server: &Server, pool: &ServicePool) -> Choice {
        let share = f64::from(pool.spec.max_connections) * Router::CONNECTION_SHARE
            / f64::from(self.routers);
        Choice {
            server: name,
            started: server.entry.started,
            address: server.entry.address,
            max_connections: (share as usize).max(1),
            occupancy: server.occupancy(now),
            expected_ms: server.expected_ms(now, pool.usual_ms),
            free_slot: server.has_free_slot(now),
        }
    }

    fn zone_cost(&self, server: &Server, request: &RequestState) -> f64 {
        if server.entry.zone == self.settings.zone {
            return 0.0;
        }
        let kilobytes = request.body_bytes as f64 / 1024.0;
        Router::CROSS_ZONE_MS + kilobytes * Router::CROSS_ZONE_MS_PER_KB
    }

    /// Whether a request would be answered too late to be of use.
    fn is_hopeless(&self, now: Time, request: &RequestState, expected_ms: f64) -> bool {
        let objective = request.route.objective.as_secs_f64() * 1000.0 * Router::MAX_STRETCH;
        let left = request.time_left(now).as_secs_f64() * 1000.0;
        expected_ms > left.min(objective)
    }

    fn refuse(&mut self, now: Time, request: &RequestState, kind: ErrorKind) -> Pick {
        let (kind, after) = self.refusal(now, request, kind);
        Pick::Refuse(kind, after)
    }

    /// The answer to a request that is given up, and when its caller may come back.
    fn refusal(
        &mut self,
        now: Time,
        request: &RequestState,
        kind: ErrorKind,
    ) -> (ErrorKind, Option<Duration>) {
        if request.may_have_run {
            return (ErrorKind::ConnectionLost, None);
        }
        let span = match kind {
            ErrorKind::NoOwner => Router::OWNER_RETRY_AFTER,
            _ => Router::LOAD_RETRY_AFTER,
        };
        let spread = self.random.random_range(0.75..1.25);
        let most = request.time_left(now).mul_f64(Router::RETRY_AFTER_SHARE);
        (kind, Some(span.mul_f64(spread).min(most)))
    }

    /// Takes note that an attempt is about to be sent.
    pub fn on_sent(&mut self, choice: &Choice, request: &mut RequestState) {
        request.attempts += 1;
        *self.counts.entry(Counter::Attempt).or_default() += 1;
        if let Some(server) = self.directory.get_mut(choice.server) {
            server.in_flight += 1;
        }
    }

    /// Takes note that an attempt has ended, however it did.
    pub fn on_ended(&mut self, choice: &Choice) {
        if let Some(server) = self.directory.get_mut(choice.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load report of an answer.
    pub fn on_report(&mut self, now: Time, choice: &Choice, load: LoadReport) {
        if let Some(server) = self.directory.get_mut(choice.server) {
            server.on_report(now, load);
        }
    }

    /// Decides what becomes of a request after an attempt that took this long.
    pub fn judge(
        &mut self,
        now: Time,
        request: &mut RequestState,
        choice: &Choice,
        result: AttemptResult,
        took: Duration,
    ) -> Verdict {
        self.observe(now, request, choice, result, took);
        match result {
            AttemptResult::Answered { not_run: true, .. } => {
                self.again(now, request, choice, Counter::RetryNotRun, ErrorKind::ServiceOverloaded)
            }
            AttemptResult::Answered { status: 500.., .. } if request.route.idempotent() => {
                request.may_have_run = true;
                match self.may_retry(now, request, Counter::RetryFailed) {
                    true => Verdict::Retry,
                    false => Verdict::Deliver,
                }
            }
            AttemptResult::Answered { .. } => Verdict::Deliver,
            AttemptResult::NotConnected => {
                request.unsent += 1;
                if request.key.is_none() {
                    request.tried.push(choice.server);
                }
                *self.counts.entry(Counter::RetryNotConnected).or_default() += 1;
                if request.unsent < RequestState::MAX_UNSENT {
                    return Verdict::Retry;
                }
                let (kind, after) = self.refusal(now, request, ErrorKind::Unreachable);
                Verdict::Refuse(kind, after)
            }
            AttemptResult::Lost(kind) => {
                request.may_have_run = true;
                if !request.route.idempotent() {
                    return Verdict::Refuse(kind, None);
                }
                self.again(now, request, choice, Counter::RetryLost, kind)
            }
            AttemptResult::TimedOut => {
                request.may_have_run = true;
                Verdict::Refuse(ErrorKind::DeadlineUnknown, None)
            }
        }
    }

    fn observe(
        &mut self,
        now: Time,
        request: &RequestState,
        choice: &Choice,
        result: AttemptResult,
        took: Duration,
    ) {
        match result {
            AttemptResult::Answered { not_run: false, .. } => {
                self.crashes.on_completed(request.digest);
            }
            AttemptResult::Lost(ErrorKind::ConnectionLost) => {
                let Choice { server, started, .. } = *choice;
                self.crashes.on_lost(now, Crash { digest: request.digest, server, started });
            }
            _ => {}
        }
        let Some(server) = self.directory.get_mut(choice.server) else {
            return;
        };
        match result {
            AttemptResult::Answered { not_run: true, .. } | AttemptResult::Lost(_) => {
                server.on_failed();
            }
            AttemptResult::Answered { status, .. } => {
                server.on_served(took, choice.occupancy, status >= 500);
                let service_ms = server.service_ms();
                if let (Some(pool), Some(ms)) = (self.pools.get_mut(&request.service), service_ms) {
                    pool.on_served(ms);
                }
            }
            AttemptResult::NotConnected => server.on_unreachable(now),
            AttemptResult::TimedOut => server.on_timed_out(took, choice.free_slot),
        }
    }

    /// Tries again if that is allowed, else gives the request up for this reason.
    fn again(
        &mut self,
        now: Time,
        request: &mut RequestState,
        choice: &Choice,
        reason: Counter,
        kind: ErrorKind,
    ) -> Verdict {
        if request.key.is_none() {
            request.tried.push(choice.server);
        }
        if self.may_retry(now, request, reason) {
            return Verdict::Retry;
        }
        if request.may_have_run {
            return Verdict::Refuse(kind_of_lost(kind), None);
        }
        let (kind, after) = self.refusal(now, request, kind);
        Verdict::Refuse(kind, after)
    }

    fn may_retry(&mut self, now: Time, request: &RequestState, reason: Counter) -> bool {
        let Some(pool) = self.pools.get_mut(&request.service) else {
            return false;
        };
        if request.attempts >= request.route.max_attempts {
            return false;
        }
        let worst = pool.usual_ms.min(request.route.objective.as_secs_f64() * 1000.0);
        if request.time_left(now).as_secs_f64() * 1000.0 < worst {
            return false;
        }
        let allowed = pool.retries.take(now);
        let counter = if allowed { reason } else { Counter::RetryDenied };
        *self.counts.entry(counter).or_default() += 1;
        allowed
    }
}

/// A few servers at random: routers that do not see each other's requests would all send to the
/// one that looks best.
fn sample(random: &mut SmallRng, names: &[ServerName]) -> Vec<ServerName> {
    let count = names.len().min(SAMPLE);
    rand::seq::index::sample(random, names.len(), count).into_iter().map(|at| names[at]).collect()
}

/// The answer to a request that may have run, whatever was the last reason to give it up.
fn kind_of_lost(kind: ErrorKind) -> ErrorKind {
    match kind {
        ErrorKind::BadAnswer | ErrorKind::AnswerCut => kind,
        _ => ErrorKind::ConnectionLost,
    }
}
