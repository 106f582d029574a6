use std::cell::Cell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bay_router::PeerMessage;

use super::granting;
use super::shell::Shell;

/// Longest datagram, in bytes.
const MAX_DATAGRAM: usize = 60 * 1024;

/// Pause after a failed read.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Sends and receives datagrams of other routers.
#[derive(Debug)]
pub(crate) struct PeerSocket {
    socket: Async<UdpSocket>,
    /// Bytes of datagrams, without the headers of UDP and IP.
    sent: Cell<u64>,
    received: Cell<u64>,
}

/// Opens the socket.
pub(crate) fn bind(address: SocketAddr) -> std::io::Result<PeerSocket> {
    Ok(PeerSocket {
        socket: Async::<UdpSocket>::bind(address)?,
        sent: Cell::new(0),
        received: Cell::new(0),
    })
}

impl PeerSocket {
    /// The address that it is bound to.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.get_ref().local_addr()
    }

    /// Bytes that were sent and received.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        (self.sent.get(), self.received.get())
    }

    /// Sends a message to several routers; a datagram that cannot be sent is lost.
    pub(crate) fn send(&self, to: &[SocketAddr], message: &PeerMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_DATAGRAM => bytes,
            _ => {
                log::warn!("message to routers is too large");
                return;
            }
        };
        self.sent.set(self.sent.get() + (bytes.len() * to.len()) as u64);
        for address in to {
            if let Err(error) = self.socket.get_ref().send_to(&bytes, address) {
                log::debug!(to:% = address, error:% = error; "datagram not sent");
            }
        }
    }
}

/// Receives datagrams.
pub(crate) async fn receive(shell: Rc<Shell>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        match shell.peers.socket.recv_from(&mut buf).await {
            Ok((count, from)) => {
                let received = &shell.peers.received;
                received.set(received.get() + count as u64);
                match postcard::from_bytes(&buf[..count]) {
                    Ok(message) => granting::on_message(&shell, from, message),
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
