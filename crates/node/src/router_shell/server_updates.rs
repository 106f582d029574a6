use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bay_router::{
    DirectoryChange, FeedState, IdentifiedServer, IdentifiedServers, PeerMessage, ServerChanges,
    ServerIdentifier, ServerUpdate, UpdateOutcome,
};
use bay_time::{BootClock, Clock, Time};
use bay_types::{ServerName, StoreEra, Term};

use super::feeds;
use super::granter::{self, Document};
use super::shell_state::ShellState;

/// Maximum number of servers in one datagram.
const SERVERS_PER_PART: usize = 80;

/// Time after which a follower asks for the granter's list of servers if it has not heard whether an entry
/// that has lapsed has come back.
const GRANTER_EXPIRY_WAIT: Duration = Duration::from_millis(1_500);

/// Returns the state of the feed for a heartbeat; `None` until the configuration, the servers and
/// the zones were read.
pub(crate) fn feed_state(shell: &ShellState, now: Time) -> Option<FeedState> {
    let router = shell.router.borrow();
    let documents = FeedState {
        age_ms: 0,
        server_sequence: 0,
        config_version: router.config()?.version,
        zones_out: router.directory().zones_out().iter().copied().collect(),
        host_count: shell.router_hosts.borrow().len() as u32,
    };
    shell.feed_publisher.borrow().state(now, documents)
}

/// Sends the other routers the entries of changed servers, if this router is the granter.
pub(crate) fn publish_changes(shell: &Rc<ShellState>, changed: &[(ServerName, DirectoryChange)]) {
    let Some(term) = granter::granter_term(shell) else {
        return;
    };
    for changed in changed.chunks(SERVERS_PER_PART) {
        let sequence = shell.feed_publisher.borrow_mut().next_sequence();
        // Until documents may be sent, no router knows of this feed; each then requests the full list.
        if !granter::may_publish(shell, BootClock.now()) {
            continue;
        }
        let names: Vec<ServerName> = changed.iter().map(|(name, _)| *name).collect();
        for message in identified_servers(shell, &names) {
            granter::fan_out(shell, &message);
        }
        let servers = current_entries(shell, &names);
        let update = ServerUpdate { term, sequence, part: None, servers };
        granter::fan_out(shell, &PeerMessage::Servers(update));
    }
}

/// Removes servers whose entries have lapsed and not come back. While the granter's list of servers is
/// current, the granter is asked first: this router may have read an older one.
pub(crate) fn expire_servers(shell: &Rc<ShellState>, now: Time) {
    let is_granter = granter::granter_term(shell).is_some();
    let mut lapsed_by = now;
    if !is_granter && shell.granter_feed.borrow().has_current_servers(now) {
        let is_unheard = shell.router.borrow().directory().has_lapsed(now - GRANTER_EXPIRY_WAIT);
        if let Some(from) = granter::heartbeat_sender(shell).filter(|_| is_unheard) {
            shell.peer_socket.send(&[from], &PeerMessage::RequestServers);
        }
        lapsed_by = now - 2 * GRANTER_EXPIRY_WAIT;
    }
    let expired = shell.router.borrow_mut().expire_servers(now, lapsed_by);
    for server in &expired {
        log::info!(server:% = server; "server removed: its entry did not come back");
    }
    let removed: Vec<_> = expired.into_iter().map(|name| (name, DirectoryChange::Left)).collect();
    publish_changes(shell, &removed);
}

/// Sends a router the full list of servers in parts, if this router is the granter or knows all that
/// the granter has sent.
pub(crate) fn send_all_servers(shell: &ShellState, to: SocketAddr) {
    let version = match granter::granter_term(shell) {
        Some(term) => {
            let sequence = shell.feed_publisher.borrow().servers_sequence();
            sequence.map(|sequence| (term, sequence))
        }
        None => shell.granter_feed.borrow().current_servers(BootClock.now()),
    };
    let Some((term, sequence)) = version else {
        return;
    };
    let names: Vec<ServerName> =
        shell.router.borrow().directory().iter().map(|(name, _)| name).collect();
    let parts = names.chunks(SERVERS_PER_PART).count().max(1) as u16;
    let message = |index| {
        let start = usize::from(index) * SERVERS_PER_PART;
        let end = names.len().min(start + SERVERS_PER_PART);
        let servers = current_entries(shell, &names[start..end]);
        let part = Some((index, parts));
        let update = ServerUpdate { term, sequence, part, servers };
        PeerMessage::Servers(update)
    };
    let mut messages = identified_servers(shell, &names);
    messages.extend((0..parts).map(message));
    granter::send_parts(shell, BootClock.now(), Document::Servers, to, &messages);
}

/// Returns messages with the entries that a [`ServerUpdate`] withholds.
fn identified_servers(shell: &ShellState, names: &[ServerName]) -> Vec<PeerMessage> {
    let now = BootClock.now();
    let router = shell.router.borrow();
    let directory = router.directory();
    let servers = names.iter().filter(|name| name.is_digest()).filter_map(|name| {
        Some(IdentifiedServer {
            identifier: directory.identifier(*name)?.as_str().to_owned(),
            revision: directory.revision(*name)?,
            entry: directory.get(*name)?.current_entry(now),
        })
    });
    let servers: Vec<IdentifiedServer> = servers.collect();
    let messages = servers.chunks(IdentifiedServers::MAX_PER_MESSAGE);
    messages.map(|servers| PeerMessage::IdentifiedServers(servers.to_vec())).collect()
}

/// Sends a router the entries that were withheld from it.
pub(crate) fn send_identified(shell: &ShellState, to: SocketAddr, names: &[ServerName]) {
    for message in identified_servers(shell, names) {
        shell.peer_socket.send(&[to], &message);
    }
}

/// Requests the withheld entries that this router lacks from the granter.
pub(crate) fn request_identified(shell: &ShellState, granter: SocketAddr) {
    let missing = shell.identified_servers.borrow().missing();
    if !missing.is_empty() {
        log::info!(servers = missing.len(); "entries of identified servers requested");
        shell.peer_socket.send(&[granter], &PeerMessage::RequestIdentified(missing));
    }
}

/// Applies entries of servers whose names are digests.
pub(crate) fn handle_identified(shell: &ShellState, servers: Vec<IdentifiedServer>) {
    if granter::granter_term(shell).is_some() {
        return;
    }
    let now = BootClock.now();
    for IdentifiedServer { identifier, revision, entry } in servers {
        let Some(identifier) = ServerIdentifier::new(&identifier) else {
            continue;
        };
        let name = identifier.name();
        let text = identifier.as_str().to_owned();
        let change = {
            let mut router = shell.router.borrow_mut();
            let change = router.apply_server(now, name, revision, Some(entry));
            router.record_identifier(identifier);
            change
        };
        if change != DirectoryChange::None {
            log::info!(server:% = name, identifier = text, change:? = change,
                revision = revision.0; "identified server changed by the granter");
        }
        shell.identified_servers.borrow_mut().record_arrived(name);
        feeds::invalidate_connections(shell, name, change);
    }
}

/// Returns the current entries of servers with their revisions; `None` for a removed server.
fn current_entries(shell: &ShellState, names: &[ServerName]) -> ServerChanges {
    let now = BootClock.now();
    let router = shell.router.borrow();
    let directory = router.directory();
    let current_entry = |name: &ServerName| {
        let revision = directory.revision(*name).unwrap_or_default();
        let entry = directory.get(*name).map(|server| server.current_entry(now));
        let entry = entry.map(|entry| IdentifiedServers::withhold(*name, entry));
        (*name, revision, entry)
    };
    names.iter().map(current_entry).collect()
}

/// Applies the granter's update of servers, or requests the full list after a gap.
pub(crate) fn handle_update(shell: &Rc<ShellState>, from: SocketAddr, mut update: ServerUpdate) {
    if granter::granter_term(shell).is_some() {
        return;
    }
    let term: Term = update.term;
    let now = BootClock.now();
    // An earlier build sends revisions as the store numbers them.
    let era = shell.store.era();
    for (_, revision, _) in &mut update.servers {
        if revision.era() == StoreEra::default() {
            *revision = revision.in_era(era);
        }
    }
    let result = shell.granter_feed.borrow_mut().apply_update(update);
    match result {
        UpdateOutcome::Unchanged => {}
        UpdateOutcome::Gap => shell.peer_socket.send(&[from], &PeerMessage::RequestServers),
        UpdateOutcome::FullList(servers) => {
            let servers = {
                let router = shell.router.borrow();
                let mut identified = shell.identified_servers.borrow_mut();
                identified.filter_list(router.directory(), servers)
            };
            let count = servers.len();
            let revision = servers.iter().map(|(_, revision, _)| *revision).max();
            let revision = revision.unwrap_or_default();
            let changes = shell.router.borrow_mut().replace_servers(now, revision, servers);
            for (name, change) in &changes {
                feeds::invalidate_connections(shell, *name, *change);
            }
            log::info!(term = term.0, servers = count, changed = changes.len();
                "servers received from the granter");
        }
        UpdateOutcome::Changes(servers) => {
            let servers = {
                let router = shell.router.borrow();
                let mut identified = shell.identified_servers.borrow_mut();
                identified.filter_changes(router.directory(), servers)
            };
            let mut changed = 0;
            for (name, revision, entry) in servers {
                let change = shell.router.borrow_mut().apply_server(now, name, revision, entry);
                feeds::invalidate_connections(shell, name, change);
                changed += usize::from(change != DirectoryChange::None);
            }
            log::info!(term = term.0, changed = changed; "servers changed by the granter");
        }
    }
}
