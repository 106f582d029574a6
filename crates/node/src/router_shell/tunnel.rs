use std::cell::Cell;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use bay_router::ServerProcess;
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, ServerName};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use serde::{Deserialize, Serialize};
use socket2::SockRef;

use super::request::NON_IDEMPOTENT_REUSE_TIME;
use super::server_connection::{CONNECT_TIMEOUT, open_direct};
use super::shell_state::ShellState;
use crate::http1::connection::{Connection, set_reset_on_close};

/// Timeout for a connection to another router.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Timeout for the answer of another router, which opens a connection to the server first.
const ANSWER_TIMEOUT: Duration = CONNECT_TIMEOUT.saturating_add(Duration::from_millis(50));

/// Timeout for the request that begins a tunnel.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of routers that are asked for one tunnel.
const MAX_HOSTS: usize = 4;

/// Maximum length of an encoded request, in bytes.
const MAX_REQUEST: usize = 512;

/// Length of the buffer of each direction, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;

/// Divisor of the process's file descriptors that gives the limit of its tunnels. Each takes two.
const DESCRIPTOR_SHARE: u64 = 8;

/// Time without bytes after which the last answer through a tunnel counts as complete.
const MIN_IDLE_TIME: Duration =
    NON_IDEMPOTENT_REUSE_TIME.saturating_add(Duration::from_millis(100));

/// Time without bytes from a client after which its connection is closed behind an answer.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which a client must take what its server had sent before the connection broke.
const SEND_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between checks whether a tunnel is idle.
const IDLE_POLL: Duration = Duration::from_millis(50);

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Asks another router to connect to a server and to forward all bytes; it is sent behind its length
/// of two bytes.
#[derive(Debug, Serialize, Deserialize)]
struct TunnelRequest {
    server: ServerName,
    /// Start time of the server's process.
    started: u64,
}

/// Answer to a [`TunnelRequest`], encoded in one byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum TunnelAnswer {
    /// All further bytes are the server's.
    Open,
    /// The router is cut off, stopping or at its limit.
    Unavailable,
    /// The router knows no such process of a server.
    UnknownServer,
    /// The server did not accept the connection.
    ServerUnreachable,
}

/// How the forwarding of a tunnel's bytes ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TunnelEnd {
    /// The server has closed the connection; all of its bytes were forwarded.
    Closed,
    /// The connection to the server broke, or this router gave it up.
    Broken,
    /// The client has closed the connection, or it broke.
    ClientGone,
}

/// Reason why copying ended before the source's end.
#[derive(Debug)]
enum CopyError {
    Read(io::Error),
    Write(io::Error),
}

/// Counts of the tunnels that this router serves.
#[derive(Debug, Default)]
pub(crate) struct TunnelCounts {
    open: Cell<u64>,
}

impl TunnelCounts {
    /// Returns the number of open tunnels.
    pub(crate) fn open(&self) -> u64 {
        self.open.get()
    }
}

/// Counts a tunnel until it is dropped, and records its traffic.
struct TunnelGuard<'a> {
    counts: &'a TunnelCounts,
    /// Whether the last bytes were the client's, so that the server owes an answer.
    awaits_answer: Cell<bool>,
    /// When the last bytes passed.
    active_at: Cell<Time>,
}

impl TunnelGuard<'_> {
    fn new(counts: &TunnelCounts) -> TunnelGuard<'_> {
        counts.open.set(counts.open.get() + 1);
        let active_at = Cell::new(BootClock.now());
        TunnelGuard { counts, awaits_answer: Cell::new(false), active_at }
    }

    fn record_bytes(&self, awaits_answer: bool) {
        self.awaits_answer.set(awaits_answer);
        self.active_at.set(BootClock.now());
    }

    /// Waits until no answer is due and none has been arriving for a while.
    async fn wait_until_idle(&self) {
        loop {
            let idle_at = self.active_at.get() + MIN_IDLE_TIME;
            let pause = idle_at.since(BootClock.now());
            if pause.is_zero() && !self.awaits_answer.get() {
                return;
            }
            Timer::after(pause.max(IDLE_POLL)).await;
        }
    }
}

impl Drop for TunnelGuard<'_> {
    fn drop(&mut self) {
        self.counts.open.set(self.counts.open.get() - 1);
    }
}

/// Opens a connection to a server through another router.
///
/// # Errors
/// Returns an error if no router that was asked has reached the server. Nothing was sent to it.
pub(crate) async fn open_tunnel(
    shell: &Rc<ShellState>,
    process: &ServerProcess,
) -> io::Result<Connection> {
    for _ in 0..MAX_HOSTS {
        let now = BootClock.now();
        let Some(host) = shell.router.borrow_mut().tunnel_host(now) else {
            break;
        };
        let Some(address) = shell.router_hosts.borrow().get(&host).map(|record| record.peer) else {
            break;
        };
        match request_tunnel(shell, address, process).await {
            Ok((connection, TunnelAnswer::Open)) => {
                shell.counters.add("tunnel.opened", 1);
                return Ok(connection);
            }
            Ok((_, TunnelAnswer::ServerUnreachable | TunnelAnswer::UnknownServer)) => {
                shell.counters.add("tunnel.server-unreachable", 1);
                return Err(io::ErrorKind::ConnectionRefused.into());
            }
            Ok((_, TunnelAnswer::Unavailable)) => record_unavailable(shell, host, "unavailable"),
            Err(error) => record_unavailable(shell, host, &error.to_string()),
        }
    }
    Err(io::ErrorKind::HostUnreachable.into())
}

fn record_unavailable(shell: &ShellState, host: HostName, reason: &str) {
    shell.counters.add("tunnel.unavailable", 1);
    log::info!(host:% = host, reason = reason; "router opens no tunnel");
    shell.router.borrow_mut().record_unavailable_host(BootClock.now(), host);
}

/// Connects to another router and asks it for a tunnel.
async fn request_tunnel(
    shell: &ShellState,
    to: SocketAddr,
    process: &ServerProcess,
) -> io::Result<(Connection, TunnelAnswer)> {
    let request = TunnelRequest { server: process.server, started: process.started };
    let body = postcard::to_stdvec(&request).map_err(io::Error::other)?;
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend_from_slice(&body);
    let mut connection =
        within(HOST_CONNECT_TIMEOUT, Connection::connect(to, &shell.resources)).await?;
    connection.enable_probes();
    let exchange = async {
        connection.write_all(&message).await?;
        while connection.buffered().is_empty() {
            if connection.fill().await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let answer = postcard::from_bytes(&connection.buffered()[..1]).map_err(io::Error::other)?;
        connection.consume(1);
        Ok(answer)
    };
    let answer = within(ANSWER_TIMEOUT, exchange).await?;
    Ok((connection, answer))
}

/// Runs an operation for at most `timeout`.
async fn within<T, F>(timeout: Duration, work: F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let timer = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    future::or(work, timer).await
}

/// Accepts other routers' connections and serves their tunnels.
pub(crate) async fn serve_tunnels(shell: Rc<ShellState>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => shell.spawn_isolated(serve_tunnel(Rc::clone(&shell), stream)),
            Err(error) => {
                log::warn!(error:% = error; "tunnel not accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one tunnel until either side closes it.
async fn serve_tunnel(shell: Rc<ShellState>, mut client: Async<TcpStream>) {
    let counts = &shell.tunnel_counts;
    let guard = TunnelGuard::new(counts);
    let is_at_limit = counts.open.get() > shell.settings.descriptors / DESCRIPTOR_SHARE;
    let request = match within(REQUEST_TIMEOUT, read_request(&mut client)).await {
        Ok(request) => request,
        Err(error) => {
            shell.counters.add("tunnel.malformed", 1);
            log::info!(error:% = error; "tunnel without a valid request");
            return;
        }
    };
    let opened = match is_at_limit {
        true => Err(TunnelAnswer::Unavailable),
        false => connect_for_tunnel(&shell, &request).await,
    };
    let answer = opened.as_ref().err().copied().unwrap_or(TunnelAnswer::Open);
    if answer != TunnelAnswer::Open {
        log::info!(server:% = request.server, answer:? = answer; "tunnel refused");
    }
    let Ok(bytes) = postcard::to_stdvec(&answer) else {
        return;
    };
    let is_answered = within(REQUEST_TIMEOUT, client.write_all(&bytes)).await.is_ok();
    let Some(server) = opened.ok().filter(|_| is_answered) else {
        return;
    };
    shell.counters.add("tunnel.served", 1);
    // Without `TCP_NODELAY` the tunnel is slower but correct.
    let _ = client.get_ref().set_nodelay(true);
    let _ = server.get_ref().set_nodelay(true);
    // Unless the server closes its connection, the client's is reset, also if this process is killed.
    // Otherwise a part of an answer without a length would look whole.
    set_reset_on_close(client.get_ref(), true);
    // What an answer still lacks is not known here, as its framing is not read. Clients no longer use a
    // tunnel that has been idle for so long for requests that may run once only.
    let idle_at_stop = async {
        shell.closing.wait().await;
        guard.wait_until_idle().await;
        TunnelEnd::Broken
    };
    let end = future::or(forward(&guard, &client, &server), idle_at_stop).await;
    // Bytes that the client has given up on must not reach the server later.
    set_reset_on_close(server.get_ref(), true);
    drop(server);
    match end {
        TunnelEnd::Closed => {
            set_reset_on_close(client.get_ref(), false);
            close_behind_answer(client).await;
        }
        TunnelEnd::Broken => wait_until_sent(&client).await,
        TunnelEnd::ClientGone => {}
    }
}

/// Closes the connection to a client that may still be sending.
///
/// Closing it with unread bytes would reset it, and the client might lose the end of the answer.
async fn close_behind_answer(mut client: Async<TcpStream>) {
    // Fails if the client has already closed the connection.
    let _ = client.get_ref().shutdown(Shutdown::Write);
    let mut buf = vec![0; BUFFER_BYTES];
    while let Ok(1..) = within(CLOSE_TIMEOUT, client.read(&mut buf)).await {}
}

/// Waits until the system has sent all bytes, the connection breaks, or too much time has passed.
async fn wait_until_sent(stream: &Async<TcpStream>) {
    // Without unsent bytes the stream is writable.
    let set = SockRef::from(stream.get_ref()).set_tcp_notsent_lowat(1);
    let sent = match set {
        Ok(()) => within(SEND_TIMEOUT, stream.writable()).await,
        Err(error) => Err(error),
    };
    if let Err(error) = sent {
        log::warn!(error:% = error; "a tunnel may have lost the end of an answer");
    }
}

async fn read_request(client: &mut Async<TcpStream>) -> io::Result<TunnelRequest> {
    let mut length = [0; 2];
    client.read_exact(&mut length).await?;
    let length = usize::from(u16::from_be_bytes(length));
    if length > MAX_REQUEST {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length];
    client.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(io::Error::other)
}

/// Opens the connection to the server of a tunnel, if this router can and may.
async fn connect_for_tunnel(
    shell: &Rc<ShellState>,
    request: &TunnelRequest,
) -> Result<Async<TcpStream>, TunnelAnswer> {
    let address = {
        let router = shell.router.borrow();
        let server = router.directory().get(request.server);
        let server = server.filter(|server| server.entry.started == request.started);
        if !shell.is_ready() || router.is_cut_off() {
            return Err(TunnelAnswer::Unavailable);
        }
        server.map(|server| server.entry.address)
    };
    let address = address.ok_or(TunnelAnswer::UnknownServer)?;
    match open_direct(shell, request.server, address).await {
        Ok(stream) => Ok(stream),
        // The failure may have shown that this router is cut off, too.
        Err(_) if shell.router.borrow().is_cut_off() => Err(TunnelAnswer::Unavailable),
        Err(_) => Err(TunnelAnswer::ServerUnreachable),
    }
}

/// Forwards bytes in both directions until the server has sent all, or the client is gone.
async fn forward(
    guard: &TunnelGuard<'_>,
    client: &Async<TcpStream>,
    server: &Async<TcpStream>,
) -> TunnelEnd {
    // The system reports a reset once; the end of the server's bytes may follow as if it had closed.
    let is_server_broken = Cell::new(false);
    let requests = async {
        match copy(client, server, || guard.record_bytes(true)).await {
            Ok(()) => TunnelEnd::ClientGone,
            Err(CopyError::Read(error)) => log_broken(TunnelEnd::ClientGone, &error),
            Err(CopyError::Write(error)) => {
                log::debug!(error:% = error; "server takes no more of a request in a tunnel");
                // Behind the server's own end a write fails with `BrokenPipe`.
                is_server_broken.set(error.kind() != io::ErrorKind::BrokenPipe);
                // The server may have answered before.
                future::pending().await
            }
        }
    };
    let answers = async {
        match copy(server, client, || guard.record_bytes(false)).await {
            Ok(()) if is_server_broken.get() => TunnelEnd::Broken,
            Ok(()) => TunnelEnd::Closed,
            Err(CopyError::Read(error)) => log_broken(TunnelEnd::Broken, &error),
            Err(CopyError::Write(error)) => log_broken(TunnelEnd::ClientGone, &error),
        }
    };
    future::or(requests, answers).await
}

fn log_broken(end: TunnelEnd, error: &io::Error) -> TunnelEnd {
    log::debug!(end:? = end, error:% = error; "tunnel broken");
    end
}

/// Copies bytes until the source ends; calls `on_bytes` for each portion.
async fn copy<R, W, F>(mut from: R, mut to: W, on_bytes: F) -> Result<(), CopyError>
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
    F: Fn(),
{
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buf).await.map_err(CopyError::Read)?;
        if count == 0 {
            return Ok(());
        }
        on_bytes();
        to.write_all(&buf[..count]).await.map_err(CopyError::Write)?;
    }
}
