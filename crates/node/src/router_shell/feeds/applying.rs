use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use bay_router::{DirectoryChange, HostRecord, ServerEntry};
use bay_store::{Change, Object, ObjectKey};
use bay_time::{BootClock, Clock};
use bay_types::{HostName, Revision, ServerName, ZoneName};

use super::Feed;
use crate::router_shell::shell::Shell;
use crate::router_shell::{hosts, news};

/// What a feed has to remember between changes.
#[derive(Debug, Default)]
pub(super) struct FeedState {
    zones: BTreeSet<ZoneName>,
    hosts: BTreeMap<HostName, HostRecord>,
}

impl FeedState {
    pub(super) fn replace(
        &mut self,
        shell: &Rc<Shell>,
        feed: Feed,
        objects: Vec<Object>,
        revision: Revision,
    ) {
        match feed {
            Feed::Config => objects.iter().for_each(|object| apply_config(shell, &object.body)),
            Feed::Servers => {
                let entries = objects.iter().filter_map(|object| {
                    let name = server_name(&object.key)?;
                    Some((name, object.revision, read_server(shell, name, &object.body)?))
                });
                let entries: Vec<_> = entries.collect();
                let now = BootClock.now();
                let changes = shell.router.borrow_mut().replace_servers(now, revision, entries);
                for (name, change) in &changes {
                    log_server(shell, *name, *change, revision);
                }
                news::tell(shell, &changes);
            }
            Feed::Zones => {
                self.zones = objects.iter().filter_map(|object| zone_name(&object.key)).collect();
                self.apply_zones(shell);
            }
            Feed::Hosts => {
                self.hosts = objects.iter().filter_map(hosts::host_record).collect();
                self.apply_hosts(shell);
            }
        }
    }

    pub(super) fn change(&mut self, shell: &Rc<Shell>, feed: Feed, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        let mut servers = Vec::new();
        for change in changes {
            match feed {
                Feed::Config => {
                    if let Some(body) = &change.body {
                        apply_config(shell, body);
                    }
                }
                Feed::Servers => servers.extend(change_server(shell, &change)),
                Feed::Zones => {
                    if let Some(zone) = zone_name(&change.key) {
                        match change.body {
                            Some(_) => self.zones.insert(zone),
                            None => self.zones.remove(&zone),
                        };
                    }
                }
                Feed::Hosts => self.change_host(change),
            }
        }
        match feed {
            Feed::Zones => self.apply_zones(shell),
            Feed::Hosts => self.apply_hosts(shell),
            Feed::Servers => news::tell(shell, &servers),
            Feed::Config => {}
        }
    }

    fn change_host(&mut self, change: Change) {
        let Change { key, revision, body } = change;
        match body {
            Some(body) => {
                if let Some((host, record)) = hosts::host_record(&Object { key, revision, body }) {
                    self.hosts.insert(host, record);
                }
            }
            None => {
                if let Some(host) = host_name(&key) {
                    self.hosts.remove(&host);
                }
            }
        }
    }

    fn apply_zones(&self, shell: &Shell) {
        log::info!(zones:? = self.zones; "zones out");
        let zones = self.zones.clone();
        shell.router.borrow_mut().set_zones_out(BootClock.now(), zones);
    }

    fn apply_hosts(&self, shell: &Shell) {
        let hosts = self.hosts.iter().map(|(host, record)| (*host, record.peer)).collect();
        *shell.hosts.borrow_mut() = hosts;
        let names: Vec<HostName> = self.hosts.keys().copied().collect();
        log::info!(hosts = names.len(); "routers listed");
        let mut router = shell.router.borrow_mut();
        let alive = router.router_count().max(names.len() as u32);
        router.set_hosts(BootClock.now(), names, alive);
    }
}

fn apply_config(shell: &Shell, body: &str) {
    match shell.wire.parse_config(body) {
        Ok(config) => {
            let version = config.version;
            let in_force = shell.router.borrow_mut().apply_config(config);
            log::info!(version = version, in_force = in_force; "configuration received");
        }
        Err(error) => log::warn!(error:% = error; "configuration not understood"),
    }
}

/// Applies a change of a server's entry; returns it if it matters to requests.
fn change_server(shell: &Shell, change: &Change) -> Option<(ServerName, DirectoryChange)> {
    let name = server_name(&change.key)?;
    let entry = change.body.as_deref().map(|body| read_server(shell, name, body));
    let entry = match entry {
        // An entry of another writer names no server to use, and does not end one.
        Some(None) => return None,
        Some(entry) => entry,
        None => None,
    };
    let now = BootClock.now();
    let applied = shell.router.borrow_mut().apply_server(now, name, change.revision, entry);
    log_server(shell, name, applied, change.revision);
    (applied != DirectoryChange::None).then_some((name, applied))
}

fn read_server(shell: &Shell, name: ServerName, body: &str) -> Option<ServerEntry> {
    match shell.wire.parse_server(body) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(server:% = name, error:% = error; "server entry not understood");
            None
        }
    }
}

/// Logs a change of a server and drops connections to an earlier life of it.
pub(crate) fn log_server(
    shell: &Shell,
    name: ServerName,
    change: DirectoryChange,
    revision: Revision,
) {
    if change == DirectoryChange::None {
        return;
    }
    let router = shell.router.borrow();
    let entry = router.directory().get(name).map(|server| &server.entry);
    if change != DirectoryChange::Back
        && let Some(entry) = entry
    {
        // Connections may lead to an earlier life of the server.
        shell.pool.invalidate(entry.address);
    }
    log::info!(
        server:% = name,
        service = entry.map_or_else(String::new, |entry| entry.service.to_string()),
        zone = entry.map_or_else(String::new, |entry| entry.zone.to_string()),
        change:? = change,
        revision = revision.0;
        "server changed"
    );
}

fn last_part(key: &ObjectKey) -> &str {
    key.as_str().rsplit('/').next().unwrap_or_default()
}

fn server_name(key: &ObjectKey) -> Option<ServerName> {
    ServerName::new(last_part(key)).ok()
}

fn zone_name(key: &ObjectKey) -> Option<ZoneName> {
    ZoneName::new(last_part(key)).ok()
}

pub(crate) fn host_name(key: &ObjectKey) -> Option<HostName> {
    HostName::new(last_part(key)).ok()
}
