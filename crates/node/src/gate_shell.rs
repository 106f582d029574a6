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
mod answer;
mod attempt;
mod call_run;
mod caller;
mod caller_side;
mod following;
mod head_bytes;
mod headers;
mod http_limits;
mod mailbox;
mod messages;
mod peers;
mod pool;
mod shared;
mod upload;

pub use http_limits::HttpLimits;
pub(crate) use pool::{ConnectError, ConnectionPool, PooledConnection};

use admin::serve_admin;
use admission::Admission;
use caller::{serve_caller, turn_away};
use peers::{PeerReceiver, Received, bind_peers};
use shared::{Phase, Shared};

/// Time between two looks at whether the last requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time between two clean-ups of old idle connections, when counts are passed on too.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a connection could not be accepted, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A running gate.
#[derive(Clone)]
pub struct GateShell {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    listening: Arc<Mutex<Listening>>,
    stewards: Vec<SocketAddr>,
    drain: Duration,
    key: ClusterKey,
    addresses: GateAddresses,
}

/// Where a gate listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateAddresses {
    /// For callers.
    pub listen: SocketAddr,
    /// For the platform's balancer and operators.
    pub admin: SocketAddr,
    /// For the datagrams of other gates.
    pub peer: SocketAddr,
}

/// The sockets of a gate before and after its start.
enum Listening {
    /// The gate has not started.
    Bound(Box<Sockets>),
    /// Connections are accepted until the task is dropped.
    Accepting { _task: Task<()> },
    /// No connection is accepted.
    Closed,
}

struct Sockets {
    listener: Async<TcpListener>,
    admin: async_net::TcpListener,
    peers: PeerReceiver,
}

impl GateShell {
    /// Listens at the settings' addresses.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on.
    pub async fn bind(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
    ) -> Result<GateShell, ShellError> {
        let limits = HttpLimits::default();
        GateShell::bind_with_limits(settings, key, counters, executor, limits).await
    }

    /// Listens at the settings' addresses, with bounds other than the usual ones.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on.
    pub async fn bind_with_limits(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
        limits: HttpLimits,
    ) -> Result<GateShell, ShellError> {
        let at = |address| move |error| ShellError::Listen(address, error);
        let gate_settings = &settings.gate;
        let listener = Async::<TcpListener>::bind(gate_settings.listen);
        let listener = listener.map_err(at(gate_settings.listen))?;
        let admin = async_net::TcpListener::bind(gate_settings.admin).await;
        let admin = admin.map_err(at(gate_settings.admin))?;
        let now = BootClock.now();
        let node = NodeId::of(settings.host);
        let incarnation = Incarnation(wall_nanos());
        let peers = bind_peers(gate_settings.peer, &key, node, incarnation);
        let (sender, receiver) = peers.map_err(at(gate_settings.peer))?;
        let addresses = GateAddresses {
            listen: listener.get_ref().local_addr().map_err(at(gate_settings.listen))?,
            admin: admin.local_addr().map_err(at(gate_settings.admin))?,
            peer: sender.address().map_err(at(gate_settings.peer))?,
        };
        let gate = Gate::new(GateConfig { node, zone: settings.zone, seed: now.as_nanos() });
        let admission = Admission::new(gate_settings);
        let shared = Shared::new(gate, counters, limits, admission, sender, incarnation);
        let sockets = Sockets { listener, admin, peers: receiver };
        Ok(GateShell {
            shared: Arc::new(shared),
            executor,
            listening: Arc::new(Mutex::new(Listening::Bound(Box::new(sockets)))),
            stewards: gate_settings.stewards.clone(),
            drain: gate_settings.drain,
            key,
            addresses,
        })
    }

    /// Where it listens.
    pub fn addresses(&self) -> GateAddresses {
        self.addresses
    }

    /// Starts the gate's tasks; a second start does nothing.
    pub fn start(&self) {
        let mut listening = lock(&self.listening);
        let sockets = match std::mem::replace(&mut *listening, Listening::Closed) {
            Listening::Bound(sockets) => sockets,
            other => {
                *listening = other;
                return;
            }
        };
        let Sockets { listener, admin, peers } = *sockets;
        let accepting = accept(Arc::clone(&self.shared), listener, Arc::clone(&self.executor));
        *listening = Listening::Accepting { _task: self.executor.spawn(accepting) };
        drop(listening);
        self.start_links();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(serve_admin(shared, admin, Arc::clone(&self.executor))).detach();
        self.executor.spawn(receive_peers(Arc::clone(&self.shared), peers)).detach();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(async move { shared.drive().await }).detach();
        let shared = Arc::clone(&self.shared);
        self.executor.spawn(async move { shared.resources.watchdog.run().await }).detach();
        self.executor.spawn(clean_up(Arc::clone(&self.shared))).detach();
    }

    fn start_links(&self) {
        if self.stewards.is_empty() {
            // Nobody will name other gates, so there are none.
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

    /// Says that it is not ready, goes on serving for the time named in the settings, then finishes
    /// the requests that it has and ends.
    pub async fn stop(&self) {
        self.shared.set_phase(Phase::Draining);
        Timer::after(self.drain).await;
        *lock(&self.listening) = Listening::Closed;
        self.shared.set_phase(Phase::Closing);
        self.shared.resources.watchdog.expire_idle();
        while self.shared.admission.open() > 0 {
            Timer::after(STOP_POLL).await;
        }
    }

    /// Takes documents, zones and routes that are newer than what the gate has.
    pub fn apply(&self, items: &[Item]) {
        self.shared.apply(items);
    }

    /// Whether the gate takes requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// The most bytes of requests and answers that were held in memory at once.
    pub fn peak_buffered_bytes(&self) -> u64 {
        self.shared.resources.buffer_gauge.peak_bytes()
    }

    /// How many connections to a target are open.
    pub fn connection_count(&self, target: SocketAddr) -> usize {
        self.shared.pool.open_count(target)
    }
}

async fn accept(
    shared: Arc<Shared>,
    listener: Async<TcpListener>,
    executor: Arc<Executor<'static>>,
) {
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        take(&shared, stream, peer, &executor);
    }
}

fn take(
    shared: &Arc<Shared>,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    executor: &Executor<'static>,
) {
    let serving = Arc::clone(shared);
    match shared.admission.admit(peer.ip()) {
        Ok(admitted) => executor.spawn(serve_caller(serving, stream, admitted)).detach(),
        Err(kind) => executor.spawn(turn_away(serving, stream, kind)).detach(),
    }
}

async fn receive_peers(shared: Arc<Shared>, mut peers: PeerReceiver) {
    loop {
        match peers.receive().await {
            Received::Message { from, message } => {
                shared.counters.add("peer.received", 1);
                shared.take_peer(from, *message);
            }
            Received::Rejected => shared.counters.add("peer.rejected", 1),
        }
    }
}

async fn clean_up(shared: Arc<Shared>) {
    loop {
        Timer::after(CLEANUP_INTERVAL).await;
        shared.pool.close_expired();
        shared.take_counts();
    }
}
