use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use bay_router::{PeerMessage, Permit, PermitRequest, RateLimiter};
use bay_time::{BootClock, Clock};
use bay_types::HostName;
use futures_lite::future;

use super::shell_state::ShellState;

/// Time within which another router answers a request for a permit.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// Maximum number of routers that are asked for one permit.
const MAX_HOSTS: u32 = 2;

/// Requests for a permit after which a router counts as silent. A single datagram may be lost.
const MAX_TRIES: u32 = 3;

/// Permits to send requests to servers with a rate limit: those that this router grants, and those
/// that it has asked other routers for.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    limiter: RefCell<RateLimiter>,
    next_number: Cell<u64>,
    /// Tasks that wait for an answer, by the number of the request.
    waiting: RefCell<HashMap<u64, Sender<Permit>>>,
}

/// Stops waiting for an answer on drop, so that a cancelled task leaves nothing behind.
struct WaitGuard<'a> {
    permits: &'a Permits,
    number: u64,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.permits.waiting.borrow_mut().remove(&self.number);
    }
}

/// Acquires a permit from the router that grants those of the server.
///
/// If that router and the next one are silent, this router grants its own share.
pub(crate) async fn acquire(shell: &Rc<ShellState>, request: PermitRequest) -> Permit {
    for _ in 0..MAX_HOSTS {
        let host = shell.router.borrow().permit_host(BootClock.now(), request.server);
        let address = shell.router_hosts.borrow().get(&host).map(|record| record.peer);
        let Some(address) = address.filter(|_| host != shell.settings.host) else {
            return grant(shell, &request);
        };
        for _ in 0..MAX_TRIES {
            if let Some(permit) = ask(shell, address, request).await {
                return permit;
            }
        }
        record_silence(shell, host);
    }
    let request = shell.router.borrow().own_share(request);
    grant(shell, &request)
}

/// Grants or denies a permit of a server.
fn grant(shell: &ShellState, request: &PermitRequest) -> Permit {
    shell.permits.limiter.borrow_mut().acquire(BootClock.now(), request)
}

/// Asks another router for a permit; `None` if it doesn't answer in time.
async fn ask(shell: &ShellState, to: SocketAddr, request: PermitRequest) -> Option<Permit> {
    let permits = &shell.permits;
    let number = permits.next_number.get();
    permits.next_number.set(number + 1);
    let (tx, rx) = async_channel::bounded(1);
    permits.waiting.borrow_mut().insert(number, tx);
    let _guard = WaitGuard { permits, number };
    shell.peer_socket.send(&[to], &PeerMessage::RequestPermit(number, request));
    let timer = async {
        Timer::after(ANSWER_TIMEOUT).await;
        None
    };
    future::or(async { rx.recv().await.ok() }, timer).await
}

fn record_silence(shell: &ShellState, host: HostName) {
    shell.counters.add("permit.unanswered", 1);
    log::info!(host:% = host; "router does not answer requests for permits");
    shell.router.borrow_mut().record_silent_host(BootClock.now(), host);
}

/// Answers another router's request for a permit.
pub(crate) fn handle_request(
    shell: &ShellState,
    from: SocketAddr,
    number: u64,
    request: &PermitRequest,
) {
    let permit = grant(shell, request);
    shell.peer_socket.send(&[from], &PeerMessage::Permit(number, permit));
}

/// Passes the answer to a request for a permit to the task that waits for it.
pub(crate) fn handle_answer(shell: &ShellState, number: u64, permit: Permit) {
    if let Some(tx) = shell.permits.waiting.borrow_mut().remove(&number)
        && tx.try_send(permit).is_err()
    {
        shell.counters.add("permit.unused", 1);
    }
}
