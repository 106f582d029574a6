use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{DirectoryChange, HostRecord, ServerEntry, own_key};
use bay_store::{Change, Object, ObjectKey, StoreError, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Revision, ServerName, ZoneName};

use super::granting;
use super::hosts;
use super::news;
use super::shell::Shell;

/// Longest wait of a watch of documents with a bound on when they are in force; short, since only
/// an answer shows that the connection has not gone silent.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Longest wait of a watch of the routers.
const HOSTS_WAIT: Duration = Duration::from_secs(10);

/// Time between two watches of the servers' entries, which change with every heartbeat.
const SERVERS_INTERVAL: Duration = Duration::from_millis(400);

/// Time between two checks of whether the granter tells what is in the store.
const FED_CHECK: Duration = Duration::from_millis(200);

/// Longest time for which a new process waits for the granter's news before it watches the store.
const STARTUP_WAIT: Duration = Duration::from_millis(2_500);

/// Pause after a failed call; it doubles up to [`MAX_RETRY_PAUSE`].
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause between failed calls of the granter, which tells the others.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(600);

/// Longest pause between failed calls of the others; shorter than the time after which a router
/// that the store serves again is bound by what it says.
const MAX_FOLLOWER_PAUSE: Duration = Duration::from_millis(1_200);

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
    shell.spawn(hosts::register(Rc::clone(shell)));
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

    fn need(self, shell: &Shell, now: Time) -> Need {
        let follows = granting::term(shell).is_none();
        // Only the granter has to know at once which routers there are.
        if self == Feed::Hosts && follows && !shell.hosts.borrow().is_empty() {
            let fed = shell.fed.borrow();
            let told = fed.state(now).map(|state| state.hosts);
            let known = shell.hosts.borrow().len() as u32;
            return if told.is_none_or(|told| told == known) { Need::Nothing } else { Need::List };
        }
        let fed = shell.fed.borrow();
        let Some(state) = fed.state(now).filter(|_| follows) else {
            return Need::Watch;
        };
        let current = match self {
            Feed::Servers if fed.has_servers(now) => return Need::Nothing,
            Feed::Servers => return Need::Watch,
            Feed::Config => {
                shell.router.borrow().config().map(|config| config.version) >= Some(state.config)
            }
            Feed::Zones => return Need::Nothing,
            Feed::Hosts => false,
        };
        if current { Need::Nothing } else { Need::List }
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

/// What a feed has to read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Need {
    /// Nothing: the granter tells it.
    Nothing,
    /// All documents once, as the granter has read other ones.
    List,
    /// The changes as they come.
    Watch,
}

async fn follow(shell: Rc<Shell>, feed: Feed) {
    let started = BootClock.now();
    let mut known: Option<Revision> = None;
    let mut listed = false;
    let mut state = FeedState::default();
    let mut pause = RETRY_PAUSE;
    loop {
        let now = BootClock.now();
        let starting = now.since(started) < STARTUP_WAIT && granting::term(&shell).is_none();
        match feed.need(&shell, now) {
            Need::Nothing => {
                known = None;
                Timer::after(FED_CHECK).await;
                continue;
            }
            Need::Watch if starting && listed => {
                Timer::after(FED_CHECK / 2).await;
                continue;
            }
            Need::List => known = None,
            Need::Watch => {}
        }
        let prefix = feed.prefix(&shell).to_owned();
        let was_lost = shell.store.is_lost();
        let ok = match known {
            // Changes since an old list follow from the granter, or from a watch.
            None => match shell.store.list(&prefix, !listed).await {
                Ok((objects, revision)) => {
                    listed = true;
                    store_back(&shell, was_lost);
                    state.replace(&shell, feed, objects, revision);
                    known = Some(revision);
                    true
                }
                Err(StoreError::Suspended) => false,
                Err(error) => {
                    log::info!(feed:? = feed, error:% = error; "list failed");
                    false
                }
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
                    Err(StoreError::Suspended) => false,
                    other => {
                        log::info!(feed:? = feed, result:? = other; "watch failed");
                        false
                    }
                }
            }
        };
        if ok {
            match feed {
                Feed::Servers => shell.told.borrow_mut().on_read(BootClock.now()),
                Feed::Zones => shell.told.borrow_mut().on_zones_read(),
                Feed::Config | Feed::Hosts => {}
            }
            pause = RETRY_PAUSE;
            Timer::after(feed.interval()).await;
        } else {
            Timer::after(pause).await;
            let granter = granting::term(&shell).is_some();
            pause = (pause * 2).min(if granter { MAX_RETRY_PAUSE } else { MAX_FOLLOWER_PAUSE });
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
    fn replace(&mut self, shell: &Rc<Shell>, feed: Feed, objects: Vec<Object>, revision: Revision) {
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

    fn change(&mut self, shell: &Rc<Shell>, feed: Feed, changes: Vec<Change>) {
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
    match shell.wire.server(body) {
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
        shell.pool.suspect(entry.address);
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

pub(super) fn last_part(key: &ObjectKey) -> &str {
    key.as_str().rsplit('/').next().unwrap_or_default()
}

fn server_name(key: &ObjectKey) -> Option<ServerName> {
    ServerName::new(last_part(key)).ok()
}

fn zone_name(key: &ObjectKey) -> Option<ZoneName> {
    ZoneName::new(last_part(key)).ok()
}

pub(super) fn host_name(key: &ObjectKey) -> Option<HostName> {
    HostName::new(last_part(key)).ok()
}
