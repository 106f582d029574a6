use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};

use async_io::Async;
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, Opener, PeerMessage, Role, Sealer, decode, encode};

use crate::http1::lock;

/// Maximum length of a datagram between gates, in bytes; it fits one Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Sends sealed datagrams to other gates.
#[derive(Debug)]
pub(crate) struct PeerSender {
    socket: Arc<Async<UdpSocket>>,
    sealer: Mutex<Sealer>,
}

/// Receives and opens datagrams from other gates.
#[derive(Debug)]
pub(crate) struct PeerReceiver {
    socket: Arc<Async<UdpSocket>>,
    opener: Opener,
}

/// Datagram that arrived from the network.
#[derive(Debug)]
pub(crate) enum ReceivedDatagram {
    /// A valid message from another gate.
    Message {
        /// Gate that sealed the datagram.
        from: NodeId,
        message: Box<PeerMessage>,
    },
    /// A datagram that failed authentication or decoding.
    Rejected,
}

/// Binds the socket for datagrams between gates.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub(crate) fn bind_peers(
    address: SocketAddr,
    key: &ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
) -> std::io::Result<(PeerSender, PeerReceiver)> {
    let socket = Arc::new(Async::<UdpSocket>::bind(address)?);
    let sealer = Mutex::new(Sealer::new(key.clone(), node, Role::Gate, incarnation));
    let sender = PeerSender { socket: Arc::clone(&socket), sealer };
    let local_address = socket.get_ref().local_addr()?;
    let receiver = PeerReceiver { socket, opener: Opener::new(key.clone(), local_address) };
    Ok((sender, receiver))
}

impl PeerSender {
    /// Sends a message; returns whether the network stack accepted it.
    ///
    /// A datagram is lost if the socket's buffer is full; the protocol tolerates any lost datagram.
    pub(crate) fn send(&self, to: SocketAddr, message: &PeerMessage) -> bool {
        let Ok(payload) = encode(message) else {
            return false;
        };
        let sealed = lock(&self.sealer).seal_to(to, &payload);
        if sealed.len() > MAX_DATAGRAM_BYTES {
            return false;
        }
        self.socket.get_ref().send_to(&sealed, to).is_ok()
    }

    /// Returns the address on which the gate receives datagrams.
    pub(crate) fn local_address(&self) -> std::io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }
}

impl PeerReceiver {
    /// Waits for the next datagram.
    pub(crate) async fn receive(&mut self) -> ReceivedDatagram {
        let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
        let Ok((len, _)) = self.socket.recv_from(&mut buf).await else {
            return ReceivedDatagram::Rejected;
        };
        let Ok((from, _, payload)) = self.opener.open(&buf[..len]) else {
            return ReceivedDatagram::Rejected;
        };
        match decode(payload) {
            Ok(message) => ReceivedDatagram::Message { from, message: Box::new(message) },
            Err(_) => ReceivedDatagram::Rejected,
        }
    }
}
