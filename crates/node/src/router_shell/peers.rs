use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bay_router::PeerMessage;

use super::granter;
use super::shell_state::ShellState;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 63 * 1024;

/// Maximum number of ports chosen by the system that are tried.
const MAX_PORT_TRIES: usize = 8;

/// Pause after a datagram could not be received.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// UDP socket for messages between routers.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: Async<UdpSocket>,
    /// Bytes of sent datagrams, without UDP and IP headers.
    sent_bytes: Cell<u64>,
    /// Bytes of received datagrams, without UDP and IP headers.
    received_bytes: Cell<u64>,
}

/// Opens the socket at an address, and a listener for tunnels at the same one, so that other routers
/// need no further address.
///
/// # Errors
/// Returns an error if the address is in use. If the system chooses the port, others are tried.
pub(crate) fn bind_sockets(
    address: SocketAddr,
) -> std::io::Result<(PeerSocket, Async<TcpListener>)> {
    let tries = if address.port() == 0 { MAX_PORT_TRIES } else { 1 };
    let mut result = Err(std::io::ErrorKind::AddrInUse.into());
    for _ in 0..tries {
        // Most ports in use are those of TCP connections, so the listener comes first.
        let listener = Async::<TcpListener>::bind(address)?;
        result = Async::<UdpSocket>::bind(listener.get_ref().local_addr()?)
            .map(|socket| (PeerSocket::new(socket), listener));
        if result.is_ok() {
            break;
        }
    }
    result
}

impl PeerSocket {
    fn new(socket: Async<UdpSocket>) -> PeerSocket {
        PeerSocket { socket, sent_bytes: Cell::new(0), received_bytes: Cell::new(0) }
    }

    /// Returns the address to which the socket is bound.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Returns the bytes sent and received.
    pub(crate) fn byte_counts(&self) -> (u64, u64) {
        (self.sent_bytes.get(), self.received_bytes.get())
    }

    /// Encodes a message; `None` if it is too large for a datagram.
    pub(crate) fn encode(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => Some(bytes),
            _ => {
                log::warn!("message to routers not sent: too large");
                None
            }
        }
    }

    /// Sends a message to several routers. A datagram that cannot be sent at once is dropped.
    pub(crate) fn send(&self, to: &[SocketAddr], message: &PeerMessage) {
        if let Some(bytes) = self.encode(message) {
            self.send_encoded(to, &bytes);
        }
    }

    /// Like [`PeerSocket::send`], for an encoded message.
    pub(crate) fn send_encoded(&self, to: &[SocketAddr], bytes: &[u8]) {
        self.sent_bytes.set(self.sent_bytes.get() + (bytes.len() * to.len()) as u64);
        for address in to {
            if let Err(error) = self.socket.get_ref().send_to(bytes, address) {
                log::debug!(to:% = address, error:% = error; "datagram not sent");
            }
        }
    }
}

/// Receives datagrams of other routers and handles their messages.
pub(crate) async fn receive_datagrams(shell: Rc<ShellState>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match shell.peer_socket.socket.recv_from(&mut buf).await {
            Ok((count, from)) => {
                let received_bytes = &shell.peer_socket.received_bytes;
                received_bytes.set(received_bytes.get() + count as u64);
                match postcard::from_bytes(&buf[..count]) {
                    Ok(message) => {
                        let handle = || granter::handle_peer_message(&shell, from, message);
                        if catch_unwind(AssertUnwindSafe(handle)).is_err() {
                            shell.record_panic("datagram");
                        }
                    }
                    Err(_) => shell.counters.add("peer.malformed", 1),
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "datagram not received");
                Timer::after(ERROR_PAUSE).await;
            }
        }
    }
}
