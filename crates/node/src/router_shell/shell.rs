use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use async_executor::LocalExecutor;
use bay_obs::{Counters, Latencies};
use bay_router::{GranterFeed, Router, RouterSettings, RouterWire};
use bay_types::HostName;

use super::granting::Granting;
use super::news::Told;
use super::peers::PeerSocket;
use super::store_client::StoreClient;
use crate::gate_shell::{ConnectionPool, HttpLimits};
use crate::http1::connection::ConnectionResources;

/// What all tasks of a router have in common.
pub(crate) struct Shell {
    pub(crate) router: RefCell<Router>,
    pub(crate) granting: RefCell<Granting>,
    /// What the granter tells of the store.
    pub(crate) fed: RefCell<GranterFeed>,
    /// What this router tells as the granter.
    pub(crate) told: RefCell<Told>,
    /// Where the other routers take datagrams.
    pub(crate) hosts: RefCell<BTreeMap<HostName, SocketAddr>>,
    pub(crate) settings: RouterSettings,
    pub(crate) wire: Rc<dyn RouterWire>,
    pub(crate) store: StoreClient,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) peers: PeerSocket,
    pub(crate) limits: HttpLimits,
    pub(crate) meters: Arc<ConnectionResources>,
    pub(crate) counters: Counters,
    pub(crate) latencies: RefCell<Latencies>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) phase: Cell<Phase>,
    /// Callers' connections with a request.
    pub(crate) open: Cell<usize>,
    /// Numbers this start of the process.
    pub(crate) incarnation: u64,
}

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// The router serves.
    Serving,
    /// It says that it is not ready, and serves.
    Draining,
    /// It finishes what it has.
    Closing,
}

impl Shell {
    /// Starts a task that lives as long as the process.
    pub(crate) fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.executor.spawn(work).detach();
    }

    /// Whether the balancer may send connections.
    pub(crate) fn ready(&self) -> bool {
        self.phase.get() == Phase::Serving && self.router.borrow().is_ready()
    }
}
