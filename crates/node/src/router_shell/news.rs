use std::net::SocketAddr;
use std::rc::Rc;

use bay_router::{
    DirectoryChange, FeedState, PeerMessage, ServerEntry, ServerUpdate, UpdateOutcome,
};
use bay_time::{BootClock, Clock, Time};
use bay_types::{Revision, ServerName, Term};

use super::feeds;
use super::granting;
use super::shell::Shell;

/// Servers in one datagram.
const SERVERS_PER_PART: usize = 80;

/// What this router has told the others of the servers while it is the granter.
#[derive(Debug, Default)]
pub(crate) struct Told {
    number: u64,
    /// When the servers were last read from the store.
    read_at: Option<Time>,
    /// Whether the zones that are out were read in this term.
    zones_read: bool,
}

impl Told {
    /// Takes note that the servers were read.
    pub(crate) fn on_read(&mut self, now: Time) {
        self.read_at = Some(now);
    }

    /// Takes note that the zones that are out were read.
    pub(crate) fn on_zones_read(&mut self) {
        self.zones_read = true;
    }

    /// Forgets what an earlier term has told.
    pub(crate) fn clear(&mut self) {
        *self = Told::default();
    }
}

/// What the granter has read from the store, once it has read everything.
pub(crate) fn feed_state(shell: &Shell, now: Time) -> Option<FeedState> {
    let told = shell.told.borrow();
    let router = shell.router.borrow();
    if !told.zones_read {
        return None;
    }
    Some(FeedState {
        age_ms: now.since(told.read_at?).as_millis() as u32,
        server_sequence: told.number,
        config_version: router.config()?.version,
        zones_out: router.directory().zones_out().iter().copied().collect(),
        host_count: shell.hosts.borrow().len() as u32,
    })
}

/// Tells the other routers of changed servers, if this one is the granter.
pub(crate) fn tell(shell: &Rc<Shell>, changed: &[(ServerName, DirectoryChange)]) {
    let Some(term) = granting::term(shell) else {
        return;
    };
    if changed.is_empty() {
        return;
    }
    let number = {
        let mut told = shell.told.borrow_mut();
        told.number += 1;
        told.number
    };
    let servers = entries(shell, changed.iter().map(|(name, _)| *name));
    // Routers that miss news ask for the whole list.
    if servers.len() <= SERVERS_PER_PART {
        let news = ServerUpdate { term, sequence: number, part: None, servers };
        shell.peers.send(&granting::others(shell), &PeerMessage::Servers(news));
    }
}

/// Sends all servers to a router.
pub(crate) fn tell_all(shell: &Shell, to: SocketAddr) {
    let Some(term) = granting::term(shell) else {
        return;
    };
    let told = shell.told.borrow();
    if told.read_at.is_none() {
        return;
    }
    let names: Vec<ServerName> =
        shell.router.borrow().directory().iter().map(|(name, _)| name).collect();
    let parts = names.chunks(SERVERS_PER_PART).count().max(1) as u16;
    for index in 0..parts {
        let from = usize::from(index) * SERVERS_PER_PART;
        let names = names.iter().skip(from).take(SERVERS_PER_PART).copied();
        let servers = entries(shell, names);
        let part = Some((index, parts));
        let news = ServerUpdate { term, sequence: told.number, part, servers };
        shell.peers.send(&[to], &PeerMessage::Servers(news));
    }
}

fn entries<I>(shell: &Shell, names: I) -> Vec<(ServerName, Revision, Option<ServerEntry>)>
where
    I: Iterator<Item = ServerName>,
{
    let now = BootClock.now();
    let router = shell.router.borrow();
    let directory = router.directory();
    names
        .map(|name| {
            let revision = directory.revision(name).unwrap_or_default();
            (name, revision, directory.get(name).map(|server| server.current_entry(now)))
        })
        .collect()
}

/// Takes the granter's news of servers.
pub(crate) fn on_news(shell: &Rc<Shell>, from: SocketAddr, news: ServerUpdate) {
    if granting::term(shell).is_some() {
        return;
    }
    let term: Term = news.term;
    let now = BootClock.now();
    let result = shell.fed.borrow_mut().apply_update(news);
    match result {
        UpdateOutcome::Unchanged => {}
        UpdateOutcome::Gap => shell.peers.send(&[from], &PeerMessage::RequestServers),
        UpdateOutcome::FullList(servers) => {
            let count = servers.len();
            let revision = servers.iter().map(|(_, revision, _)| *revision).max();
            let revision = revision.unwrap_or_default();
            let changes = shell.router.borrow_mut().replace_servers(now, revision, servers);
            log::info!(term = term.0, servers = count; "servers received from the granter");
            for (name, change) in changes {
                feeds::log_server(shell, name, change, revision);
            }
        }
        UpdateOutcome::Changes(servers) => {
            for (name, revision, entry) in servers {
                let change = shell.router.borrow_mut().apply_server(now, name, revision, entry);
                feeds::log_server(shell, name, change, revision);
            }
        }
    }
}
