use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, HostName, ServerName, ServiceName};
use rand::RngExt;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Router;
use crate::{RequestState, RoutingDecision, SelectedServer, Server, ServicePool, WarmUpLimiter};

/// Servers of a zone that are compared for a request.
const SAMPLE: usize = 2;

impl Router {
    /// Expected time that a body costs for each kilobyte that goes to another zone, as a share of
    /// the latency objective; bytes between zones are what the platform charges most for.
    const CROSS_ZONE_SHARE_PER_KB: f64 = 0.008;
    /// The same for any request.
    const CROSS_ZONE_SHARE: f64 = 0.05;
    /// The most that another zone costs, so that a request waits in its own one only as long as
    /// it is answered within the objective.
    const MAX_CROSS_ZONE_SHARE: f64 = 0.5;
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

    /// Picks the server of the next attempt.
    pub fn pick_server(&mut self, now: Time, request: &mut RequestState) -> RoutingDecision {
        if let Some(span) = self.crashes.remaining_ban(now, request.digest) {
            return RoutingDecision::Refuse(ErrorKind::Quarantined, Some(span));
        }
        if request.time_left(now).is_zero() {
            let kind = match request.may_have_run {
                true => ErrorKind::DeadlineUnknown,
                false => ErrorKind::Unreachable,
            };
            return RoutingDecision::Refuse(kind, None);
        }
        match request.key {
            Some(key) => self.pick_owner(now, request, key),
            None => self.pick_any(now, request),
        }
    }

    fn pick_owner(&mut self, now: Time, request: &mut RequestState, key: u16) -> RoutingDecision {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let owner = pool.owners.owner(key);
        let choice = owner.and_then(|owner| {
            let server = self.directory.get(owner.server)?;
            let same_life = server.entry.started == owner.started;
            let usable = same_life && self.directory.is_eligible(now, server);
            let free = !server.is_backing_off(now);
            (usable && free).then(|| self.choice(now, owner.server, server, pool))
        });
        request.last_candidate = choice;
        let Some(choice) = choice else {
            let waited = now.since(request.arrived_at).as_secs_f64();
            let longest = request.route.objective.as_secs_f64() * Router::OWNER_WAIT_SHARE;
            if waited < longest && request.time_left(now) > Router::OWNER_PAUSE {
                return RoutingDecision::Wait(now + Router::OWNER_PAUSE);
            }
            return self.refuse(now, request, ErrorKind::NoOwner);
        };
        if !choice.has_free_slot && self.is_hopeless(now, request, choice.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        if !self.take_cold(now, choice.server, &request.service) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        RoutingDecision::Send(choice)
    }

    fn pick_any(&mut self, now: Time, request: &mut RequestState) -> RoutingDecision {
        let Some(pool) = self.pools.get(&request.service) else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        let (mut near, mut far, mut cold) = (Vec::new(), Vec::new(), Vec::new());
        for name in &pool.servers {
            let Some(server) = self.directory.get(*name) else {
                continue;
            };
            let usable = self.directory.is_eligible(now, server) && !server.is_backing_off(now);
            if !usable || request.excluded.contains(name) {
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
        let mut best: Option<(f64, SelectedServer)> = None;
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
            request.last_candidate = Some(choice);
            return RoutingDecision::Send(choice);
        }
        request.last_candidate = best.map(|(_, choice)| choice);
        let Some((_, choice)) = best else {
            return self.refuse(now, request, ErrorKind::NoTarget);
        };
        if !choice.has_free_slot && self.is_hopeless(now, request, choice.expected_ms) {
            return self.refuse(now, request, ErrorKind::ServiceOverloaded);
        }
        RoutingDecision::Send(choice)
    }

    /// Picks a cold server that may be sent a request and is no worse than the best warm one.
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
            false => WarmUpLimiter::sender_count(rate, routers),
        };
        if !keyed && !self.sends_to(name, senders) {
            return false;
        }
        let server = self.directory.get_mut(name);
        server.is_some_and(|server| server.cold.try_acquire(now, rate, senders))
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

    fn choice(
        &self,
        now: Time,
        name: ServerName,
        server: &Server,
        pool: &ServicePool,
    ) -> SelectedServer {
        let share = f64::from(pool.spec.max_connections) * Router::CONNECTION_SHARE
            / f64::from(self.routers);
        SelectedServer {
            server: name,
            started: server.entry.started,
            address: server.entry.address,
            max_connections: (share as usize).max(1),
            occupancy: server.occupancy(now),
            expected_ms: server.expected_ms(now, pool.average_ms),
            has_free_slot: server.has_free_slot(now),
        }
    }

    fn zone_cost(&self, server: &Server, request: &RequestState) -> f64 {
        if server.entry.zone == self.settings.zone {
            return 0.0;
        }
        let kilobytes = request.body_bytes as f64 / 1024.0;
        let share = Router::CROSS_ZONE_SHARE + kilobytes * Router::CROSS_ZONE_SHARE_PER_KB;
        request.route.objective.as_secs_f64() * 1000.0 * share.min(Router::MAX_CROSS_ZONE_SHARE)
    }

    /// Whether a request would be answered too late to be of use.
    fn is_hopeless(&self, now: Time, request: &RequestState, expected_ms: f64) -> bool {
        let objective = request.route.objective.as_secs_f64() * 1000.0 * Router::MAX_STRETCH;
        let left = request.time_left(now).as_secs_f64() * 1000.0;
        expected_ms > left.min(objective)
    }

    fn refuse(&mut self, now: Time, request: &RequestState, kind: ErrorKind) -> RoutingDecision {
        let (kind, after) = self.refusal(now, request, kind);
        RoutingDecision::Refuse(kind, after)
    }

    /// The answer to a request that is given up, and when its caller may come back.
    pub(super) fn refusal(
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
}

/// A few servers at random: routers that do not see each other's requests would all send to the
/// one that looks best.
fn sample(random: &mut SmallRng, names: &[ServerName]) -> Vec<ServerName> {
    let count = names.len().min(SAMPLE);
    rand::seq::index::sample(random, names.len(), count).into_iter().map(|at| names[at]).collect()
}
