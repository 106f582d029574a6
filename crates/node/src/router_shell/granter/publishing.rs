use std::net::SocketAddr;
use std::rc::Rc;

use bay_router::{PeerMessage, RelayOrder};
use bay_time::Time;
use bay_types::ServiceName;

use super::ShellState;

/// Kind of document that the granter sends when its [`bay_router::PublishPlan`] lets it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Document {
    Config,
    Servers,
    Hosts,
    Owners(ServiceName),
}

/// A datagram of a document that waits to be sent.
#[derive(Debug)]
pub(super) struct QueuedDatagram {
    document: Document,
    to: SocketAddr,
    payload: Rc<[u8]>,
}

/// Returns whether this router, as the granter, may send documents now.
pub(crate) fn may_publish(shell: &ShellState, now: Time) -> bool {
    shell.granter_role.borrow().publish_plan.may_publish(now)
}

/// Returns whether this router's own messages fill its link.
pub(crate) fn is_link_busy(shell: &ShellState, now: Time) -> bool {
    shell.granter_role.borrow_mut().publish_plan.is_link_busy(now)
}

/// Queues a document of the granter for all other routers, in large fleets through relays, and sends
/// as much as the link has room for.
pub(crate) fn fan_out_document(
    shell: &ShellState,
    now: Time,
    document: Document,
    message: &PeerMessage,
) {
    let Some(payload) = shell.peer_socket.encode(message) else {
        return;
    };
    let direct: Rc<[u8]> = Rc::from(payload.as_slice());
    {
        let role = &mut *shell.granter_role.borrow_mut();
        for branch in &role.branches {
            let payload = match branch.members.is_empty() {
                true => Some(Rc::clone(&direct)),
                false => {
                    let order = RelayOrder { to: branch.members.clone(), payload: payload.clone() };
                    shell.peer_socket.encode(&PeerMessage::Relay(order)).map(Rc::from)
                }
            };
            let Some(payload) = payload else {
                continue;
            };
            let bytes = payload.len();
            role.publish_plan.push(bytes, QueuedDatagram { document, to: branch.relay, payload });
        }
    }
    send_queued(shell, now);
}

/// Sends the parts of a document to a router that has requested it: at once, or by the granter as its
/// link has room for them.
pub(crate) fn send_parts(
    shell: &ShellState,
    now: Time,
    document: Document,
    to: SocketAddr,
    parts: &[PeerMessage],
) {
    if shell.granter_role.borrow().term().is_none() {
        parts.iter().for_each(|part| shell.peer_socket.send(&[to], part));
        return;
    }
    queue_parts(shell, document, to, parts);
    send_queued(shell, now);
}

/// Queues the parts of a document of the granter for a router, unless they are queued already.
fn queue_parts(shell: &ShellState, document: Document, to: SocketAddr, parts: &[PeerMessage]) {
    let plan = &mut shell.granter_role.borrow_mut().publish_plan;
    if plan.queued().any(|each| each.document == document && each.to == to) {
        return;
    }
    for payload in parts.iter().filter_map(|part| shell.peer_socket.encode(part)) {
        let payload: Rc<[u8]> = Rc::from(payload);
        plan.push(payload.len(), QueuedDatagram { document, to, payload });
    }
}

/// Sends the queued datagrams for which the link has room.
pub(super) fn send_queued(shell: &ShellState, now: Time) {
    let plan = &mut shell.granter_role.borrow_mut().publish_plan;
    while let Some(datagram) = plan.next_due(now) {
        shell.peer_socket.send_encoded(&[datagram.to], &datagram.payload);
    }
}
