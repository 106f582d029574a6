use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::{Async, Timer};
use bay_conf::Settings;
use bay_gate::{Gate, GateConfig};
use bay_obs::Counters;
use bay_time::{BootClock, Clock};
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, Item, LinkIdentity, Role};

use crate::ShellError;
use crate::http1::lock;
use crate::steward_link::follow_steward;
use crate::wall_clock::wall_nanos;

mod admin;
mod admission;
mod attempt;
mod call_task;
mod caller;
mod caller_connection;
mod head_codec;
mod head_stream;
mod headers;
mod http_limits;
mod mailbox;
mod peers;
mod pool;
mod shell_state;
mod steward_follower;
mod target_response;
mod upload;

pub use http_limits::HttpLimits;
pub(crate) use pool::{ConnectError, ConnectionPool, PooledConnection};
pub(crate) use upload::{LAST_CHUNK, append_body};

use admin::serve_admin;
use admission::AdmissionControl;
use caller::{reject_connection, serve_caller};
use peers::{PeerReceiver, ReceivedDatagram, bind_peers};
use shell_state::{Phase, ShellState};

/// Interval at which a stopping gate checks whether all connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which expired idle connections are closed and counts are published.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Gate with its sockets and tasks.
#[derive(Clone)]
pub struct GateShell {
    shared: Arc<ShellState>,
    executor: Arc<Executor<'static>>,
    listener_state: Arc<Mutex<ListenerState>>,
    stewards: Vec<SocketAddr>,
    drain_time: Duration,
    key: ClusterKey,
    addresses: GateAddresses,
}

/// Addresses on which a gate listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateAddresses {
    /// For HTTP requests of callers.
    pub listen: SocketAddr,
    /// For the platform's load balancer and operators.
    pub admin: SocketAddr,
    /// For datagrams from other gates.
    pub peer: SocketAddr,
}

/// State of a gate's sockets.
enum ListenerState {
    /// The sockets are bound and the gate has not started.
    Bound(Box<Sockets>),
    /// Connections are accepted until the task is dropped.
    Accepting { _task: Task<()> },
    /// No connection is accepted any more.
    Closed,
}

struct Sockets {
    listener: Async<TcpListener>,
    admin: async_net::TcpListener,
    peers: PeerReceiver,
}

impl GateShell {
    /// Binds the addresses in the settings, with the default limits.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn bind(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
    ) -> Result<GateShell, ShellError> {
        let limits = HttpLimits::default();
        GateShell::bind_with_limits(settings, key, counters, executor, limits).await
    }

    /// Binds the addresses in the settings, with the given limits.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn bind_with_limits(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
        limits: HttpLimits,
    ) -> Result<GateShell, ShellError> {
        let listen_error = |address| move |error| ShellError::Listen(address, error);
        let gate_settings = &settings.gate;
        let listener = Async::<TcpListener>::bind(gate_settings.listen);
        let listener = listener.map_err(listen_error(gate_settings.listen))?;
        let admin = async_net::TcpListener::bind(gate_settings.admin).await;
        let admin = admin.map_err(listen_error(gate_settings.admin))?;
        let now = BootClock.now();
        let node = NodeId::of(settings.host);
        let incarnation = Incarnation(wall_nanos());
        let peers = bind_peers(gate_settings.peer, &key, node, incarnation);
        let (sender, receiver) = peers.map_err(listen_error(gate_settings.peer))?;
        let addresses = GateAddresses {
            listen: listener.get_ref().local_addr().map_err(listen_error(gate_settings.listen))?,
            admin: admin.local_addr().map_err(listen_error(gate_settings.admin))?,
            peer: sender.local_address().map_err(listen_error(gate_settings.peer))?,
        };
        let gate = Gate::new(GateConfig { node, zone: settings.zone, seed: now.as_nanos() });
        let admission = AdmissionControl::new(gate_settings);
        let shared = ShellState::new(gate, counters, limits, admission, sender, incarnation);
        let sockets = Sockets { listener, admin, peers: receiver };
        Ok(GateShell {
            shared: Arc::new(shared),
            executor,
            listener_state: Arc::new(Mutex::new(ListenerState::Bound(Box::new(sockets)))),
            stewards: gate_settings.stewards.clone(),
            drain_time: gate_settings.drain,
            key,
            addresses,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> GateAddresses {
        self.addresses
    }

    /// Starts the gate's tasks. Does nothing if the gate has already started.
    pub fn start(&self) {
        let mut listener_state = lock(&self.listener_state);
        let sockets = match std::mem::replace(&mut *listener_state, ListenerState::Closed) {
            ListenerState::Bound(sockets) => sockets,
            other => {
                *listener_state = other;
                return;
            }
        };
        let Sockets { listener, admin, peers } = *sockets;
        let accept =
            accept_connections(Arc::clone(&self.shared), listener, Arc::clone(&self.executor));
        *listener_state = ListenerState::Accepting { _task: self.executor.spawn(accept) };
        drop(listener_state);
        self.start_links();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(serve_admin(shared, admin, Arc::clone(&self.executor))).detach();
        self.executor.spawn(receive_peers(Arc::clone(&self.shared), peers)).detach();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(async move { shared.run_timers().await }).detach();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(async move { shared.resources.watchdog.run().await }).detach();
        self.executor.spawn(run_cleanup(Arc::clone(&self.shared))).detach();
    }

    fn start_links(&self) {
        if self.stewards.is_empty() {
            // No steward will send a list of gates, so this gate is alone.
            self.shared.set_gates(&[]);
        }
        let (node, incarnation) = (self.shared.node, self.shared.incarnation);
        let identity = LinkIdentity { node, role: Role::Gate, incarnation };
        for steward in &self.stewards {
            let shared = Arc::clone(&self.shared);
            let follow = follow_steward(*steward, self.key.clone(), identity, shared);
            self.executor.spawn(follow).detach();
        }
    }

    /// Reports not ready and serves on for the drain time in the settings. Then stops accepting
    /// connections and returns when the open ones have finished.
    pub async fn stop(&self) {
        self.shared.set_phase(Phase::Draining);
        Timer::after(self.drain_time).await;
        *lock(&self.listener_state) = ListenerState::Closed;
        self.shared.set_phase(Phase::Closing);
        self.shared.resources.watchdog.expire_idle();
        while self.shared.admission.open_count() > 0 {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
    }

    /// Applies items (documents, zones, routes) that are newer than the gate's own.
    pub fn apply(&self, items: &[Item]) {
        self.shared.apply(items);
    }

    /// Returns whether the gate accepts requests and is not stopping.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Returns the highest number of bytes of requests and responses that were buffered at once.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.shared.resources.buffer_gauge.peak_bytes()
    }

    /// Returns the number of open connections to a target.
    pub fn connection_count(&self, target: SocketAddr) -> usize {
        self.shared.pool.open_count(target)
    }
}

async fn accept_connections(
    shared: Arc<ShellState>,
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        serve_connection(&shared, stream, peer, &executor);
    }
}

fn serve_connection(
    shared: &Arc<ShellState>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    executor: &Executor<'static>,
) {
    let task_shared = Arc::clone(shared);
    match shared.admission.admit(peer.ip()) {
        Ok(permit) => executor.spawn(serve_caller(task_shared, stream, permit)).detach(),
        Err(kind) => executor.spawn(reject_connection(task_shared, stream, kind)).detach(),
    }
}

async fn receive_peers(shared: Arc<ShellState>, mut peers: PeerReceiver) {
    loop {
        match peers.receive().await {
            ReceivedDatagram::Message { from, message } => {
                shared.counters.add("peer.received", 1);
                shared.handle_peer_message(from, *message);
            }
            ReceivedDatagram::Rejected => shared.counters.add("peer.rejected", 1),
        }
    }
}

async fn run_cleanup(shared: Arc<ShellState>) {
    loop {
        Timer::after(CLEANUP_INTERVAL).await;
        shared.pool.close_expired();
        shared.publish_counts();
    }
}
