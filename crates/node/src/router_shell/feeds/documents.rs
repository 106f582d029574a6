use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use bay_router::{DirectoryChange, HostRecord, ServerEntry, ServerIdentifier};
use bay_store::{Change, Object, ObjectKey};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Revision, ServerName, ZoneName};

use super::Feed;
use crate::router_shell::shell_state::ShellState;
use crate::router_shell::{config_updates, hosts, server_updates};

/// Time after a restoration of the store for which a zone that was out before stays out, unless the
/// operator decides otherwise.
const KEPT_ZONE_TIME: Duration = Duration::from_secs(5);

/// Zones out of service and registered routers as read by a feed. Their changes arrive one by one,
/// but the router is given full sets.
#[derive(Debug, Default)]
pub(super) struct FeedDocuments {
    zones: BTreeSet<ZoneName>,
    /// Zones that were out before the store was restored from a copy without them, and until when they
    /// stay out unless they are written again.
    kept_zones: BTreeMap<ZoneName, Time>,
    /// Number of restorations of the store up to the last list.
    restorations: u64,
    /// Whether the last list was the first one after a restoration.
    follows_restoration: bool,
    hosts: BTreeMap<HostName, HostRecord>,
    /// Configurations in the store that cannot be used; what they change is not known here.
    unusable_configs: BTreeSet<ObjectKey>,
}

impl FeedDocuments {
    /// Replaces all documents of a feed with a list.
    pub(super) fn replace_all(
        &mut self,
        shell: &Rc<ShellState>,
        feed: Feed,
        objects: Vec<Object>,
        revision: Revision,
    ) {
        match feed {
            Feed::Config => {
                self.unusable_configs.clear();
                for object in objects {
                    self.apply_config(shell, object.key, &object.body);
                }
            }
            Feed::Servers => {
                let mut identifiers = Vec::new();
                let entries = objects.iter().filter_map(|object| {
                    let identifier = server_from_key(&object.key)?;
                    let name = identifier.name();
                    let entry = parse_server_entry(shell, name, &object.body)?;
                    identifiers.push(identifier);
                    Some((name, object.revision, entry))
                });
                let entries: Vec<_> = entries.collect();
                let now = BootClock.now();
                let changes = {
                    let mut router = shell.router.borrow_mut();
                    let changes = router.replace_servers(now, revision, entries);
                    identifiers.into_iter().for_each(|each| router.record_identifier(each));
                    changes
                };
                for (name, change) in &changes {
                    handle_server_change(shell, *name, *change, revision);
                }
                server_updates::publish_changes(shell, &changes);
            }
            Feed::Zones => {
                let listed: BTreeSet<ZoneName> =
                    objects.iter().map(|object| zone_from_key(&object.key)).collect();
                if self.follows_restoration {
                    let until = BootClock.now() + KEPT_ZONE_TIME;
                    let missing = self.zones.difference(&listed);
                    self.kept_zones.extend(missing.map(|zone| (*zone, until)));
                }
                self.zones = listed;
                self.apply_zones(shell);
            }
            Feed::Hosts => {
                self.hosts = objects.iter().filter_map(hosts::parse_host_record).collect();
                if self.follows_restoration {
                    let missing = hosts::keep_missing_hosts(shell, &self.hosts);
                    self.hosts.extend(missing);
                }
                self.apply_hosts(shell);
            }
        }
    }

    /// Applies the changes of a watch.
    pub(super) fn apply_changes(
        &mut self,
        shell: &Rc<ShellState>,
        feed: Feed,
        changes: Vec<Change>,
    ) {
        if changes.is_empty() {
            return;
        }
        let mut servers = Vec::new();
        for change in changes {
            match feed {
                Feed::Config => match &change.body {
                    Some(body) => self.apply_config(shell, change.key, body),
                    None => {
                        self.unusable_configs.remove(&change.key);
                    }
                },
                Feed::Servers => servers.extend(apply_server_change(shell, &change)),
                Feed::Zones => {
                    let zone = zone_from_key(&change.key);
                    self.kept_zones.remove(&zone);
                    match change.body {
                        Some(_) => self.zones.insert(zone),
                        None => self.zones.remove(&zone),
                    };
                }
                Feed::Hosts => self.apply_host_change(change),
            }
        }
        match feed {
            Feed::Zones => self.apply_zones(shell),
            Feed::Hosts => self.apply_hosts(shell),
            Feed::Servers => server_updates::publish_changes(shell, &servers),
            Feed::Config => {}
        }
    }

    /// Applies a configuration that was read from the store. The granter passes a newer one on.
    fn apply_config(&mut self, shell: &ShellState, key: ObjectKey, body: &str) {
        match apply_config_text(shell, body) {
            true => self.unusable_configs.remove(&key),
            false => self.unusable_configs.insert(key),
        };
        config_updates::publish(shell);
    }

    /// Returns whether this build could use every configuration that it has read.
    pub(super) fn has_usable_config(&self) -> bool {
        self.unusable_configs.is_empty()
    }

    fn apply_host_change(&mut self, change: Change) {
        let Change { key, revision, body } = change;
        match body {
            Some(body) => {
                if let Some((host, record)) =
                    hosts::parse_host_record(&Object { key, revision, body })
                {
                    self.hosts.insert(host, record);
                }
            }
            None => {
                if let Some(host) = host_from_key(&key) {
                    self.hosts.remove(&host);
                }
            }
        }
    }

    /// Records how often the store was restored up to a list that has just arrived.
    pub(super) fn record_restorations(&mut self, restorations: u64) {
        self.follows_restoration = restorations > self.restorations;
        self.restorations = restorations;
    }

    /// Returns whether the store was restored since the last list.
    pub(super) fn is_restored(&self, shell: &ShellState) -> bool {
        shell.store.restorations() > self.restorations
    }

    /// Takes zones back that were not written again after a restoration of the store.
    pub(super) fn expire_kept_zones(&mut self, shell: &ShellState, feed: Feed) {
        let before = self.kept_zones.len();
        let now = BootClock.now();
        self.kept_zones.retain(|_, until| now < *until);
        if feed == Feed::Zones && self.kept_zones.len() < before {
            self.apply_zones(shell);
        }
    }

    fn apply_zones(&self, shell: &ShellState) {
        let zones: BTreeSet<ZoneName> =
            self.zones.iter().chain(self.kept_zones.keys()).copied().collect();
        log::info!(zones:? = zones; "zones out");
        shell.router.borrow_mut().set_zones_out(BootClock.now(), zones);
    }

    fn apply_hosts(&self, shell: &ShellState) {
        hosts::replace_hosts(shell, self.hosts.clone());
    }
}

/// Applies a configuration if it is newer than the one in force; returns whether it is valid.
pub(crate) fn apply_config_text(shell: &ShellState, body: &str) -> bool {
    match shell.wire.parse_config(body) {
        Ok(mut config) => {
            let version = config.version;
            let max_head_bytes = shell.settings.max_head_bytes();
            if config.limits.head_bytes > max_head_bytes {
                log::warn!(version = version, limit = config.limits.head_bytes,
                    in_force = max_head_bytes; "limit of heads exceeds what the memory allows");
                config.limits.head_bytes = max_head_bytes;
            }
            let in_force = shell.router.borrow_mut().apply_config(config);
            log::info!(version = version, in_force = in_force; "configuration received");
            if in_force {
                *shell.config_text.borrow_mut() = Rc::from(body);
            }
        }
        Err(error) => {
            log::warn!(error:% = error; "invalid configuration");
            return false;
        }
    }
    true
}

/// Applies a change of a server's entry; returns it unless the directory stays the same.
fn apply_server_change(
    shell: &ShellState,
    change: &Change,
) -> Option<(ServerName, DirectoryChange)> {
    let identifier = server_from_key(&change.key)?;
    let name = identifier.name();
    let entry = change.body.as_deref().map(|body| parse_server_entry(shell, name, body));
    let entry = match entry {
        // An invalid entry is ignored: it neither adds nor removes a server.
        Some(None) => return None,
        Some(entry) => entry,
        None => None,
    };
    let now = BootClock.now();
    let directory_change = {
        let mut router = shell.router.borrow_mut();
        let directory_change = router.apply_server(now, name, change.revision, entry);
        router.record_identifier(identifier);
        directory_change
    };
    handle_server_change(shell, name, directory_change, change.revision);
    (directory_change != DirectoryChange::None).then_some((name, directory_change))
}

fn parse_server_entry(shell: &ShellState, name: ServerName, body: &str) -> Option<ServerEntry> {
    match shell.wire.parse_server(body) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(server:% = name, error:% = error; "invalid server entry");
            None
        }
    }
}

/// Stops the reuse of open connections to a server's address after a change of the server.
pub(crate) fn invalidate_connections(
    shell: &ShellState,
    name: ServerName,
    change: DirectoryChange,
) {
    if matches!(change, DirectoryChange::None | DirectoryChange::Back | DirectoryChange::Returned) {
        return;
    }
    if let Some(server) = shell.router.borrow().directory().get(name) {
        // Connections may lead to an earlier incarnation of the server.
        shell.pool.invalidate(server.entry.address);
    }
}

/// Handles a change of a server that this router has read from the store, and logs it.
fn handle_server_change(
    shell: &ShellState,
    name: ServerName,
    change: DirectoryChange,
    revision: Revision,
) {
    if change == DirectoryChange::None {
        return;
    }
    invalidate_connections(shell, name, change);
    let router = shell.router.borrow();
    let entry = router.directory().get(name).map(|server| &server.entry);
    log::info!(
        server:% = name,
        identifier = router.directory().identifier(name).as_ref().map_or("", |each| each.as_str()),
        service = entry.map_or_else(String::new, |entry| entry.service.to_string()),
        zone = entry.map_or_else(String::new, |entry| entry.zone.to_string()),
        change:? = change,
        revision = revision.0;
        "server changed"
    );
}

/// Returns the identifier of an entry's server; `None` if requests can't name the server.
fn server_from_key(key: &ObjectKey) -> Option<ServerIdentifier> {
    let (_, name) = key.split();
    let identifier = ServerIdentifier::new(name);
    if identifier.is_none() {
        log::warn!(server = name; "server not usable: its identifier can't be sent in a header");
    }
    identifier
}

fn zone_from_key(key: &ObjectKey) -> ZoneName {
    let (_, identifier) = key.split();
    let zone = ZoneName::of(identifier);
    if zone.is_digest() {
        log::info!(zone = identifier, name:% = zone; "zone is named by a digest");
    }
    zone
}

/// Returns the host of a router's record, which routers have written under its name.
pub(crate) fn host_from_key(key: &ObjectKey) -> Option<HostName> {
    let (_, name) = key.split();
    HostName::new(name).ok()
}
