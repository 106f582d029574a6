use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::{Revision, ServerName, ZoneName};

use crate::server_standing::ServerStanding;
use crate::{Server, ServerAccess, ServerEntry, ServerIdentifier, ServerProcess, ServerStatement};

/// The servers that are registered in the store, and the zones that are out.
#[derive(Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerName, RegisteredServer>,
    zones_out: BTreeSet<ZoneName>,
    /// Zones back in service, with the time until which their servers may be cold
    /// without reporting it.
    returning_zones: BTreeMap<ZoneName, Time>,
    /// End of the grace period after a store outage, in which missing entries may return.
    grace_until: Time,
    /// Whether a full list of entries was applied.
    loaded: bool,
    /// Revisions at which servers were removed; an older entry doesn't restore a server.
    removed: BTreeMap<ServerName, Revision>,
    /// Revision of the first list after the store was restored from a copy. Entries up to it may be
    /// older than those known.
    copied_until: Revision,
    /// The latest revision of the store up to which changes were applied.
    latest: Revision,
    /// Name and start time of servers that have ended since the last [`Directory::drain_ended`].
    ended: Vec<(ServerName, u64)>,
    /// What answers have told of processes, also of those whose entries have lapsed and may return.
    standings: BTreeMap<ServerProcess, ServerStanding>,
    /// Identifiers of the registered servers whose names are digests.
    identifiers: BTreeMap<ServerName, ServerIdentifier>,
}

#[derive(Debug)]
struct RegisteredServer {
    server: Server,
    revision: Revision,
}

/// Effect of a changed entry on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// No effect on requests, for example a heartbeat or a stale entry.
    None,
    /// A new server, or a new incarnation of a known one.
    Started,
    /// A server was removed or started to drain.
    Left,
    /// A draining server is ready again.
    Back,
    /// A server turned cold without a restart.
    Cold,
    /// An entry that was missing from the store came back, or was written again after a restoration.
    Returned,
}

impl Directory {
    /// Time after a store outage in which lapsed entries may return (platform bound).
    const GRACE_PERIOD: Duration = Duration::from_millis(2_000);

    /// Bound of the recorded standings; the oldest ones are dropped beyond it.
    const MAX_STANDINGS: usize = 4_096;

    /// Bound of the recorded removals; all are dropped when it is reached.
    const MAX_REMOVED: usize = 4_096;

    /// Returns whether a full list of entries was applied.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Applies an entry, or its removal if `entry` is `None`, at a revision of the store.
    ///
    /// A stale revision has no effect.
    pub fn apply(
        &mut self,
        now: Time,
        name: ServerName,
        revision: Revision,
        entry: Option<ServerEntry>,
    ) -> DirectoryChange {
        self.latest = self.latest.max(revision);
        let Some(entry) = entry else {
            return self.remove(now, name, revision);
        };
        if self.is_outdated_copy(name, revision, &entry) {
            return DirectoryChange::None;
        }
        match self.servers.get_mut(&name) {
            Some(registered) if revision <= registered.revision => DirectoryChange::None,
            Some(registered) if is_same_incarnation(&registered.server.entry, &entry) => {
                let ServerEntry { started, address, heartbeat, .. } = entry;
                let process = ServerProcess { server: name, started, address };
                if let Some(standing) = self.standings.get_mut(&process) {
                    standing.record_heartbeat(heartbeat);
                }
                let was_ready = registered.server.is_ready();
                let was_warm = !registered.server.is_cold(now);
                let was_removed = registered.server.removal_at.take().is_some();
                let is_rewritten = registered.revision.era() < revision.era();
                registered.revision = revision;
                registered.server.update(now, entry);
                match (was_ready, registered.server.is_ready()) {
                    (true, false) => DirectoryChange::Left,
                    (false, true) => DirectoryChange::Back,
                    _ if was_warm && registered.server.is_cold(now) => DirectoryChange::Cold,
                    _ if was_removed || is_rewritten => DirectoryChange::Returned,
                    _ => DirectoryChange::None,
                }
            }
            None if self.removed.get(&name).is_some_and(|at| revision <= *at) => {
                DirectoryChange::None
            }
            _ => {
                let registered = RegisteredServer { server: Server::new(now, entry), revision };
                if let Some(replaced) = self.servers.insert(name, registered) {
                    self.ended.push((name, replaced.server.entry.started));
                }
                DirectoryChange::Started
            }
        }
    }

    /// Replaces the list as of a revision; servers that are missing from it were removed.
    ///
    /// Returns the changes other than `None`.
    pub fn replace(
        &mut self,
        now: Time,
        revision: Revision,
        entries: Vec<(ServerName, Revision, ServerEntry)>,
    ) -> Vec<(ServerName, DirectoryChange)> {
        if self.loaded && revision.era() > self.latest.era() {
            self.copied_until = revision;
            // Servers write entries again that the copy lacks.
            self.handle_store_recovery(now);
        }
        let listed: BTreeSet<ServerName> = entries.iter().map(|(name, _, _)| *name).collect();
        let missing: Vec<ServerName> =
            self.servers.keys().filter(|name| !listed.contains(name)).copied().collect();
        let mut changes = Vec::new();
        for name in missing {
            changes.push((name, self.remove(now, name, revision)));
        }
        for (name, revision, entry) in entries {
            changes.push((name, self.apply(now, name, revision, Some(entry))));
        }
        self.loaded = true;
        self.latest = self.latest.max(revision);
        changes.retain(|(_, change)| *change != DirectoryChange::None);
        changes
    }

    /// Returns whether an entry is that of a copy from which the store was restored, and older than what
    /// is known of the server. A server that runs soon writes its entry again.
    fn is_outdated_copy(&self, name: ServerName, revision: Revision, entry: &ServerEntry) -> bool {
        if revision > self.copied_until || revision.era() != self.copied_until.era() {
            return false;
        }
        match self.servers.get(&name) {
            Some(registered) if registered.revision.era() < revision.era() => {
                let known = &registered.server.entry;
                !is_same_incarnation(known, entry) || entry.heartbeat < known.heartbeat
            }
            Some(_) => false,
            None => self.removed.get(&name).is_some_and(|at| at.era() < revision.era()),
        }
    }

    /// Removes a server; during the grace period, a ready one is removed only at its end.
    fn remove(&mut self, now: Time, name: ServerName, revision: Revision) -> DirectoryChange {
        let Some(registered) = self.servers.get_mut(&name) else {
            return DirectoryChange::None;
        };
        if revision < registered.revision {
            return DirectoryChange::None;
        }
        if now < self.grace_until && registered.server.is_ready() {
            registered.server.removal_at.get_or_insert(self.grace_until);
            return DirectoryChange::None;
        }
        self.remove_now(name, revision);
        DirectoryChange::Left
    }

    /// Removes a server at once.
    fn remove_now(&mut self, name: ServerName, revision: Revision) {
        self.identifiers.remove(&name);
        if let Some(registered) = self.servers.remove(&name) {
            self.ended.push((name, registered.server.entry.started));
        }
        if self.removed.len() >= Directory::MAX_REMOVED {
            self.removed.clear();
        }
        // A removal may carry the revision of the last write instead of its own.
        self.removed.insert(name, revision);
    }

    /// Drains the name and start time of the servers that have ended since the last call.
    pub fn drain_ended(&mut self) -> Vec<(ServerName, u64)> {
        std::mem::take(&mut self.ended)
    }

    /// Starts the grace period after a store outage, in which lapsed entries may return.
    pub fn handle_store_recovery(&mut self, now: Time) {
        self.grace_until = now + Directory::GRACE_PERIOD;
    }

    /// Returns whether a server's entry should have returned by `now`, and has not.
    pub fn has_lapsed(&self, now: Time) -> bool {
        self.servers.values().any(|registered| registered.server.has_lapsed(now))
    }

    /// Removes the servers whose entries didn't return in time; returns their names.
    pub fn expire(&mut self, now: Time) -> Vec<ServerName> {
        let is_due = |registered: &RegisteredServer| registered.server.has_lapsed(now);
        let expired: Vec<ServerName> = self
            .servers
            .iter()
            .filter(|(_, registered)| is_due(registered))
            .map(|(name, _)| *name)
            .collect();
        for name in &expired {
            let revision = self.revision(*name).unwrap_or_default();
            self.remove_now(*name, revision);
        }
        expired
    }

    /// Replaces the zones that are out; servers of a returning zone may be cold for `warm_up`.
    pub fn set_zones_out(&mut self, now: Time, zones: BTreeSet<ZoneName>, warm_up: Duration) {
        for zone in self.zones_out.difference(&zones) {
            self.returning_zones.insert(*zone, now + warm_up);
        }
        self.returning_zones.retain(|_, until| now < *until);
        self.zones_out = zones;
    }

    /// Returns the zones that are out.
    pub fn zones_out(&self) -> &BTreeSet<ZoneName> {
        &self.zones_out
    }

    /// Returns the revision of a server's entry, or of its removal.
    pub fn revision(&self, name: ServerName) -> Option<Revision> {
        let registered = self.servers.get(&name).map(|registered| registered.revision);
        registered.or_else(|| self.removed.get(&name).copied())
    }

    /// Returns the latest revision of the store up to which changes were applied, from which the
    /// next ones can be watched; `None` before a full list was applied.
    pub fn latest_revision(&self) -> Option<Revision> {
        self.loaded.then_some(self.latest)
    }

    /// Records the identifier of a server, if the server is registered and its name doesn't tell it.
    pub fn record_identifier(&mut self, identifier: ServerIdentifier) {
        let name = identifier.name();
        if name.is_digest() && self.servers.contains_key(&name) {
            self.identifiers.insert(name, identifier);
        }
    }

    /// Returns the identifier of a registered server; `None` if it is not registered.
    pub fn identifier(&self, name: ServerName) -> Option<ServerIdentifier> {
        self.get(name)?;
        ServerIdentifier::from_name(name).or_else(|| self.identifiers.get(&name).cloned())
    }

    /// Returns how many identifiers are kept apart from their servers' names.
    pub fn identifier_count(&self) -> usize {
        self.identifiers.len()
    }

    /// Returns a registered server.
    pub fn get(&self, name: ServerName) -> Option<&Server> {
        self.servers.get(&name).map(|registered| &registered.server)
    }

    /// Returns a registered server for modification.
    pub fn get_mut(&mut self, name: ServerName) -> Option<&mut Server> {
        self.servers.get_mut(&name).map(|registered| &mut registered.server)
    }

    /// Iterates over the registered servers in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (ServerName, &Server)> {
        self.servers.iter().map(|(name, registered)| (*name, &registered.server))
    }

    /// Returns how many servers name a rate limit.
    pub fn rate_limited_count(&self, now: Time) -> usize {
        self.iter().filter(|(_, server)| server.rate_limit(now).is_some()).count()
    }

    /// Returns whether a server is ready, still registered, not about to stop, not replaced at its
    /// address and not in a zone that is out.
    pub fn is_eligible(&self, now: Time, name: ServerName, server: &Server) -> bool {
        server.is_ready()
            && !server.has_lapsed(now)
            && !self.zones_out.contains(&server.entry.zone)
            && !self.standing(name, server).is_leaving
            && !self.standing(name, server).is_replaced(now)
    }

    /// Returns whether keys may be assigned to a server.
    ///
    /// A server whose address another one may have is not tried with keys, as each try would leave
    /// them without an owner.
    pub fn is_assignable(&self, now: Time, name: ServerName, server: &Server) -> bool {
        self.is_eligible(now, name, server) && !self.standing(name, server).may_be_replaced()
    }

    /// Returns whether requests may be sent to a server now.
    pub fn access(&self, now: Time, name: ServerName, server: &Server) -> ServerAccess {
        if !self.is_eligible(now, name, server) {
            ServerAccess::Closed
        } else if let Some(at) =
            self.standing(name, server).pause_end(now, server.in_flight_count())
        {
            ServerAccess::Paused(at)
        } else if server.is_backing_off(now) {
            ServerAccess::Unreachable
        } else {
            ServerAccess::Open
        }
    }

    /// Records what an answer says of a process; returns whether that is new.
    pub fn record_statement(
        &mut self,
        now: Time,
        process: ServerProcess,
        statement: ServerStatement,
    ) -> bool {
        let registered = self.get(process.server).map(|server| &server.entry);
        let entry = registered.filter(|entry| entry.started == process.started);
        let heartbeat = entry.map_or(0, |entry| entry.heartbeat);
        let standing = self.standing_mut(now, process);
        match statement {
            ServerStatement::Replaced => standing.record_replaced(now, heartbeat),
            ServerStatement::Leaving => !std::mem::replace(&mut standing.is_leaving, true),
        }
    }

    /// Records that a process has asked this router for a pause.
    pub fn record_pause(&mut self, now: Time, process: ServerProcess, pause: Duration) {
        self.standing_mut(now, process).record_pause(now, pause);
    }

    /// Returns whether another server is taken to have the address of a registered one.
    pub fn is_replaced(&self, now: Time, name: ServerName) -> bool {
        let server = self.get(name);
        server.is_some_and(|server| self.standing(name, server).is_replaced(now))
    }

    /// Records that a process itself has answered.
    pub fn record_presence(&mut self, process: &ServerProcess) {
        if let Some(standing) = self.standings.get_mut(process) {
            standing.record_presence();
        }
    }

    /// Records that a process has answered without asking for a pause.
    pub fn record_answer(&mut self, now: Time, process: &ServerProcess) {
        if let Some(standing) = self.standings.get_mut(process) {
            standing.record_answer(now);
        }
    }

    fn standing(&self, name: ServerName, server: &Server) -> ServerStanding {
        let ServerEntry { started, address, .. } = server.entry;
        let process = ServerProcess { server: name, started, address };
        self.standings.get(&process).copied().unwrap_or_default()
    }

    /// Returns the standing of a process for a change.
    fn standing_mut(&mut self, now: Time, process: ServerProcess) -> &mut ServerStanding {
        let is_full = self.standings.len() >= Directory::MAX_STANDINGS;
        if is_full && !self.standings.contains_key(&process) {
            let oldest = self.standings.iter().min_by_key(|(_, standing)| standing.changed_at);
            if let Some(oldest) = oldest.map(|(process, _)| *process) {
                self.standings.remove(&oldest);
            }
        }
        let standing = self.standings.entry(process).or_default();
        standing.changed_at = now;
        standing
    }

    /// Returns whether a server is cold, or its zone returned to service recently.
    pub fn may_be_cold(&self, now: Time, server: &Server) -> bool {
        let is_returning =
            self.returning_zones.get(&server.entry.zone).is_some_and(|until| now < *until);
        is_returning || server.is_cold(now)
    }
}

/// Returns whether two entries describe the same process of a server.
fn is_same_incarnation(a: &ServerEntry, b: &ServerEntry) -> bool {
    a.started == b.started && a.address == b.address && a.service == b.service
}
