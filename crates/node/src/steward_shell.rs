use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bay_conf::Settings;
use bay_obs::Counters;
use bay_steward::{Input, LinkId, OrderId, Output, Steward, StewardConfig};
use bay_store::HttpStore;
use bay_time::{BootClock, Clock};
use bay_types::{Incarnation, NodeId};
use bay_wire::{ClusterKey, LinkMessage, Order, OrderReply, Role};
use futures_lite::{StreamExt, future};

use crate::ShellError;
use crate::backend::post_order;
use crate::framed::{LinkReceiver, LinkSender, split};

/// Longest wait for the store beyond that of a watch.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a server's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// Messages that wait for a slow peer before its connection is closed.
const LINK_QUEUE: usize = 1_024;

/// A running steward.
#[derive(Clone)]
pub struct StewardShell {
    shared: Arc<Shared>,
}

struct Shared {
    steward: Mutex<Steward>,
    executor: Arc<Executor<'static>>,
    counters: Counters,
    store: HttpStore,
    listener: TcpListener,
    links: Mutex<HashMap<LinkId, Sender<LinkMessage>>>,
    next_link: Mutex<u64>,
    wake: (Sender<()>, Receiver<()>),
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
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
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|error| ShellError::Listen(address, error))?;
        let now = BootClock.now();
        let node = NodeId::of(settings.host);
        let config = StewardConfig { node, zone: settings.zone, seed: now.as_nanos() };
        let shared = Shared {
            steward: Mutex::new(Steward::new(config, now)),
            executor,
            counters,
            store: HttpStore::new(settings.store, STORE_TIMEOUT),
            listener,
            links: Mutex::default(),
            next_link: Mutex::default(),
            wake: async_channel::bounded(1),
            key,
            node,
            incarnation: Incarnation(now.as_nanos()),
        };
        Ok(StewardShell { shared: Arc::new(shared) })
    }

    /// Starts the steward's tasks.
    pub fn start(&self) {
        let shared = &self.shared;
        shared.executor.spawn(drive(Arc::clone(shared))).detach();
        shared.executor.spawn(accept(Arc::clone(shared))).detach();
    }

    /// Hands over and ends.
    pub async fn stop(&self) {
        self.shared.handle(Input::Stop);
    }
}

impl Shared {
    /// Gives the steward an input and does what it asks for.
    fn handle(self: &Arc<Shared>, input: Input) {
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
            Output::Datagram { .. } => {}
        }
    }

    fn send_link(&self, link: LinkId, message: LinkMessage) {
        let mut links = lock(&self.links);
        let full = links.get(&link).is_some_and(|tx| tx.try_send(message).is_err());
        if full {
            self.counters.add("link.dropped", 1);
            links.remove(&link);
        }
    }
}

async fn send_order(shared: Arc<Shared>, id: OrderId, to: SocketAddr, order: Order) {
    let late = async {
        Timer::after(ORDER_TIMEOUT).await;
        None::<OrderReply>
    };
    let reply = future::or(post_order(to, &order), late).await;
    if reply.is_none() {
        shared.counters.add("order.unanswered", 1);
    }
    shared.handle(Input::Order { id, reply });
}

/// Gives the steward its ticks.
async fn drive(shared: Arc<Shared>) {
    loop {
        let now = BootClock.now();
        let deadline = lock(&shared.steward).next_deadline();
        if deadline <= now {
            shared.handle(Input::Tick);
        }
        let wait = deadline.since(now);
        let sleep = async {
            Timer::after(wait).await;
        };
        let woken = async {
            // The channel lives as long as the steward.
            let _ = shared.wake.1.recv().await;
        };
        future::or(sleep, woken).await;
    }
}

async fn accept(shared: Arc<Shared>) {
    let mut incoming = shared.listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        shared.executor.spawn(serve_link(Arc::clone(&shared), stream)).detach();
    }
}

async fn serve_link(shared: Arc<Shared>, stream: TcpStream) {
    let (tx, rx) = async_channel::bounded(LINK_QUEUE);
    let link = {
        let mut next = lock(&shared.next_link);
        *next += 1;
        LinkId(*next)
    };
    lock(&shared.links).insert(link, tx);
    let (sender, receiver) =
        split(stream, &shared.key, shared.node, Role::Steward, shared.incarnation);
    let reading = read_link(Arc::clone(&shared), link, receiver);
    future::or(reading, write_link(sender, rx)).await;
    lock(&shared.links).remove(&link);
    shared.handle(Input::LinkClosed { link });
}

async fn read_link(shared: Arc<Shared>, link: LinkId, mut receiver: LinkReceiver) {
    while let Some(message) = receiver.receive().await {
        shared.handle(Input::Link { link, message });
    }
}

async fn write_link(mut sender: LinkSender, rx: Receiver<LinkMessage>) {
    while let Ok(message) = rx.recv().await {
        if sender.send(&message).await.is_none() {
            return;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
