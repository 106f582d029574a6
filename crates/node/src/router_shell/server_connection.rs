use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bay_router::{ServerPath, ServerProcess};
use bay_time::{BootClock, Clock};
use bay_types::ServerName;
use futures_lite::future;

use super::granter;
use super::shell_state::ShellState;
use super::tunnel::open_tunnel;
use crate::gate_shell::{ConnectError, PooledConnection};
use crate::http1::connection::Connection;

/// Timeout for a direct connection to a server.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval between decisions whether to probe a direct connection.
const PROBE_STEP: Duration = Duration::from_millis(100);

/// Takes an idle connection to a server that was idle for less than `max_idle`, or opens one while
/// fewer than `cap` are open.
///
/// # Errors
/// Returns an error if the limit is reached, or neither a direct connection nor a tunnel was opened.
pub(crate) async fn connect(
    shell: &Rc<ShellState>,
    process: &ServerProcess,
    cap: usize,
    max_idle: Duration,
) -> Result<PooledConnection, ConnectError> {
    let opened = open(shell, process);
    shell.pool.acquire_or_open(process.address, cap, max_idle, opened).await
}

async fn open(shell: &Rc<ShellState>, process: &ServerProcess) -> io::Result<Connection> {
    let path = || shell.router.borrow().server_path();
    if path() == ServerPath::Direct {
        let opened = open_direct(shell, process.server, process.address).await;
        let opened = opened.map(|stream| Connection::new(stream, &shell.resources));
        // The failure may have shown that only a tunnel helps.
        if opened.is_ok() || path() == ServerPath::Direct {
            return opened;
        }
    }
    match open_tunnel(shell, process).await {
        // Without a router that opens tunnels, a direct connection is the only hope.
        Err(error) if error.kind() == io::ErrorKind::HostUnreachable => {
            let opened = open_direct(shell, process.server, process.address).await;
            opened.map(|stream| Connection::new(stream, &shell.resources))
        }
        opened => opened,
    }
}

/// Opens a direct connection and records whether that works.
pub(crate) async fn open_direct(
    shell: &Rc<ShellState>,
    server: ServerName,
    address: SocketAddr,
) -> io::Result<Async<TcpStream>> {
    let timer = async {
        Timer::after(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let opened = future::or(Async::<TcpStream>::connect(address), timer).await;
    let now = BootClock.now();
    let has_changed = match &opened {
        Ok(_) => shell.router.borrow_mut().record_direct_success(now, server),
        // A connection may fail because the granter's own messages fill the link.
        Err(_) if granter::is_link_busy(shell, now) => false,
        Err(_) => shell.router.borrow_mut().record_direct_failure(now, server),
    };
    if has_changed {
        match &opened {
            Ok(_) => log::info!(server:% = server; "servers reachable again"),
            Err(error) => {
                shell.counters.add("servers.cut-off", 1);
                log::warn!(server:% = server, error:% = error; "cut off from the servers");
            }
        }
        // Idle connections of the other path are dead, or a detour.
        shell.pool.invalidate_all();
    }
    opened
}

/// Probes direct connections while this router is cut off from the servers, or suspects it.
pub(crate) async fn run_probes(shell: Rc<ShellState>) {
    loop {
        Timer::after(PROBE_STEP).await;
        let probed = {
            let mut router = shell.router.borrow_mut();
            let name = router.next_probe(BootClock.now());
            let server = name.and_then(|name| Some((name, router.directory().get(name)?)));
            server.map(|(name, server)| (name, server.entry.address))
        };
        if let Some((server, address)) = probed {
            // A probe may hang for longer than the interval between two of them.
            shell.spawn(probe(Rc::clone(&shell), server, address));
        }
    }
}

async fn probe(shell: Rc<ShellState>, server: ServerName, address: SocketAddr) {
    if let Err(error) = open_direct(&shell, server, address).await {
        log::debug!(server:% = server, error:% = error; "probe failed");
    }
}
