use std::time::Duration;

use bay_time::Time;
use bay_types::ErrorKind;
use rand::RngExt;

use super::Router;
use crate::{
    Counter, RequestState, RoutingDecision, SelectedServer, ServerAccess, ServerNotice,
    ServerProcess, ServerStatement,
};

/// What servers say of themselves in answers.
///
/// It counts before their entries in the store, which are older, or stay after the server has ended.
impl Router {
    /// Records what an answer says of a server; returns whether that is new. The other routers are
    /// then to be told.
    pub fn record_statement(
        &mut self,
        now: Time,
        process: ServerProcess,
        statement: ServerStatement,
    ) -> bool {
        let is_new = self.directory.record_statement(now, process, statement);
        if is_new {
            self.new_notices.push(ServerNotice { process, statement });
        }
        is_new
    }

    /// Applies what another router has learned of a server; returns whether it is new.
    pub fn apply_notice(&mut self, now: Time, notice: &ServerNotice) -> bool {
        self.directory.record_statement(now, notice.process, notice.statement)
    }

    /// Records that a server itself has answered an order.
    pub fn record_presence(&mut self, process: &ServerProcess) {
        self.directory.record_presence(process);
    }

    /// Records that a server has asked this router for a pause.
    pub fn record_pause(&mut self, now: Time, process: ServerProcess, pause: Duration) {
        *self.counts.entry(Counter::ServerPause).or_default() += 1;
        self.directory.record_pause(now, process, pause);
    }

    /// Records that a server has answered without asking for a pause.
    pub fn record_unpaused_answer(&mut self, now: Time, process: &ServerProcess) {
        self.directory.record_answer(now, process);
    }

    /// Waits for the end of a server's pause if the request can then still be served in good time,
    /// or refuses it at once.
    pub(super) fn wait_or_refuse_during_pause(
        &mut self,
        now: Time,
        request: &RequestState,
        pause_end: Time,
    ) -> RoutingDecision {
        if pause_end <= Router::wait_end(request) {
            return RoutingDecision::Wait(pause_end);
        }
        self.refuse_during_pause(now, request, pause_end)
    }

    /// Refuses a request, and tells the caller to return after the end of a server's pause.
    pub(super) fn refuse_during_pause(
        &mut self,
        now: Time,
        request: &RequestState,
        pause_end: Time,
    ) -> RoutingDecision {
        *self.counts.entry(Counter::PauseRefused).or_default() += 1;
        self.record_refusal(request, ErrorKind::ServiceOverloaded);
        if request.may_have_run {
            return RoutingDecision::Refuse(ErrorKind::ConnectionLost, None);
        }
        // Callers who return before the end would be refused again, and all at once after it.
        let spread = self.rng.random_range(1.0..1.25);
        let max = request.time_left(now).mul_f64(Router::MAX_RETRY_AFTER_SHARE);
        let after = pause_end.since(now).max(Router::LOAD_RETRY_AFTER).mul_f64(spread).min(max);
        RoutingDecision::Refuse(ErrorKind::ServiceOverloaded, Some(after))
    }

    /// Drains what this router has learned of servers, to be sent to the other routers.
    pub fn drain_notices(&mut self) -> Vec<ServerNotice> {
        std::mem::take(&mut self.new_notices)
    }

    /// Returns whether a server that was picked may still get the request.
    pub fn may_send(&self, now: Time, selected: &SelectedServer) -> bool {
        let server = self.directory.get(selected.server);
        server.is_some_and(|server| {
            server.entry.started == selected.started
                && self.directory.access(now, selected.server, server) == ServerAccess::Open
        })
    }
}
