use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::http::listen;

/// How long a proxy that holds bytes back waits before it looks at its mode again.
const POLL: Duration = Duration::from_millis(20);

/// What a proxy does to the connections through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// Passes bytes on.
    #[default]
    Pass,
    /// Passes bytes on this much later.
    Delay(Duration),
    /// Resets connections, old and new ones.
    Reset,
    /// Keeps connections open and drops all bytes.
    Silent,
    /// Drops the bytes that go back to the caller.
    OneWay,
}

/// A loopback proxy in front of one address.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
}

impl Proxy {
    /// Starts a proxy.
    pub fn start(to: SocketAddr) -> Proxy {
        let mode = Arc::new(Mutex::new(Mode::Pass));
        let shared = Arc::clone(&mode);
        let address = listen(move |stream| relay(&stream, to, &shared));
        Proxy { address, mode }
    }

    /// Changes what happens to connections from now on.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

fn relay(caller: &TcpStream, to: SocketAddr, mode: &Arc<Mutex<Mode>>) {
    let Ok(target) = TcpStream::connect(to) else {
        return;
    };
    let (Ok(from), Ok(into)) = (caller.try_clone(), target.try_clone()) else {
        return;
    };
    let shared = Arc::clone(mode);
    thread::spawn(move || pump(&from, &into, &shared, false));
    pump(&target, caller, mode, true);
}

fn pump(from: &TcpStream, into: &TcpStream, mode: &Mutex<Mode>, back: bool) {
    let mut buf = [0; 16 * 1024];
    // A mode that resets has to be noticed on idle connections, too.
    let _ = from.set_read_timeout(Some(POLL));
    let mut was_cut = false;
    loop {
        let now = *mode.lock().unwrap_or_else(PoisonError::into_inner);
        if now == Mode::Reset {
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
        if let Mode::Delay(span) = now {
            thread::park_timeout(span);
        }
        // A connection that has lost bytes stays silent for good.
        was_cut |= now == Mode::Silent || (now == Mode::OneWay && back);
        if !was_cut && (&mut &*into).write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = into.shutdown(Shutdown::Both);
}
