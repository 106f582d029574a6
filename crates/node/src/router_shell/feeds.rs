use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{DirectoryChange, HostRecord, ServerEntry, own_key};
use bay_store::{Change, Expect, Object, ObjectKey, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::{HostName, Revision, ServerName, ZoneName};

use super::shell::Shell;

/// Longest wait of a watch of documents with a bound on when they are in force; short, since only
/// an answer shows that the connection has not gone silent.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a watch of the routers.
const HOSTS_WAIT: Duration = Duration::from_secs(10);

/// Time between two watches of the servers' entries, which change with every heartbeat.
const SERVERS_INTERVAL: Duration = Duration::from_millis(600);

/// Pause after a failed call; it doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// A kind of documents that the router follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Feed {
    Config,
    Servers,
    Zones,
    Hosts,
}

/// Follows the documents in the store.
pub(crate) fn start(shell: &Rc<Shell>) {
    for feed in [Feed::Config, Feed::Servers, Feed::Zones, Feed::Hosts] {
        shell.spawn(follow(Rc::clone(shell), feed));
    }
    shell.spawn(register(Rc::clone(shell)));
}

impl Feed {
    fn prefix(self, shell: &Shell) -> &str {
        match self {
            Feed::Config => shell.wire.config_prefix(),
            Feed::Servers => shell.wire.server_prefix(),
            Feed::Zones => shell.wire.zone_prefix(),
            Feed::Hosts => own_key::HOSTS,
        }
    }

    /// Longest wait of a watch.
    fn wait(self) -> Duration {
        match self {
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones => WATCH_WAIT,
            Feed::Hosts => HOSTS_WAIT,
        }
    }

    /// Time between two watches.
    fn interval(self) -> Duration {
        match self {
            Feed::Servers => SERVERS_INTERVAL,
            Feed::Config | Feed::Zones | Feed::Hosts => Duration::ZERO,
        }
    }
}

async fn follow(shell: Rc<Shell>, feed: Feed) {
    let mut known: Option<Revision> = None;
    let mut state = FeedState::default();
    let mut pause = RETRY_PAUSE;
    loop {
        let prefix = feed.prefix(&shell).to_owned();
        let was_lost = shell.store.is_lost();
        let ok = match known {
            None => match shell.store.list(&prefix).await {
                Ok((objects, revision)) => {
                    store_back(&shell, was_lost);
                    state.replace(&shell, feed, objects, revision);
                    known = Some(revision);
                    true
                }
                Err(_) => false,
            },
            Some(since) => {
                let request = StoreRequest::Watch { prefix, since, wait: feed.wait() };
                match shell.store.call(&request).await {
                    Ok(StoreReply::Changes(body)) => {
                        store_back(&shell, was_lost);
                        if body.compacted {
                            log::info!(feed:? = feed; "history lost; listing anew");
                            known = None;
                        } else {
                            state.change(&shell, feed, body.changes);
                            known = Some(body.revision.max(since));
                        }
                        true
                    }
                    other => {
                        log::info!(feed:? = feed, result:? = other; "watch failed");
                        false
                    }
                }
            }
        };
        if ok {
            pause = RETRY_PAUSE;
            Timer::after(feed.interval()).await;
        } else {
            Timer::after(pause).await;
            pause = (pause * 2).min(MAX_RETRY_PAUSE);
        }
    }
}

fn store_back(shell: &Shell, was_lost: bool) {
    if was_lost {
        shell.router.borrow_mut().on_store_back(BootClock.now());
    }
}

/// What a feed has to remember between changes.
#[derive(Debug, Default)]
struct FeedState {
    zones: BTreeSet<ZoneName>,
    hosts: BTreeMap<HostName, HostRecord>,
}

impl FeedState {
    fn replace(&mut self, shell: &Shell, feed: Feed, objects: Vec<Object>, revision: Revision) {
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
                for (name, change) in changes {
                    log_server(shell, name, change, revision);
                }
            }
            Feed::Zones => {
                self.zones = objects.iter().filter_map(|object| zone_name(&object.key)).collect();
                self.apply_zones(shell);
            }
            Feed::Hosts => {
                self.hosts = objects.iter().filter_map(host_record).collect();
                self.apply_hosts(shell);
            }
        }
    }

    fn change(&mut self, shell: &Shell, feed: Feed, changes: Vec<Change>) {
        if changes.is_empty() {
            return;
        }
        for change in changes {
            match feed {
                Feed::Config => {
                    if let Some(body) = &change.body {
                        apply_config(shell, body);
                    }
                }
                Feed::Servers => change_server(shell, &change),
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
            Feed::Config | Feed::Servers => {}
        }
    }

    fn change_host(&mut self, change: Change) {
        let Change { key, revision, body } = change;
        match body {
            Some(body) => {
                if let Some((host, record)) = host_record(&Object { key, revision, body }) {
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
        let alive = router.routers().max(names.len() as u32);
        router.set_hosts(BootClock.now(), names, alive);
    }
}

fn apply_config(shell: &Shell, body: &str) {
    match shell.wire.config(body) {
        Ok(config) => {
            let version = config.version;
            let in_force = shell.router.borrow_mut().apply_config(config);
            log::info!(version = version, in_force = in_force; "configuration received");
        }
        Err(error) => log::warn!(error:% = error; "configuration not understood"),
    }
}

fn change_server(shell: &Shell, change: &Change) {
    let Some(name) = server_name(&change.key) else {
        return;
    };
    let entry = change.body.as_deref().map(|body| read_server(shell, name, body));
    let entry = match entry {
        // An entry of another writer names no server to use, and does not end one.
        Some(None) => return,
        Some(entry) => entry,
        None => None,
    };
    let now = BootClock.now();
    let applied = shell.router.borrow_mut().apply_server(now, name, change.revision, entry);
    log_server(shell, name, applied, change.revision);
}

fn read_server(shell: &Shell, name: ServerName, body: &str) -> Option<ServerEntry> {
    match shell.wire.server(body) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log::warn!(server:% = name, error:% = error; "server entry not understood");
            None
        }
    }
}

fn log_server(shell: &Shell, name: ServerName, change: DirectoryChange, revision: Revision) {
    if change == DirectoryChange::None {
        return;
    }
    if change != DirectoryChange::Back
        && let Some(server) = shell.router.borrow().directory().get(name)
    {
        // Connections may lead to an earlier life of the server.
        shell.pool.suspect(server.entry.address);
    }
    log::info!(server:% = name, change:? = change, revision = revision.0; "server changed");
}

/// Lists this router in the store.
async fn register(shell: Rc<Shell>) {
    let record = HostRecord { peer: shell.settings.peer, incarnation: shell.incarnation };
    let (Some(key), Ok(body)) =
        (own_key::host(shell.settings.host), serde_json::to_string(&record))
    else {
        log::error!(host:% = shell.settings.host; "host name makes no key");
        return;
    };
    let mut expect = Expect::Absent;
    loop {
        let put = StoreRequest::Put { key: key.clone(), body: body.clone(), expect };
        match shell.store.call(&put).await {
            Ok(StoreReply::Written(_)) => return,
            Ok(StoreReply::Conflict(Some(object))) => expect = Expect::Revision(object.revision),
            Ok(StoreReply::Conflict(None)) => expect = Expect::Absent,
            _ => {}
        }
        Timer::after(RETRY_PAUSE).await;
    }
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

fn host_name(key: &ObjectKey) -> Option<HostName> {
    HostName::new(last_part(key)).ok()
}

fn host_record(object: &Object) -> Option<(HostName, HostRecord)> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some((host_name(&object.key)?, record))
}
