use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bay_steward::{Input, LinkId};
use bay_wire::LinkMessage;
use futures_lite::{StreamExt, future};

use crate::sealed_link::{self, LinkReceiver, LinkSender};
use crate::steward_link::LINK_TIMEOUT;
use crate::steward_shell::ShellState;
use crate::timeout::with_timeout;

/// Time after which a connection to another steward is closed, even if it is in use.
const PEER_LINK_LIFETIME: Duration = Duration::from_secs(30);
/// Maximum time for the handshake on a new connection, including the connect.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a heartbeat is sent on a connection.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Accepts connections from gates and other stewards.
pub(crate) async fn accept_links(shared: Arc<ShellState>, listener: TcpListener) {
    let mut incoming = listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        shared.executor().spawn(serve_link(Arc::clone(&shared), stream)).detach();
    }
}

async fn serve_link(shared: Arc<ShellState>, stream: TcpStream) {
    let handshake = async { sealed_link::accept(stream, shared.key(), shared.identity()).await };
    match with_timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Some((sender, receiver)) => {
            let (link, rx) = shared.open_link();
            run_link(&shared, link, rx, sender, receiver).await;
            shared.close_link(link);
        }
        None => shared.counters().add("link.rejected", 1),
    }
}

/// Opens a connection to another steward and exchanges messages until its lifetime ends.
pub(crate) async fn connect_steward(
    shared: Arc<ShellState>,
    to: SocketAddr,
    link: LinkId,
    rx: Receiver<LinkMessage>,
) {
    let handshake = async {
        let stream = TcpStream::connect(to).await.ok()?;
        sealed_link::initiate(stream, shared.key(), shared.identity()).await
    };
    match with_timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Some((sender, receiver)) => {
            let lifetime = async {
                Timer::after(PEER_LINK_LIFETIME).await;
            };
            future::or(run_link(&shared, link, rx, sender, receiver), lifetime).await;
        }
        None => shared.counters().add("link.refused", 1),
    }
    shared.close_link(link);
}

async fn run_link(
    shared: &Arc<ShellState>,
    link: LinkId,
    rx: Receiver<LinkMessage>,
    sender: LinkSender,
    receiver: LinkReceiver,
) {
    let read_loop = read_link(Arc::clone(shared), link, receiver);
    future::or(read_loop, write_link(sender, rx)).await;
}

async fn read_link(shared: Arc<ShellState>, link: LinkId, mut receiver: LinkReceiver) {
    // A host that loses power closes no connections, so silence ends the link.
    while let Some(message) = with_timeout(LINK_TIMEOUT, receiver.receive()).await {
        shared.handle_input(Input::Link { link, message });
    }
}

async fn write_link(mut sender: LinkSender, rx: Receiver<LinkMessage>) {
    loop {
        let heartbeat = async {
            Timer::after(HEARTBEAT_INTERVAL).await;
            Some(LinkMessage::Heartbeat)
        };
        let next = async { rx.recv().await.ok() };
        let Some(message) = future::or(next, heartbeat).await else {
            return;
        };
        if sender.send(&message).await.is_none() {
            return;
        }
    }
}
