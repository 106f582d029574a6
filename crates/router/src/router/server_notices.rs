use bay_time::Time;

use super::Router;
use crate::{SelectedServer, ServerAccess, ServerNotice, ServerProcess, ServerStatement};

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
