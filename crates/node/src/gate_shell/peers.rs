use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use async_io::Async;
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, Opener, PeerMessage, Role, Sealer, decode, encode};

use crate::http1::lock;

/// Longest datagram between gates, in bytes; it fits one Ethernet frame.
const MAX_DATAGRAM: usize = 1_400;

/// Sends sealed datagrams to other gates.
#[derive(Debug)]
pub(crate) struct PeerSender {
    socket: Arc<Async<UdpSocket>>,
    sealer: Mutex<Sealer>,
}

/// Receives the datagrams of other gates.
#[derive(Debug)]
pub(crate) struct PeerReceiver {
    socket: Arc<Async<UdpSocket>>,
    opener: Opener,
}

/// What arrived at the socket for gates.
#[derive(Debug)]
pub(crate) enum Received {
    /// A message of another gate.
    Message {
        /// The gate.
        from: NodeId,
        /// The message.
        message: Box<PeerMessage>,
    },
    /// Bytes that are not a message of a gate.
    Rejected,
}

/// Listens for datagrams of other gates.
///
/// # Errors
/// Returns an error if the address cannot be listened on.
pub(crate) fn bind_peers(
    address: SocketAddr,
    key: &ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
) -> std::io::Result<(PeerSender, PeerReceiver)> {
    let socket = Arc::new(Async::<UdpSocket>::bind(address)?);
    let sealer = Mutex::new(Sealer::new(key.clone(), node, Role::Gate, incarnation));
    let sender = PeerSender { socket: Arc::clone(&socket), sealer };
    let own = socket.get_ref().local_addr()?;
    let receiver = PeerReceiver { socket, opener: Opener::new(key.clone(), own) };
    Ok((sender, receiver))
}

impl PeerSender {
    /// Sends a message; returns whether it was handed to the network.
    ///
    /// A datagram that finds the socket's buffer full is lost, as any datagram may be.
    pub(crate) fn send(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let Ok(payload) = encode(message) else {
            return false;
        };
        let sealed = lock(&self.sealer).seal_to(to, &payload);
        if sealed.len() > MAX_DATAGRAM {
            return false;
        }
        self.socket.get_ref().send_to(&sealed, to).is_ok()
    }

    /// Where the gate takes datagrams.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }
}

impl PeerReceiver {
    /// Waits for the next datagram.
    pub(crate) async fn receive(&mut self) -> Received {
        let mut buf = [0; MAX_DATAGRAM + 1];
        let Ok((len, _)) = self.socket.recv_from(&mut buf).await else {
            return Received::Rejected;
        };
        let Ok((from, _, payload)) = self.opener.open(&buf[..len]) else {
            return Received::Rejected;
        };
        match decode(payload) {
            Ok(message) => Received::Message { from, message: Box::new(message) },
            Err(_) => Received::Rejected,
        }
    }
}
