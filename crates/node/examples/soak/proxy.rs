use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::start_listener;

/// Maximum time after which an idle connection notices a change of the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How a proxy treats the connections through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ProxyMode {
    /// Forwards bytes unchanged.
    #[default]
    Forward,
    /// Forwards each read of bytes after this delay.
    Delay(Duration),
    /// Closes all connections, established and new ones.
    Close,
    /// Keeps connections open and drops the bytes of both directions.
    Blackhole,
    /// Drops the bytes from the upstream address to the caller only.
    DropResponses,
}

/// A loopback TCP proxy in front of one address, which injects network faults.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<ProxyMode>>,
}

impl Proxy {
    /// Starts a proxy in front of `upstream`.
    pub fn start(upstream: SocketAddr) -> Proxy {
        let mode = Arc::new(Mutex::new(ProxyMode::Forward));
        let shared = Arc::clone(&mode);
        let address = start_listener(move |stream| relay_connection(&stream, upstream, &shared));
        Proxy { address, mode }
    }

    /// Sets the mode for all connections, including established ones.
    pub fn set_mode(&self, mode: ProxyMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

fn relay_connection(caller: &TcpStream, upstream: SocketAddr, mode: &Arc<Mutex<ProxyMode>>) {
    let Ok(upstream) = TcpStream::connect(upstream) else {
        return;
    };
    let (Ok(from), Ok(to)) = (caller.try_clone(), upstream.try_clone()) else {
        return;
    };
    let shared = Arc::clone(mode);
    thread::spawn(move || copy_bytes(&from, &to, &shared, false));
    copy_bytes(&upstream, caller, mode, true);
}

fn copy_bytes(from: &TcpStream, to: &TcpStream, mode: &Mutex<ProxyMode>, to_caller: bool) {
    let mut buf = [0; 16 * 1024];
    // The timeout lets an idle connection notice `ProxyMode::Close`.
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut has_lost_bytes = false;
    loop {
        let current_mode = *mode.lock().unwrap_or_else(PoisonError::into_inner);
        if current_mode == ProxyMode::Close {
            break;
        }
        let count = match (&mut &*from).read(&mut buf) {
            Ok(0) => break,
            Ok(count) => count,
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                continue;
            }
            Err(_) => break,
        };
        if let ProxyMode::Delay(delay) = current_mode {
            thread::park_timeout(delay);
        }
        // After a gap, later bytes would corrupt the stream. The connection drops all of them, even
        // once the mode has changed.
        has_lost_bytes |= current_mode == ProxyMode::Blackhole
            || (current_mode == ProxyMode::DropResponses && to_caller);
        if !has_lost_bytes && (&mut &*to).write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
