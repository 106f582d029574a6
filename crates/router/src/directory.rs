use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bay_time::Time;
use bay_types::{Revision, ServerName, ZoneName};

use crate::{Server, ServerEntry};

/// The servers that the store lists, and the zones that are out.
#[derive(Debug, Default)]
pub struct Directory {
    servers: BTreeMap<ServerName, Listed>,
    evacuated_zones: BTreeSet<ZoneName>,
    /// Zones that came back, and until when their servers may be cold without saying so.
    returning: BTreeMap<ZoneName, Time>,
    /// Until when a missing entry may still come back after an outage of the store.
    lapse_until: Time,
    loaded: bool,
    /// Revisions at which servers were removed, so that an older entry does not bring one back.
    removed: BTreeMap<ServerName, Revision>,
    /// Lives of servers that have ended since the last call of [`Directory::drain_ended`].
    ended: Vec<(ServerName, u64)>,
}

#[derive(Debug)]
struct Listed {
    server: Server,
    revision: Revision,
}

/// What a change of an entry means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectoryChange {
    /// Nothing that matters to requests.
    None,
    /// A server is there that was not, or a new life of one.
    Started,
    /// A server takes no more requests.
    Left,
    /// A server takes requests again.
    Back,
    /// A server has become cold without a restart.
    Cold,
}

impl Directory {
    /// Time after an outage of the store in which lapsed entries come back (platform bound).
    const LAPSE_GRACE: Duration = Duration::from_millis(2_000);

    /// Most removals that are remembered.
    const MAX_REMOVED: usize = 4_096;

    /// Whether all entries were read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded
    }

    /// Takes an entry, or its removal, at a revision of the store.
    pub fn apply(
        &mut self,
        now: Time,
        name: ServerName,
        revision: Revision,
        entry: Option<ServerEntry>,
    ) -> DirectoryChange {
        let Some(entry) = entry else {
            return self.remove(now, name, revision);
        };
        match self.servers.get_mut(&name) {
            Some(listed) if revision <= listed.revision => DirectoryChange::None,
            Some(listed) if same_life(&listed.server.entry, &entry) => {
                let before = listed.server.is_ready();
                let warm = !listed.server.is_cold(now);
                listed.revision = revision;
                listed.server.ends_at = None;
                listed.server.update(now, entry);
                match (before, listed.server.is_ready()) {
                    (true, false) => DirectoryChange::Left,
                    (false, true) => DirectoryChange::Back,
                    _ if warm && listed.server.is_cold(now) => DirectoryChange::Cold,
                    _ => DirectoryChange::None,
                }
            }
            None if self.removed.get(&name).is_some_and(|at| revision <= *at) => {
                DirectoryChange::None
            }
            _ => {
                let listed = Listed { server: Server::new(now, entry), revision };
                if let Some(before) = self.servers.insert(name, listed) {
                    self.ended.push((name, before.server.entry.started));
                }
                DirectoryChange::Started
            }
        }
    }

    /// Takes the whole list at a revision: what is missing was removed.
    pub fn replace(
        &mut self,
        now: Time,
        revision: Revision,
        entries: Vec<(ServerName, Revision, ServerEntry)>,
    ) -> Vec<(ServerName, DirectoryChange)> {
        let named: BTreeSet<ServerName> = entries.iter().map(|(name, _, _)| *name).collect();
        let missing: Vec<ServerName> =
            self.servers.keys().filter(|name| !named.contains(name)).copied().collect();
        let mut changes = Vec::new();
        for name in missing {
            changes.push((name, self.remove(now, name, revision)));
        }
        for (name, revision, entry) in entries {
            changes.push((name, self.apply(now, name, revision, Some(entry))));
        }
        self.loaded = true;
        changes.retain(|(_, change)| *change != DirectoryChange::None);
        changes
    }

    fn remove(&mut self, now: Time, name: ServerName, revision: Revision) -> DirectoryChange {
        let Some(listed) = self.servers.get_mut(&name) else {
            return DirectoryChange::None;
        };
        if revision < listed.revision {
            return DirectoryChange::None;
        }
        if now < self.lapse_until && listed.server.is_ready() {
            listed.server.ends_at.get_or_insert(self.lapse_until);
            return DirectoryChange::None;
        }
        self.forget(name, revision);
        DirectoryChange::Left
    }

    fn forget(&mut self, name: ServerName, revision: Revision) {
        if let Some(listed) = self.servers.remove(&name) {
            self.ended.push((name, listed.server.entry.started));
        }
        if self.removed.len() >= Directory::MAX_REMOVED {
            self.removed.clear();
        }
        // The entry of a removal may tell the revision of the last write only.
        self.removed.insert(name, revision);
    }

    /// Lives of servers that have ended since the last call.
    pub fn drain_ended(&mut self) -> Vec<(ServerName, u64)> {
        std::mem::take(&mut self.ended)
    }

    /// Takes note that the store answers again after an outage.
    pub fn handle_store_recovery(&mut self, now: Time) {
        self.lapse_until = now + Directory::LAPSE_GRACE;
    }

    /// Removes the entries that did not come back; returns their servers.
    pub fn expire(&mut self, now: Time) -> Vec<ServerName> {
        let due = |listed: &Listed| listed.server.has_ended(now);
        let gone: Vec<ServerName> =
            self.servers.iter().filter(|(_, listed)| due(listed)).map(|(name, _)| *name).collect();
        for name in &gone {
            let revision = self.revision(*name).unwrap_or_default();
            self.forget(*name, revision);
        }
        gone
    }

    /// Takes the zones that are out; `warm_up` tells how long a returning server may be cold.
    pub fn set_evacuated_zones(&mut self, now: Time, zones: BTreeSet<ZoneName>, warm_up: Duration) {
        for zone in self.evacuated_zones.difference(&zones) {
            self.returning.insert(*zone, now + warm_up);
        }
        self.returning.retain(|_, until| now < *until);
        self.evacuated_zones = zones;
    }

    /// The zones that are out.
    pub fn evacuated_zones(&self) -> &BTreeSet<ZoneName> {
        &self.evacuated_zones
    }

    /// The revision of a server's entry, or of its removal.
    pub fn revision(&self, name: ServerName) -> Option<Revision> {
        let listed = self.servers.get(&name).map(|listed| listed.revision);
        listed.or_else(|| self.removed.get(&name).copied())
    }

    /// A server that is listed.
    pub fn get(&self, name: ServerName) -> Option<&Server> {
        self.servers.get(&name).map(|listed| &listed.server)
    }

    /// A server that is listed.
    pub fn get_mut(&mut self, name: ServerName) -> Option<&mut Server> {
        self.servers.get_mut(&name).map(|listed| &mut listed.server)
    }

    /// All servers that are listed.
    pub fn iter(&self) -> impl Iterator<Item = (ServerName, &Server)> {
        self.servers.iter().map(|(name, listed)| (*name, &listed.server))
    }

    /// Whether a server may be sent requests.
    pub fn is_eligible(&self, now: Time, server: &Server) -> bool {
        server.is_ready()
            && !server.has_ended(now)
            && !self.evacuated_zones.contains(&server.entry.zone)
    }

    /// Whether a server may be cold.
    pub fn may_be_cold(&self, now: Time, server: &Server) -> bool {
        let returning = self.returning.get(&server.entry.zone).is_some_and(|until| now < *until);
        returning || server.is_cold(now)
    }
}

fn same_life(a: &ServerEntry, b: &ServerEntry) -> bool {
    a.started == b.started && a.address == b.address && a.service == b.service
}
