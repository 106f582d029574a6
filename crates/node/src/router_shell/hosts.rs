use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{HostRecord, PeerMessage, object_key};
use bay_store::{Object, Precondition, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock};
use bay_types::HostName;

use super::feeds::host_from_key;
use super::granter::{self, Document};
use super::shell_state::ShellState;

/// Maximum number of hosts in one datagram, at 40 bytes each. Routers of a larger fleet read the hosts
/// from the store.
pub(crate) const MAX_RELAYED_HOSTS: usize = 1_500;

/// Pause after a failed write or a conflict.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Interval between checks for a restoration of the store.
const RESTORATION_POLL: Duration = Duration::from_millis(500);

/// Writes this router's record to the store, replacing that of an earlier process on the host.
/// Retries until it succeeds, and writes it again after each restoration of the store.
pub(crate) async fn register_host(shell: Rc<ShellState>) {
    let record = HostRecord {
        peer: shell.settings.peer,
        incarnation: shell.incarnation,
        zone: Some(shell.settings.zone),
        size: shell.settings.relative_size(),
    };
    let (Some(key), Ok(body)) =
        (object_key::host(shell.settings.host), serde_json::to_string(&record))
    else {
        log::error!(host:% = shell.settings.host; "host name is not a valid object key");
        return;
    };
    let mut precondition = Precondition::Absent;
    loop {
        let restorations = shell.store.restorations();
        let put = StoreRequest::Put { key: key.clone(), body: body.clone(), precondition };
        match shell.store.call(&put).await {
            Ok(StoreReply::Written(revision)) => {
                precondition = Precondition::Revision(revision);
                while shell.store.restorations() == restorations {
                    Timer::after(RESTORATION_POLL).await;
                }
                continue;
            }
            Ok(StoreReply::Conflict(Some(object))) => {
                precondition = Precondition::Revision(object.revision)
            }
            Ok(StoreReply::Conflict(None)) => precondition = Precondition::Absent,
            _ => {}
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Returns known routers that a list of a restored store lacks. The granter writes their records again, as
/// routers that follow it make no calls that would tell them of the restoration.
pub(crate) fn keep_missing_hosts(
    shell: &Rc<ShellState>,
    listed: &BTreeMap<HostName, HostRecord>,
) -> Vec<(HostName, HostRecord)> {
    let known = shell.router_hosts.borrow().clone();
    let missing: Vec<_> =
        known.into_iter().filter(|(host, _)| !listed.contains_key(host)).collect();
    if granter::granter_term(shell).is_some() {
        for (host, record) in &missing {
            shell.spawn(write_record_again(Rc::clone(shell), *host, record.clone()));
        }
    }
    missing
}

/// Writes a router's record for it unless there is one; retries while this router is the granter.
async fn write_record_again(shell: Rc<ShellState>, host: HostName, record: HostRecord) {
    let (Some(key), Ok(body)) = (object_key::host(host), serde_json::to_string(&record)) else {
        return;
    };
    let put = StoreRequest::Put { key, body, precondition: Precondition::Absent };
    while granter::granter_term(&shell).is_some() {
        if let Ok(StoreReply::Written(_) | StoreReply::Conflict(_)) = shell.store.call(&put).await {
            return;
        }
        Timer::after(RETRY_PAUSE).await;
    }
}

/// Parses a router's record; `None` if it is invalid.
pub(crate) fn parse_host_record(object: &Object) -> Option<(HostName, HostRecord)> {
    let record = serde_json::from_str(&object.body).ok()?;
    Some((host_from_key(&object.key)?, record))
}

/// Replaces the known routers.
pub(crate) fn replace_hosts(shell: &ShellState, hosts: BTreeMap<HostName, HostRecord>) {
    let names: Vec<HostName> = hosts.keys().copied().collect();
    log::info!(hosts = names.len(); "routers listed");
    *shell.router_hosts.borrow_mut() = hosts;
    let mut router = shell.router.borrow_mut();
    let alive = router.router_count().max(names.len() as u32);
    router.set_hosts(BootClock.now(), names, alive);
}

/// Sends a router the known hosts, if it asks the granter or a relay for them.
pub(crate) fn send_hosts(shell: &ShellState, to: SocketAddr) {
    let hosts: Vec<(HostName, SocketAddr)> =
        shell.router_hosts.borrow().iter().map(|(host, record)| (*host, record.peer)).collect();
    if !hosts.is_empty() && hosts.len() <= MAX_RELAYED_HOSTS {
        let message = PeerMessage::Hosts(hosts);
        granter::send_parts(shell, BootClock.now(), Document::Hosts, to, &[message]);
    }
}

/// Replaces a follower's hosts with those that the granter or a relay has sent.
pub(crate) fn handle_hosts(shell: &ShellState, hosts: Vec<(HostName, SocketAddr)>) {
    let record = |peer| HostRecord { peer, incarnation: 0, zone: None, size: 0.0 };
    replace_hosts(shell, hosts.into_iter().map(|(host, peer)| (host, record(peer))).collect());
}
