use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bay_router::{PeerMessage, Recipient, RelayOrder, RelayedMessage, plan_relays};
use bay_time::{BootClock, Clock, Time};

use super::{ShellState, messages};

/// Age up to which a router's report shows that it can serve as a relay.
const MAX_RELAY_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Time for which a router that has asked for it gets the granter's messages directly.
const DIRECT_TIME: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which a router behind a relay asks for direct messages. Two
/// heartbeats are missing then.
const RELAY_TIMEOUT: Duration = Duration::from_millis(550);

/// Interval between requests for direct messages.
const DIRECT_REQUEST_INTERVAL: Duration = Duration::from_millis(300);

/// The last heartbeat that this router received.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReceivedHeartbeat {
    pub(super) at: Time,
    /// The granter, or the relay that passed it on.
    pub(super) from: SocketAddr,
    /// Whether a relay passed it on.
    pub(super) via_relay: bool,
}

/// Plans anew which routers relay the granter's messages.
pub(super) fn update_branches(shell: &ShellState, now: Time) {
    let role = &mut *shell.granter_role.borrow_mut();
    role.direct_until.retain(|_, until| now < *until);
    let hosts = shell.router_hosts.borrow();
    let own = shell.settings.host;
    let others = hosts.iter().filter(|(host, _)| **host != own);
    let recipients: Vec<Recipient> = others
        .map(|(host, record)| Recipient {
            address: record.peer,
            zone: record.zone,
            size: record.size,
            is_responsive: role.live_routers.has_reported_within(now, *host, MAX_RELAY_REPORT_AGE),
            needs_direct: role.direct_until.contains_key(&record.peer),
        })
        .collect();
    role.branches = plan_relays(&recipients);
}

/// Returns the number of routers that a message of the granter reaches.
pub(crate) fn recipient_count(shell: &ShellState) -> usize {
    shell.granter_role.borrow().branches.iter().map(|branch| 1 + branch.members.len()).sum()
}

/// Sends a message of the granter to all other routers, in large fleets through relays.
pub(crate) fn fan_out(shell: &ShellState, message: &PeerMessage) {
    let Some(payload) = shell.peer_socket.encode(message) else {
        return;
    };
    let role = &mut *shell.granter_role.borrow_mut();
    for branch in &role.branches {
        if branch.members.is_empty() {
            shell.peer_socket.send_encoded(&[branch.relay], &payload);
            continue;
        }
        let order = RelayOrder { to: branch.members.clone(), payload: payload.clone() };
        shell.peer_socket.send(&[branch.relay], &PeerMessage::Relay(order));
    }
    let bytes = payload.len() * role.branches.len();
    role.publish_plan.record_sent(BootClock.now(), bytes);
}

/// Records that a router gets no messages through its relay.
pub(super) fn record_direct_request(shell: &ShellState, now: Time, from: SocketAddr) {
    let role = &mut *shell.granter_role.borrow_mut();
    if role.term().is_some() {
        log::info!(router:% = from; "router without relay");
        role.direct_until.insert(from, now + DIRECT_TIME);
    }
}

/// Asks the granter for direct messages if none have arrived through the relay.
pub(super) fn request_direct_messages(shell: &ShellState, now: Time) {
    let role = &mut *shell.granter_role.borrow_mut();
    let Some(heartbeat) = role.last_heartbeat.filter(|last| last.via_relay) else {
        return;
    };
    let is_due = now >= role.next_direct_request_at && now.since(heartbeat.at) >= RELAY_TIMEOUT;
    if let Some((granter, _)) = role.leader.filter(|_| is_due) {
        role.next_direct_request_at = now + DIRECT_REQUEST_INTERVAL;
        shell.peer_socket.send(&[granter], &PeerMessage::RequestDirect);
    }
}

/// Handles the granter's message and passes it on to the routers that the granter names.
pub(super) fn handle_relay_order(shell: &Rc<ShellState>, granter: SocketAddr, order: RelayOrder) {
    let RelayOrder { to, payload } = order;
    let message = RelayedMessage { origin: granter, payload };
    handle_payload(shell, granter, granter, &message.payload);
    shell.peer_socket.send(&to, &PeerMessage::Relayed(message));
}

/// Handles a message that a relay has passed on.
pub(super) fn handle_relayed(shell: &Rc<ShellState>, relay: SocketAddr, message: &RelayedMessage) {
    handle_payload(shell, relay, message.origin, &message.payload);
}

/// Decodes and handles the message inside another one. Messages are not nested any deeper.
fn handle_payload(shell: &Rc<ShellState>, from: SocketAddr, origin: SocketAddr, payload: &[u8]) {
    match postcard::from_bytes(payload) {
        Ok(PeerMessage::Relay(_) | PeerMessage::Relayed(_)) | Err(_) => {
            shell.counters.add("peer.malformed", 1);
        }
        Ok(message) => messages::handle_message(shell, BootClock.now(), from, origin, message),
    }
}
