use std::collections::BTreeSet;

use bay_types::{Revision, ServerName};

use crate::{Directory, ServerEntry, ServerList, ServerState};

/// Changed entries of servers; an entry of `None` is a removal.
pub type ServerChanges = Vec<(ServerName, Revision, Option<ServerEntry>)>;

/// Servers that the granter has named by a digest only, and whose entries this router lacks.
///
/// Messages name servers by [`ServerName`]. The entries of servers whose names are digests follow in
/// messages of their own, with the identifiers that requests to them need.
#[derive(Debug, Default)]
pub struct IdentifiedServers {
    missing: BTreeSet<ServerName>,
}

impl IdentifiedServers {
    /// Maximum number of servers in one message, so that any identifiers fit into a datagram.
    pub const MAX_PER_MESSAGE: usize = 24;

    /// Withholds the entry of a server from a message if the server's name is a digest: to a build that
    /// takes the digest for the identifier the server seems to drain, so that it is not used.
    pub fn withhold(name: ServerName, entry: ServerEntry) -> ServerEntry {
        match name.is_digest() {
            true => ServerEntry { state: ServerState::Draining, ..entry },
            false => entry,
        }
    }

    /// Leaves out the withheld entries of an update, and records which of them this router lacks.
    pub fn filter_changes(
        &mut self,
        directory: &Directory,
        changes: ServerChanges,
    ) -> ServerChanges {
        let is_usable = |change: &(ServerName, Revision, Option<ServerEntry>)| match change {
            (name, _, None) => {
                self.missing.remove(name);
                true
            }
            (name, revision, Some(_)) => !self.is_withheld(directory, *name, *revision),
        };
        changes.into_iter().filter(is_usable).collect()
    }

    /// Replaces the withheld entries of a full list by those known, and records which of them this
    /// router lacks.
    pub fn filter_list(&mut self, directory: &Directory, list: ServerList) -> ServerList {
        self.missing.clear();
        let known = |(name, revision, entry)| {
            if !self.is_withheld(directory, name, revision) {
                return Some((name, revision, entry));
            }
            let entry = directory.get(name)?.entry.clone();
            Some((name, directory.revision(name)?, entry))
        };
        list.into_iter().filter_map(known).collect()
    }

    /// Returns whether an entry was withheld; records it as missing if no later one is known.
    fn is_withheld(&mut self, directory: &Directory, name: ServerName, revision: Revision) -> bool {
        if !name.is_digest() {
            return false;
        }
        let known = directory.get(name).and_then(|_| directory.revision(name));
        if known.is_none_or(|known| known < revision) {
            self.missing.insert(name);
        }
        true
    }

    /// Records that the entry of a server has arrived.
    pub fn record_arrived(&mut self, name: ServerName) {
        self.missing.remove(&name);
    }

    /// Returns the servers whose entries must be requested, at most as many as fit into one answer.
    pub fn missing(&self) -> Vec<ServerName> {
        self.missing.iter().copied().take(IdentifiedServers::MAX_PER_MESSAGE).collect()
    }
}
