use std::time::Duration;

use bay_time::Time;
use bay_types::{ErrorKind, HostName, ServerName};

use super::Router;
use crate::{
    Counter, Permit, PermitRequest, RateLimitNotice, RequestState, RoutingDecision, SelectedServer,
    Server,
};

/// Limits that servers name in their answers and that hold for all routers together.
///
/// A server in need keeps its requests within what it can bear. Those beyond are refused at once
/// instead of failing at the server.
impl Router {
    /// Time for which a router that has not answered is not asked for permits.
    const SILENT_HOST_TIMEOUT: Duration = Duration::from_secs(1);

    /// Records the rate limit that an answer names, or that it names none.
    pub fn record_rate_limit(
        &mut self,
        now: Time,
        selected: &SelectedServer,
        per_second: Option<f64>,
    ) {
        let SelectedServer { server: name, started, .. } = *selected;
        let Some(server) = self.directory.get_mut(name) else {
            return;
        };
        // A request that was sent to an earlier process may be answered after a restart.
        if server.entry.started != started {
            return;
        }
        if server.rate_limit.record_answer(now, selected.picked_at, per_second) {
            let per_second = server.rate_limit(now);
            self.new_rate_limits.push(RateLimitNotice { server: name, started, per_second });
        }
    }

    /// Drains the rate limits that this router has learned, to be sent to the other routers.
    pub fn drain_rate_limits(&mut self) -> Vec<RateLimitNotice> {
        std::mem::take(&mut self.new_rate_limits)
    }

    /// Applies a rate limit that another router has learned; returns whether it begins or ends.
    pub fn apply_rate_limit(&mut self, now: Time, notice: &RateLimitNotice) -> bool {
        let server = self.directory.get_mut(notice.server);
        let server = server.filter(|server| server.entry.started == notice.started);
        server.is_some_and(|server| server.rate_limit.apply_notice(now, notice.per_second))
    }

    /// Returns the router that grants the permits of a server.
    ///
    /// All routers with the same list of hosts agree on it, except on those that are silent.
    pub fn permit_host(&self, now: Time, server: ServerName) -> HostName {
        let is_silent = |host: &HostName| self.silent_hosts.get(host).is_some_and(|at| now < *at);
        let hosts = self.hosts.iter().filter(|host| !is_silent(host));
        let first = hosts.min_by_key(|host| Router::rank(**host, server));
        first.copied().unwrap_or(self.settings.host)
    }

    /// Records that a router has not answered a request for a permit.
    pub fn record_silent_host(&mut self, now: Time, host: HostName) {
        self.silent_hosts.retain(|_, until| now < *until);
        self.silent_hosts.insert(host, now + Router::SILENT_HOST_TIMEOUT);
    }

    /// Returns this router's equal part of a permit's rate, for when no other router answers.
    pub fn own_share(&self, request: PermitRequest) -> PermitRequest {
        let per_second = request.per_second / f64::from(self.router_count);
        PermitRequest { per_second, ..request }
    }

    /// Records the answer to a permit request, once the wait that it grants is over.
    pub fn record_permit(
        &mut self,
        now: Time,
        request: &mut RequestState,
        server: ServerName,
        permit: Permit,
    ) {
        match permit {
            Permit::Granted(_) => request.permit = Some(server),
            Permit::Denied(wait) => {
                if let Some(server) = self.directory.get_mut(server) {
                    server.next_permit_at = now + wait;
                }
            }
        }
    }

    /// Decides whether a request needs a permit for a server, or cannot get one in time; `None` if
    /// it may be sent.
    pub(super) fn require_permit(
        &mut self,
        now: Time,
        request: &RequestState,
        selected: &SelectedServer,
    ) -> Option<RoutingDecision> {
        let SelectedServer { server: name, started, expected_ms, .. } = *selected;
        let server = self.directory.get(name)?;
        // A router that does not know the others cannot tell which one grants the permits.
        if self.hosts.is_empty() && Router::needs_permit(now, server, request, name) {
            return Some(self.refuse_for_rate_limit(now, request));
        }
        let per_second = server.rate_limit(now).filter(|_| request.permit != Some(name))?;
        if Router::lacks_room(now, server, request, name, || expected_ms) {
            return Some(self.refuse_for_rate_limit(now, request));
        }
        let max_wait = max_permit_wait(now, request, expected_ms);
        let permit = PermitRequest { server: name, started, per_second, max_wait };
        Some(RoutingDecision::Acquire(permit))
    }

    /// Returns whether a permit is needed before a request may be sent to a server.
    pub(super) fn needs_permit(
        now: Time,
        server: &Server,
        request: &RequestState,
        name: ServerName,
    ) -> bool {
        server.rate_limit(now).is_some() && request.permit != Some(name)
    }

    /// Returns whether a server is known to have no room for a request in time.
    pub(super) fn lacks_room<F>(
        now: Time,
        server: &Server,
        request: &RequestState,
        name: ServerName,
        expected_ms: F,
    ) -> bool
    where
        F: FnOnce() -> f64,
    {
        Router::needs_permit(now, server, request, name)
            && server.permit_wait(now) > max_permit_wait(now, request, expected_ms())
    }

    /// Refuses a request because the servers' rate limits have no room for it in time.
    pub(super) fn refuse_for_rate_limit(
        &mut self,
        now: Time,
        request: &RequestState,
    ) -> RoutingDecision {
        *self.counts.entry(Counter::RateLimited).or_default() += 1;
        self.refuse(now, request, ErrorKind::ServiceOverloaded)
    }
}

/// Returns for how long a request can wait before it is sent and still meet its latency objective.
fn max_permit_wait(now: Time, request: &RequestState, expected_ms: f64) -> Duration {
    let expected = Duration::from_secs_f64(expected_ms / 1000.0);
    let aim = request.arrived_at + request.route.objective;
    aim.min(request.deadline).since(now).saturating_sub(expected)
}
