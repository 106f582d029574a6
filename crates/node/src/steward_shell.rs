use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use async_io::Timer;
use async_net::{TcpListener, UdpSocket};
use bay_conf::Settings;
use bay_obs::Counters;
use bay_steward::{Input, LinkId, OrderId, Output, StatusId, Steward, StewardConfig};
use bay_store::HttpStore;
use bay_time::{BootClock, Clock};
use bay_types::{Incarnation, NodeId};
use bay_wire::{
    ClusterKey, ClusterStatus, LinkIdentity, LinkMessage, Opener, Order, OrderReply, Role, Sealer,
};
use futures_lite::future;

use crate::ShellError;
use crate::order_client::post_order;
use crate::steward_admin::serve_admin;
use crate::steward_connections::{accept_links, connect_steward};
use crate::wall_clock::wall_nanos;

/// Timeout of a store call, in addition to the wait time of a watch.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of an order to a server.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of queued messages at which the link of a slow peer is closed.
const LINK_QUEUE_LEN: usize = 1_024;
/// Maximum length of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Maximum time that a planned stop waits until the terms are handed over.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval at which a planned stop checks whether the steward has stopped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Steward with its sockets and tasks, which run until the last clone is dropped.
#[derive(Clone)]
pub struct StewardShell {
    shared: Arc<ShellState>,
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

/// State that all tasks of a steward share.
pub(crate) struct ShellState {
    steward: Mutex<Steward>,
    executor: Arc<Executor<'static>>,
    counters: Counters,
    store: HttpStore,
    links: Mutex<Links>,
    status_requests: Mutex<HashMap<StatusId, Sender<ClusterStatus>>>,
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    /// Wakes the timer task after each input, which may have moved the next deadline.
    wake_channel: (Sender<()>, Receiver<()>),
    is_stopped: AtomicBool,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
    address: SocketAddr,
}

/// Open links and their message queues.
#[derive(Default)]
struct Links {
    senders: HashMap<LinkId, Sender<LinkMessage>>,
    by_steward: HashMap<SocketAddr, LinkId>,
    last_id: u64,
}

impl StewardShell {
    /// Binds the addresses in the settings and starts to accept connections.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn bind(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
    ) -> Result<StewardShell, ShellError> {
        let address = settings.steward.listen;
        let listener = bind_listener(address).await?;
        let admin = bind_listener(settings.steward.admin).await?;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.map_err(|error| ShellError::Listen(address, error))?;
        let now = BootClock.now();
        let node = NodeId::of(settings.host);
        let incarnation = Incarnation(wall_nanos());
        let config = StewardConfig {
            node,
            incarnation,
            zone: settings.zone,
            address,
            gate: settings.gate.peer,
            seed: incarnation.0,
        };
        let shared = Arc::new(ShellState {
            steward: Mutex::new(Steward::new(config, now)),
            executor,
            counters,
            store: HttpStore::new(settings.store, STORE_TIMEOUT),
            links: Mutex::default(),
            status_requests: Mutex::default(),
            socket,
            sealer: Mutex::new(Sealer::new(key.clone(), node, Role::Steward, incarnation)),
            wake_channel: async_channel::bounded(1),
            is_stopped: AtomicBool::new(false),
            key,
            node,
            incarnation,
            address,
        });
        let shell = StewardShell { shared, tasks: Arc::default() };
        shell.spawn(accept_links(Arc::clone(&shell.shared), listener));
        shell.spawn(serve_admin(Arc::clone(&shell.shared), admin));
        Ok(shell)
    }

    /// Starts the timers and the receipt of datagrams.
    pub fn start(&self) {
        self.spawn(run_timers(Arc::clone(&self.shared)));
        self.spawn(receive_datagrams(Arc::clone(&self.shared)));
    }

    /// Hands over the steward's terms, within a time limit, then ends all tasks.
    pub async fn stop(&self) {
        self.shared.handle_input(Input::Stop);
        let deadline = BootClock.now() + STOP_TIMEOUT;
        while !lock(&self.shared.steward).is_stopped() && BootClock.now() < deadline {
            Timer::after(STOP_POLL_INTERVAL).await;
        }
        self.kill();
    }

    /// Ends all tasks at once without a handover, like a crash.
    pub fn kill(&self) {
        self.shared.is_stopped.store(true, Ordering::Relaxed);
        lock(&self.tasks).clear();
        lock(&self.shared.links).senders.clear();
    }

    fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let task = self.shared.executor.spawn(work);
        lock(&self.tasks).push(task);
    }
}

impl ShellState {
    /// Returns the steward's counters.
    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns the key that all processes of the cluster share.
    pub(crate) fn key(&self) -> &ClusterKey {
        &self.key
    }

    /// Returns the executor of the steward's tasks.
    pub(crate) fn executor(&self) -> &Executor<'static> {
        &self.executor
    }

    /// Collects the status of all nodes; `None` if the request is dropped without a result.
    pub(crate) async fn request_status(self: &Arc<ShellState>) -> Option<ClusterStatus> {
        let (tx, rx) = async_channel::bounded(1);
        let id = {
            let mut links = lock(&self.links);
            links.last_id += 1;
            StatusId(links.last_id)
        };
        lock(&self.status_requests).insert(id, tx);
        self.handle_input(Input::StatusRequest(id));
        rx.recv().await.ok()
    }

    /// Returns the identity that this process presents in handshakes.
    pub(crate) fn identity(&self) -> LinkIdentity {
        LinkIdentity { node: self.node, role: Role::Steward, incarnation: self.incarnation }
    }

    /// Passes an input to the steward and executes its outputs.
    pub(crate) fn handle_input(self: &Arc<ShellState>, input: Input) {
        if self.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let mut out = Vec::new();
        lock(&self.steward).handle(BootClock.now(), input, &mut out);
        for output in out {
            self.execute(output);
        }
        // If the channel is full, a wake-up is already pending.
        let _ = self.wake_channel.0.try_send(());
    }

    fn execute(self: &Arc<ShellState>, output: Output) {
        let shared = Arc::clone(self);
        match output {
            Output::Store { id, request } => {
                let work = async move {
                    let result = shared.store.call(request).await;
                    shared.handle_input(Input::Store { id, result });
                };
                self.executor.spawn(work).detach();
            }
            Output::Order { id, to, order } => {
                self.executor.spawn(send_order(shared, id, to, order)).detach();
            }
            Output::Link { link, message } => self.send_on_link(link, message),
            Output::Steward { to, message } => self.send_to_steward(to, message),
            Output::Datagram { to, payload } => {
                let sealed = lock(&self.sealer).seal_to(to, &payload);
                let work = async move {
                    // Datagrams may be lost; the protocol does not depend on delivery.
                    let _ = shared.socket.send_to(&sealed, to).await;
                };
                self.executor.spawn(work).detach();
            }
            Output::Status { id, status } => {
                if let Some(tx) = lock(&self.status_requests).remove(&id) {
                    // The operator may have closed the connection.
                    let _ = tx.try_send(*status);
                }
            }
            Output::Count(name) => {
                self.counters.add(name, 1);
                log_event(name);
            }
        }
    }

    /// Queues a message on a link. A link whose queue is full or closed is removed.
    fn send_on_link(&self, link: LinkId, message: LinkMessage) {
        let mut links = lock(&self.links);
        let is_full = links.senders.get(&link).is_some_and(|tx| tx.try_send(message).is_err());
        if is_full {
            self.counters.add("link.dropped", 1);
            links.senders.remove(&link);
        }
    }

    /// Queues a message on the link to another steward, and opens the link if there is none.
    fn send_to_steward(self: &Arc<ShellState>, to: SocketAddr, message: LinkMessage) {
        let existing = lock(&self.links).by_steward.get(&to).copied();
        let link = existing.unwrap_or_else(|| {
            let (link, rx) = self.open_link();
            lock(&self.links).by_steward.insert(to, link);
            let work = connect_steward(Arc::clone(self), to, link, rx);
            self.executor.spawn(work).detach();
            link
        });
        self.send_on_link(link, message);
    }

    /// Assigns an id to a new link and creates its message queue.
    pub(crate) fn open_link(&self) -> (LinkId, Receiver<LinkMessage>) {
        let (tx, rx) = async_channel::bounded(LINK_QUEUE_LEN);
        let mut links = lock(&self.links);
        links.last_id += 1;
        let link = LinkId(links.last_id);
        links.senders.insert(link, tx);
        (link, rx)
    }

    /// Removes a link and reports its end to the steward.
    pub(crate) fn close_link(self: &Arc<ShellState>, link: LinkId) {
        let mut links = lock(&self.links);
        links.senders.remove(&link);
        links.by_steward.retain(|_, other| *other != link);
        drop(links);
        self.handle_input(Input::LinkClosed { link });
    }
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, ShellError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| ShellError::Listen(address, error))
}

async fn send_order(shared: Arc<ShellState>, id: OrderId, to: SocketAddr, order: Order) {
    let timeout = async {
        Timer::after(ORDER_TIMEOUT).await;
        None::<OrderReply>
    };
    let reply = future::or(post_order(to, &order), timeout).await;
    shared.handle_input(Input::Order { id, reply });
}

/// Runs the steward's timers until the task is dropped.
async fn run_timers(shared: Arc<ShellState>) {
    loop {
        let now = BootClock.now();
        let deadline = lock(&shared.steward).next_deadline(now);
        if deadline <= now {
            shared.handle_input(Input::Tick);
            future::yield_now().await;
            continue;
        }
        let sleep = async {
            Timer::after(deadline.since(now)).await;
        };
        let woken = async {
            // The channel is open as long as the steward lives.
            let _ = shared.wake_channel.1.recv().await;
        };
        future::or(sleep, woken).await;
    }
}

async fn receive_datagrams(shared: Arc<ShellState>) {
    let mut opener = Opener::new(shared.key.clone(), shared.address);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        match opener.open(&buf[..len]) {
            Ok((node, _, payload)) => {
                let payload = payload.to_vec();
                shared.handle_input(Input::Datagram { node, from, payload });
            }
            Err(_) => shared.counters.add("datagram.rejected", 1),
        }
    }
}

/// Logs an event of the steward; events that can recur many times a second are only logged at debug
/// level.
fn log_event(name: &'static str) {
    match name {
        "own.order.unanswered" | "hosts.unanswered" => log::debug!(name; "steward event"),
        _ => log::info!(name; "steward event"),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
