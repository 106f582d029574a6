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
use crate::backend::post_order;
use crate::steward_admin::accept_admin;
use crate::steward_connections::{accept_links, connect_steward};
use crate::wall_clock::wall_nanos;

/// Longest wait for the store beyond that of a watch.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a server's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Messages that wait for a slow peer before its connection is closed.
const LINK_QUEUE: usize = 1_024;
/// Longest datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;
/// Longest time that a planned stop waits for the terms to be handed over.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at a stopping steward.
const STOP_PAUSE: Duration = Duration::from_millis(20);

/// A steward that runs for as long as this value, or a clone of it, lives.
#[derive(Clone)]
pub struct StewardShell {
    shared: Arc<Shared>,
    tasks: Arc<Mutex<Vec<Task<()>>>>,
}

/// What the tasks of a steward share.
pub(crate) struct Shared {
    steward: Mutex<Steward>,
    executor: Arc<Executor<'static>>,
    counters: Counters,
    store: HttpStore,
    links: Mutex<Links>,
    status: Mutex<HashMap<StatusId, Sender<ClusterStatus>>>,
    socket: UdpSocket,
    sealer: Mutex<Sealer>,
    wake: (Sender<()>, Receiver<()>),
    ended: AtomicBool,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
    address: SocketAddr,
}

/// The open connections.
#[derive(Default)]
struct Links {
    senders: HashMap<LinkId, Sender<LinkMessage>>,
    to_stewards: HashMap<SocketAddr, LinkId>,
    last: u64,
}

impl StewardShell {
    /// Listens at the settings' addresses.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on.
    pub async fn bind(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
    ) -> Result<StewardShell, ShellError> {
        let address = settings.steward.listen;
        let listener = listen(address).await?;
        let admin = listen(settings.steward.admin).await?;
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
        let shared = Arc::new(Shared {
            steward: Mutex::new(Steward::new(config, now)),
            executor,
            counters,
            store: HttpStore::new(settings.store, STORE_TIMEOUT),
            links: Mutex::default(),
            status: Mutex::default(),
            socket,
            sealer: Mutex::new(Sealer::new(key.clone(), node, Role::Steward, incarnation)),
            wake: async_channel::bounded(1),
            ended: AtomicBool::new(false),
            key,
            node,
            incarnation,
            address,
        });
        let shell = StewardShell { shared, tasks: Arc::default() };
        shell.spawn(accept_links(Arc::clone(&shell.shared), listener));
        shell.spawn(accept_admin(Arc::clone(&shell.shared), admin));
        Ok(shell)
    }

    /// Starts the steward's tasks.
    pub fn start(&self) {
        self.spawn(drive(Arc::clone(&self.shared)));
        self.spawn(receive_datagrams(Arc::clone(&self.shared)));
    }

    /// Hands over what the steward keeps and ends.
    pub async fn stop(&self) {
        self.shared.handle(Input::Stop);
        let give_up = BootClock.now() + STOP_TIMEOUT;
        while !lock(&self.shared.steward).is_stopped() && BootClock.now() < give_up {
            Timer::after(STOP_PAUSE).await;
        }
        self.kill();
    }

    /// Ends at once, as a lost process would.
    pub fn kill(&self) {
        self.shared.ended.store(true, Ordering::Relaxed);
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

impl Shared {
    /// The steward's counters.
    pub(crate) fn counters(&self) -> &Counters {
        &self.counters
    }

    /// The key that all processes share.
    pub(crate) fn key(&self) -> &ClusterKey {
        &self.key
    }

    /// The executor of the steward's tasks.
    pub(crate) fn executor(&self) -> &Executor<'static> {
        &self.executor
    }

    /// Asks every node what it has in force.
    pub(crate) async fn status(self: &Arc<Shared>) -> Option<ClusterStatus> {
        let (tx, rx) = async_channel::bounded(1);
        let id = {
            let mut links = lock(&self.links);
            links.last += 1;
            StatusId(links.last)
        };
        lock(&self.status).insert(id, tx);
        self.handle(Input::StatusRequest(id));
        rx.recv().await.ok()
    }

    /// Who this end of a connection is.
    pub(crate) fn identity(&self) -> LinkIdentity {
        LinkIdentity { node: self.node, role: Role::Steward, incarnation: self.incarnation }
    }

    /// Gives the steward an input and does what it asks for.
    pub(crate) fn handle(self: &Arc<Shared>, input: Input) {
        if self.ended.load(Ordering::Relaxed) {
            return;
        }
        let mut out = Vec::new();
        lock(&self.steward).handle(BootClock.now(), input, &mut out);
        for output in out {
            self.perform(output);
        }
        // A full channel means that a wake-up is already under way.
        let _ = self.wake.0.try_send(());
    }

    fn perform(self: &Arc<Shared>, output: Output) {
        let shared = Arc::clone(self);
        match output {
            Output::Store { id, request } => {
                let work = async move {
                    let result = shared.store.call(request).await;
                    shared.handle(Input::Store { id, result });
                };
                self.executor.spawn(work).detach();
            }
            Output::Order { id, to, order } => {
                self.executor.spawn(send_order(shared, id, to, order)).detach();
            }
            Output::Link { link, message } => self.send_link(link, message),
            Output::Steward { to, message } => self.send_steward(to, message),
            Output::Datagram { to, payload } => {
                let sealed = lock(&self.sealer).seal_to(to, &payload);
                let work = async move {
                    // A datagram may be lost anywhere on its way.
                    let _ = shared.socket.send_to(&sealed, to).await;
                };
                self.executor.spawn(work).detach();
            }
            Output::Status { id, status } => {
                if let Some(tx) = lock(&self.status).remove(&id) {
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

    fn send_link(&self, link: LinkId, message: LinkMessage) {
        let mut links = lock(&self.links);
        let full = links.senders.get(&link).is_some_and(|tx| tx.try_send(message).is_err());
        if full {
            self.counters.add("link.dropped", 1);
            links.senders.remove(&link);
        }
    }

    fn send_steward(self: &Arc<Shared>, to: SocketAddr, message: LinkMessage) {
        let open = lock(&self.links).to_stewards.get(&to).copied();
        let link = open.unwrap_or_else(|| {
            let (link, rx) = self.open_link();
            lock(&self.links).to_stewards.insert(to, link);
            let work = connect_steward(Arc::clone(self), to, link, rx);
            self.executor.spawn(work).detach();
            link
        });
        self.send_link(link, message);
    }

    /// Numbers a connection and makes the queue of its messages.
    pub(crate) fn open_link(&self) -> (LinkId, Receiver<LinkMessage>) {
        let (tx, rx) = async_channel::bounded(LINK_QUEUE);
        let mut links = lock(&self.links);
        links.last += 1;
        let link = LinkId(links.last);
        links.senders.insert(link, tx);
        (link, rx)
    }

    /// Forgets a connection.
    pub(crate) fn close_link(self: &Arc<Shared>, link: LinkId) {
        let mut links = lock(&self.links);
        links.senders.remove(&link);
        links.to_stewards.retain(|_, other| *other != link);
        drop(links);
        self.handle(Input::LinkClosed { link });
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, ShellError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| ShellError::Listen(address, error))
}

async fn send_order(shared: Arc<Shared>, id: OrderId, to: SocketAddr, order: Order) {
    let late = async {
        Timer::after(ORDER_TIMEOUT).await;
        None::<OrderReply>
    };
    let reply = future::or(post_order(to, &order), late).await;
    shared.handle(Input::Order { id, reply });
}

/// Gives the steward its ticks.
async fn drive(shared: Arc<Shared>) {
    loop {
        let now = BootClock.now();
        let deadline = lock(&shared.steward).next_deadline(now);
        if deadline <= now {
            shared.handle(Input::Tick);
            future::yield_now().await;
            continue;
        }
        let sleep = async {
            Timer::after(deadline.since(now)).await;
        };
        let woken = async {
            // The channel lives as long as the steward.
            let _ = shared.wake.1.recv().await;
        };
        future::or(sleep, woken).await;
    }
}

async fn receive_datagrams(shared: Arc<Shared>) {
    let mut opener = Opener::new(shared.key.clone(), shared.address);
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = shared.socket.recv_from(&mut buf).await else {
            continue;
        };
        match opener.open(&buf[..len]) {
            Ok((node, _, payload)) => {
                let payload = payload.to_vec();
                shared.handle(Input::Datagram { node, from, payload });
            }
            Err(_) => shared.counters.add("datagram.rejected", 1),
        }
    }
}

/// Logs what an operator wants to see; what recurs many times a second is left to the counters.
fn log_event(name: &'static str) {
    match name {
        "own.order.unanswered" | "hosts.unanswered" => log::debug!(name; "steward event"),
        _ => log::info!(name; "steward event"),
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
