use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, HostName, ServerName, ServiceName};
use rand::RngExt;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use super::learned_capacity::sample_by_weight;
use crate::{
    Counter, RequestState, RoutingDecision, SelectedServer, Server, ServerAccess, ServicePool,
    WarmUpLimiter,
};

/// Servers that are sampled per request in the router's zone, and as many in all other zones.
const SAMPLE_SIZE: usize = 2;

impl Router {
    /// Cost of a kilobyte of body sent to another zone, as a share of the latency objective.
    ///
    /// Traffic between zones is what the platform charges most for.
    const CROSS_ZONE_COST_PER_KB: f64 = 0.008;
    /// Cost of a new connection to a server, as a share of the latency objective.
    ///
    /// Without it, each request of a router in a large fleet would go to a server to which the
    /// router has no connection.
    const NEW_CONNECTION_COST: f64 = 0.05;
    /// Cost of sending any request to another zone, as a share of the latency objective.
    const CROSS_ZONE_COST: f64 = 0.05;
    /// Upper bound of the cost of another zone, as a share of the latency objective.
    ///
    /// Without it, a request with a large body would queue in its own zone past the objective.
    const MAX_CROSS_ZONE_COST: f64 = 0.5;
    /// Time between two lookups of a key's owner while there is none.
    const OWNER_POLL_INTERVAL: Duration = Duration::from_millis(15);
    /// Longest wait for a server, as a share of the latency objective.
    const MAX_WAIT_SHARE: f64 = 0.5;
    /// Mean `Retry-After` of a request whose key has no owner.
    const OWNER_RETRY_AFTER: Duration = Duration::from_millis(400);
    /// Mean `Retry-After` of other refusals.
    pub(super) const LOAD_RETRY_AFTER: Duration = Duration::from_millis(250);
    /// Upper bound of `Retry-After`, as a share of the request's time left (platform bound).
    pub(super) const MAX_RETRY_AFTER_SHARE: f64 = 0.3;
    /// Share of a server's connection limit that all routers together use.
    const CONNECTION_SHARE: f64 = 0.8;
    /// Longest expected time of a request, as a share of the latency objective.
    ///
    /// A request that is expected to take longer is refused.
    const MAX_EXPECTED_SHARE: f64 = 1.0;
    /// Like [`Router::MAX_EXPECTED_SHARE`], for a request with a key. It can go to one server only, so
    /// that it is rather served late than refused.
    const MAX_EXPECTED_SHARE_OF_OWNER: f64 = 2.0;

    /// Picks the server of a request's next attempt, or decides to wait or to refuse.
    ///
    /// A request whose API key may have been withdrawn, that crashed servers, or whose time has run
    /// out, is refused. A request with a key goes to the key's owner.
    pub fn pick_server(&mut self, now: Time, request: &mut RequestState) -> RoutingDecision {
        if let Err(kind) = self.check_key(now, request) {
            return self.refuse_for_key(now, request, kind);
        }
        if let Some(remaining) = self.crash_detector.remaining_quarantine(now, request.digest) {
            return RoutingDecision::Refuse(ErrorKind::Quarantined, Some(remaining));
        }
        if request.time_left(now).is_zero() {
            let kind = match request.may_have_run {
                true => ErrorKind::DeadlineUnknown,
                false => ErrorKind::Unreachable,
            };
            return RoutingDecision::Refuse(kind, None);
        }
        if self.exceeds_key_limit(now, request) {
            return self.refuse_until_later(now, request, Counter::KeyLimited);
        }
        if !self.admits_by_rank(now, request) {
            return self.refuse_until_later(now, request, Counter::RankLimited);
        }
        if let Some(refusal) = self.refuse_for_quota(now, request) {
            return refusal;
        }
        let decision = match request.key {
            Some(key) => self.pick_owner(now, request, key),
            None => self.pick_from_pool(now, request),
        };
        if matches!(decision, RoutingDecision::Send(_)) && !self.try_spend_retry(now, request) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        decision
    }

    /// Returns whether a request is among those that the owner of its key cannot run. This is decided
    /// once for each request, by chance.
    fn exceeds_key_limit(&mut self, now: Time, request: &mut RequestState) -> bool {
        let Some(key) = request.key else {
            return false;
        };
        if std::mem::replace(&mut request.passed_key_limit, true) {
            return false;
        }
        let pool = self.pools.get(&request.service);
        let share = pool.and_then(|pool| pool.admitted_share(now, key));
        if self.settings.overload_control {
            return share.is_some_and(|share| !self.admits_exact_share(now, request, key, share));
        }
        share.is_some_and(|share| !self.rng.random_bool(f64::from(share.clamp(0.0, 1.0))))
    }

    /// Returns whether a request is among those that the owner of its key cannot run in time. This is
    /// decided once for each request, by chance.
    fn exceeds_owner_limit(
        &mut self,
        now: Time,
        request: &mut RequestState,
        owner: ServerName,
    ) -> bool {
        if std::mem::replace(&mut request.passed_owner_limit, true) {
            return false;
        }
        let pool = self.pools.get(&request.service);
        let share = pool.and_then(|pool| pool.owner_share(now, owner));
        share.is_some_and(|share| !self.rng.random_bool(f64::from(share.clamp(0.0, 1.0))))
    }

    /// Refuses a request for an overloaded key or service at once, and counts the reason.
    ///
    /// The load lasts for seconds, so that the caller is told to return as late as it may be, at a
    /// random time: callers who return together would be refused again.
    pub(super) fn refuse_until_later(
        &mut self,
        now: Time,
        request: &RequestState,
        reason: Counter,
    ) -> RoutingDecision {
        *self.counts.entry(reason).or_default() += 1;
        let max = request.caller_time_left(now).mul_f64(Router::MAX_RETRY_AFTER_SHARE);
        let after = max.mul_f64(self.rng.random_range(0.5..1.0));
        RoutingDecision::Refuse(ErrorKind::ServiceOverloaded, Some(after))
    }

    /// Picks the owner of a key; waits briefly if there is none, or it is not eligible or backing
    /// off.
    fn pick_owner(&mut self, now: Time, request: &mut RequestState, key: u16) -> RoutingDecision {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let holding = pool.owners.holding(key);
        // Such a key gets another owner, which takes longer than a request can wait.
        let may_wait = holding.is_none_or(|(range, owner)| {
            !pool.rejections.is_lasting(range, owner)
                && !self.directory.is_replaced(now, owner.server)
        });
        let holding = holding.filter(|(range, owner)| {
            // The owner would refuse the request again.
            !pool.rejections.contains(now, *range, *owner)
                && request.rejected_by != Some((*range, *owner))
        });
        let owner = holding.and_then(|(_, owner)| {
            let server = self.directory.get(owner.server)?;
            (server.entry.started == owner.started).then_some((owner.server, server))
        });
        let access = owner.map(|(name, server)| self.directory.access(now, name, server));
        let selected = owner
            .filter(|_| access == Some(ServerAccess::Open))
            .map(|(name, server)| self.describe_server(now, name, server, pool));
        request.last_selected = selected;
        let Some(selected) = selected else {
            if let Some(ServerAccess::Paused(at)) = access {
                return self.wait_or_refuse_during_pause(now, request, at);
            }
            if may_wait
                && now < Router::wait_end(request)
                && request.time_left(now) > Router::OWNER_POLL_INTERVAL
            {
                return RoutingDecision::Wait(now + Router::OWNER_POLL_INTERVAL);
            }
            return self.refuse(now, request, ErrorKind::NoOwner);
        };
        if !selected.has_free_slot && self.would_be_late(now, request, selected.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        if self.exceeds_owner_limit(now, request, selected.server) {
            return self.refuse_until_later(now, request, Counter::OwnerLimited);
        }
        if self.would_delay_urgent(now, request, &selected) {
            return self.refuse_for_urgent(now, request);
        }
        if let Some(decision) = self.require_permit(now, request, &selected) {
            return decision;
        }
        if !self.acquire_warm_up_token(now, selected.server, &request.service) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        RoutingDecision::Send(selected)
    }

    /// Returns until when a request may wait for a server to become available.
    pub(super) fn wait_end(request: &RequestState) -> Time {
        let end = request.arrived_at + request.route.objective.mul_f64(Router::MAX_WAIT_SHARE);
        end.min(request.deadline)
    }

    /// Picks the cheapest of a few sampled servers and those with an idle connection, without those
    /// excluded by earlier attempts.
    ///
    /// The cost of a server is the expected time there, raised by its failures, plus surcharges for
    /// another zone and for a new connection. Cold servers are compared without sampling.
    fn pick_from_pool(&mut self, now: Time, request: &mut RequestState) -> RoutingDecision {
        self.update_sample_shares(now, request.service);
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let (mut same_zone, mut other_zones, mut cold) = (Vec::new(), Vec::new(), Vec::new());
        let mut connected = Vec::new();
        let (mut permitted, mut rate_limited, mut probe) = (None, false, None);
        // Whether the server is excluded, and the end of its pause; the first to become available.
        let mut pause_end: Option<(bool, Time)> = None;
        for name in &pool.servers {
            let Some(server) = self.directory.get(*name) else {
                continue;
            };
            let access = self.directory.access(now, *name, server);
            if let ServerAccess::Paused(at) = access {
                let is_excluded = request.excluded.contains(name);
                pause_end = pause_end.into_iter().chain([(is_excluded, at)]).min();
            }
            if access != ServerAccess::Open || request.excluded.contains(name) {
                continue;
            }
            if request.permit == Some(*name) {
                permitted = Some(self.describe_server(now, *name, server, pool));
            }
            let expected_ms = || server.expected_ms(now, pool.average_ms);
            if Router::lacks_room(now, server, request, *name, expected_ms) {
                rate_limited = true;
                continue;
            }
            let rank = || Router::rank(self.settings.host, *name);
            let may_probe = request.route.is_idempotent();
            if may_probe && server.is_probe_due(now, pool.average_ms, self.router_count, rank) {
                probe = Some(*name);
            }
            if self.directory.may_be_cold(now, server) {
                cold.push(*name);
            } else if server.has_idle_connection(now) {
                connected.push(*name);
            } else if server.entry.zone == self.settings.zone {
                same_zone.push(*name);
            } else {
                other_zones.push(*name);
            }
        }
        if let Some(selected) = permitted
            && self.acquire_warm_up_token(now, selected.server, &request.service)
        {
            request.last_selected = Some(selected);
            return RoutingDecision::Send(selected);
        }
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        if let Some(name) = probe
            && let Some(server) = self.directory.get(name)
            && !self.directory.may_be_cold(now, server)
        {
            let selected = self.describe_server(now, name, server, pool);
            request.last_selected = Some(selected);
            let decision = self.require_permit(now, request, &selected);
            return decision.unwrap_or(RoutingDecision::Send(selected));
        }
        let mut best: Option<(f64, SelectedServer)> = None;
        let mut pick = |names: &[ServerName]| match self.settings.learn_capacities {
            false => sample(&mut self.rng, names),
            true => sample_by_weight(&mut self.rng, names, SAMPLE_SIZE, |name| {
                pool.sample_shares.share(name)
            }),
        };
        let (same_zone, other_zones) = (pick(&same_zone), pick(&other_zones));
        if self.settings.learn_capacities {
            connected = pick(&connected);
        }
        let sampled = same_zone.into_iter().chain(other_zones);
        for name in connected.into_iter().chain(sampled) {
            let Some(server) = self.directory.get(name) else {
                continue;
            };
            let selected = self.describe_server(now, name, server, pool);
            let cost = self.cost(now, server, request, &selected, pool.average_ms);
            if best.as_ref().is_none_or(|(least, _)| cost < *least) {
                best = Some((cost, selected));
            }
        }
        if let Some(selected) = self.pick_cold(now, request, &cold, best.map(|(cost, _)| cost)) {
            request.last_selected = Some(selected);
            let decision = self.require_permit(now, request, &selected);
            return decision.unwrap_or(RoutingDecision::Send(selected));
        }
        request.last_selected = best.map(|(_, selected)| selected);
        let Some((_, selected)) = best else {
            if rate_limited {
                return self.refuse_for_rate_limit(now, request);
            }
            return match pause_end {
                Some((false, at)) => self.wait_or_refuse_during_pause(now, request, at),
                Some((true, at)) => self.refuse_during_pause(now, request, at),
                None => self.refuse(now, request, ErrorKind::NoTarget),
            };
        };
        if !selected.has_free_slot && self.would_be_late(now, request, selected.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        if self.would_delay_urgent(now, request, &selected) {
            return self.refuse_for_urgent(now, request);
        }
        let decision = self.require_permit(now, request, &selected);
        decision.unwrap_or(RoutingDecision::Send(selected))
    }

    /// Picks the first cold server that has a warm-up token and costs at most `best`, the cost of
    /// the best warm one. A server for which a permit is missing needs that first.
    fn pick_cold(
        &mut self,
        now: Time,
        request: &RequestState,
        cold: &[ServerName],
        best: Option<f64>,
    ) -> Option<SelectedServer> {
        for name in cold {
            let pool = self.pools.get(&request.service)?;
            let server = self.directory.get(*name)?;
            let selected = self.describe_server(now, *name, server, pool);
            let cost = self.cost(now, server, request, &selected, pool.average_ms);
            let needs_permit = Router::needs_permit(now, server, request, *name);
            if best.is_none_or(|best| cost <= best)
                && (needs_permit || self.acquire_warm_up_token(now, *name, &request.service))
            {
                return Some(selected);
            }
        }
        None
    }

    /// Returns whether this router may send a request to a server, as far as its warm-up allows.
    ///
    /// A cold server costs a token of its warm-up limiter. Only a few routers send to a cold
    /// server, unless the service is keyed. A router that does not know the others yet sends none:
    /// after a loss of all routers, each of them could take itself for one of the few.
    fn acquire_warm_up_token(
        &mut self,
        now: Time,
        name: ServerName,
        service: &ServiceName,
    ) -> bool {
        let Some(server) = self.directory.get(name) else {
            return false;
        };
        if !self.directory.may_be_cold(now, server) {
            return true;
        }
        let Some(pool) = self.pools.get(service).filter(|_| !self.hosts.is_empty()) else {
            return false;
        };
        let rate = pool.spec.warm_up_rate;
        let keyed = pool.spec.keyed;
        let routers = self.router_count.max(self.hosts.len() as u32);
        let senders = match keyed {
            // Requests for a key arrive at any router.
            true => routers,
            false => WarmUpLimiter::sender_count(rate, routers),
        };
        if !keyed && !self.is_warm_up_sender(name, senders) {
            return false;
        }
        let server = self.directory.get_mut(name);
        server.is_some_and(|server| server.warm_up_limiter.try_acquire(now, rate, senders))
    }

    /// Returns whether this router is among the `senders` routers that send to a cold server.
    ///
    /// The routers are ranked by [`Router::rank`].
    fn is_warm_up_sender(&self, name: ServerName, senders: u32) -> bool {
        let own = Router::rank(self.settings.host, name);
        let lower = self.hosts.iter().filter(|host| Router::rank(**host, name) < own).count();
        (lower as u32) < senders
    }

    /// Returns a router's rank for a server (rendezvous hashing); the lowest ones come first.
    pub(super) fn rank(host: HostName, server: ServerName) -> u64 {
        xxh3_64_with_seed(
            server.as_str().as_bytes(),
            xxh3_64_with_seed(host.as_str().as_bytes(), 0),
        )
    }

    /// Describes a server with its current load, as the choice for one more request.
    fn describe_server(
        &self,
        now: Time,
        name: ServerName,
        server: &Server,
        pool: &ServicePool,
    ) -> SelectedServer {
        let share = f64::from(pool.spec.max_connections) * Router::CONNECTION_SHARE
            / f64::from(self.router_count);
        SelectedServer {
            picked_at: now,
            server: name,
            started: server.entry.started,
            address: server.entry.address,
            max_connections: (share as usize).max(1),
            occupancy: server.occupancy(now),
            expected_ms: server.expected_ms(now, pool.average_ms),
            has_free_slot: server.has_free_slot(now),
        }
    }

    /// Returns the cost of a server for a request, in milliseconds.
    fn cost(
        &self,
        now: Time,
        server: &Server,
        request: &RequestState,
        selected: &SelectedServer,
        average_ms: f64,
    ) -> f64 {
        let expected_ms = match (self.settings.learn_capacities, server.learned_capacity(now)) {
            // The sample's weights take the base time into account.
            (true, Some(learned)) => selected.expected_ms * (average_ms / learned.base_ms.max(1.0)),
            _ => selected.expected_ms,
        };
        expected_ms * server.failure_penalty()
            + self.cross_zone_cost(server, request)
            + Router::new_connection_cost(now, server, request)
            + server.permit_wait(now).as_secs_f64() * 1000.0
    }

    /// Returns the surcharge for sending a request to a server in another zone, in milliseconds.
    fn cross_zone_cost(&self, server: &Server, request: &RequestState) -> f64 {
        if server.entry.zone == self.settings.zone {
            return 0.0;
        }
        let kilobytes = request.body_bytes as f64 / 1024.0;
        let share = Router::CROSS_ZONE_COST + kilobytes * Router::CROSS_ZONE_COST_PER_KB;
        request.route.objective.as_secs_f64() * 1000.0 * share.min(Router::MAX_CROSS_ZONE_COST)
    }

    /// Returns the surcharge for a server to which a connection has to be opened, in milliseconds.
    fn new_connection_cost(now: Time, server: &Server, request: &RequestState) -> f64 {
        if server.has_idle_connection(now) {
            return 0.0;
        }
        request.route.objective.as_secs_f64() * 1000.0 * Router::NEW_CONNECTION_COST
    }

    /// Returns whether the expected time of a request exceeds its time left, or its latency objective
    /// by more than is accepted.
    fn would_be_late(&self, now: Time, request: &RequestState, expected_ms: f64) -> bool {
        let share = match request.key {
            Some(_) => Router::MAX_EXPECTED_SHARE_OF_OWNER,
            None => Router::MAX_EXPECTED_SHARE,
        };
        let objective = request.route.objective.as_secs_f64() * 1000.0 * share;
        let left = request.time_left(now).as_secs_f64() * 1000.0;
        expected_ms > left.min(objective)
    }

    pub(super) fn refuse(
        &mut self,
        now: Time,
        request: &RequestState,
        kind: ErrorKind,
    ) -> RoutingDecision {
        self.record_refusal(request, kind);
        let (kind, after) = self.refusal(now, request, kind);
        RoutingDecision::Refuse(kind, after)
    }

    /// Returns the error for a request that is given up, and the `Retry-After` for its caller.
    ///
    /// A request that may have run is never reported as not run, and gets no `Retry-After`. The
    /// value is randomized, so that refused callers don't all return at once.
    pub(super) fn refusal(
        &mut self,
        now: Time,
        request: &RequestState,
        kind: ErrorKind,
    ) -> (ErrorKind, Option<Duration>) {
        if request.may_have_run {
            return (ErrorKind::ConnectionLost, None);
        }
        let mean = match kind {
            ErrorKind::NoOwner => Router::OWNER_RETRY_AFTER,
            _ => Router::LOAD_RETRY_AFTER,
        };
        let spread = self.rng.random_range(0.75..1.25);
        let max = request.time_left(now).mul_f64(Router::MAX_RETRY_AFTER_SHARE);
        (kind, Some(mean.mul_f64(spread).min(max)))
    }
}

/// Returns up to [`SAMPLE_SIZE`] random servers.
///
/// Routers don't see each other's requests. If each compared all servers, all would send to the
/// server that looks best.
fn sample(rng: &mut SmallRng, names: &[ServerName]) -> Vec<ServerName> {
    let count = names.len().min(SAMPLE_SIZE);
    rand::seq::index::sample(rng, names.len(), count).into_iter().map(|at| names[at]).collect()
}
