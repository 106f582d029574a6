use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::Timer;
use bay_obs::{Counters, LatencyHistograms};
use bay_router::{
    FeedPublisher, GranterFeed, HostRecord, IdentifiedServers, ReassemblyBuffer, Router,
    RouterSettings, RouterWire, StopSchedule,
};
use bay_stream::{ByteBudget, DeliveryPolicy};
use bay_time::{BootClock, Clock, Time};
use bay_types::HostName;
use futures_lite::FutureExt;

use super::answer_body::BodyLimit;
use super::freshness::VouchRequests;
use super::granter::GranterRole;
use super::overload::OverloadState;
use super::peers::PeerSocket;
use super::permits::Permits;
use super::quotas::Quotas;
use super::signal::Signal;
use super::store_client::StoreClient;
use super::tunnel::TunnelCounts;
use crate::gate_shell::{ConnectionPool, HttpLimits};
use crate::http1::connection::ConnectionResources;

/// Divisor of the machine's memory that gives the limit of all buffers, from which an answer of a server
/// with a large body is given up.
const ANSWER_MEMORY_SHARE: u64 = 4;

/// State shared by all tasks of a router.
pub(crate) struct ShellState {
    pub(crate) router: RefCell<Router>,
    pub(crate) granter_role: RefCell<GranterRole>,
    /// Documents of the store as received from the granter.
    pub(crate) granter_feed: RefCell<GranterFeed>,
    /// Servers that the granter has named by a digest only.
    pub(crate) identified_servers: RefCell<IdentifiedServers>,
    /// Feed of documents that this router sends as the granter.
    pub(crate) feed_publisher: RefCell<FeedPublisher>,
    /// Records of all registered routers. At a follower they may lack all but the address.
    pub(crate) router_hosts: RefCell<BTreeMap<HostName, HostRecord>>,
    /// Text of the configuration in force, as the store has it.
    pub(crate) config_text: RefCell<Rc<str>>,
    /// Parts of a configuration received from the granter.
    pub(crate) config_parts: RefCell<ReassemblyBuffer<u64, String>>,
    pub(crate) settings: RouterSettings,
    pub(crate) wire: Rc<dyn RouterWire>,
    pub(crate) store: StoreClient,
    pub(crate) pool: Arc<ConnectionPool>,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) limits: HttpLimits,
    pub(crate) resources: Arc<ConnectionResources>,
    /// Bytes held for the readers of downloads.
    pub(crate) download_budget: Rc<ByteBudget>,
    pub(crate) download_policy: DeliveryPolicy,
    pub(crate) counters: Counters,
    pub(crate) permits: Permits,
    pub(crate) vouch_requests: VouchRequests,
    pub(crate) quotas: RefCell<Quotas>,
    pub(crate) overload: RefCell<OverloadState>,
    pub(crate) latencies: RefCell<LatencyHistograms>,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    pub(crate) phase: Cell<Phase>,
    /// Schedule of a planned stop, once it has begun.
    pub(crate) stop_schedule: Cell<Option<StopSchedule>>,
    /// Raised when a planned stop begins.
    pub(crate) stopping: Signal,
    /// Raised when no more connections are accepted.
    pub(crate) closing: Signal,
    /// Ends the requests that are still in flight when the process is about to end.
    pub(crate) cutoff: Signal,
    pub(crate) tunnel_counts: TunnelCounts,
    /// Number of callers' connections with requests in flight.
    pub(crate) active_connections: Cell<usize>,
    pub(crate) started_at: Time,
    /// Identifies this start of the process: the time of the start in nanoseconds.
    pub(crate) incarnation: u64,
}

/// Phase of the router's life up to a planned stop; the order of the variants is the order in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Normal service.
    Serving,
    /// Reports that it is not ready, but still accepts connections.
    Draining,
    /// Accepts no connections and finishes the requests in flight.
    Closing,
}

impl ShellState {
    /// Returns the limit on the bodies of servers' answers, which they share with all other buffers.
    pub(crate) fn answer_limit(&self) -> BodyLimit<'_> {
        BodyLimit {
            gauge: &self.resources.buffer_gauge,
            max_held_bytes: self.settings.memory_bytes / ANSWER_MEMORY_SHARE,
        }
    }

    /// Spawns a detached task.
    pub(crate) fn spawn<F>(&self, work: F)
    where
        F: Future<Output = ()> + 'static,
    {
        self.executor.spawn(work).detach();
    }

    /// Like [`ShellState::spawn`], for work on behalf of one caller or peer: a panic ends only the task.
    pub(crate) fn spawn_isolated<F>(self: &Rc<ShellState>, work: F)
    where
        F: Future<Output = ()> + 'static,
    {
        let shell = Rc::clone(self);
        self.spawn(async move {
            if AssertUnwindSafe(work).catch_unwind().await.is_err() {
                shell.record_panic("connection");
            }
        });
    }

    /// Counts and logs a panic that was caught.
    pub(crate) fn record_panic(&self, place: &str) {
        self.counters.add("panic.caught", 1);
        log::error!(place = place; "internal error; only the work in progress was given up");
    }

    /// Returns the version of the configuration in force, zero without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.router.borrow().config().map_or(0, |config| config.version)
    }

    /// Returns whether a request with this time left, which is expected to take `expected`, may be passed on
    /// to a server. In a planned stop it may not if it could be cut off.
    pub(crate) fn may_send(&self, now: Time, time_left: Duration, expected: Duration) -> bool {
        let schedule = self.stop_schedule.get();
        schedule.is_none_or(|schedule| schedule.may_send(now, time_left, expected))
    }

    /// Waits until a request with this time left may no longer be passed on because of a planned stop.
    pub(crate) async fn wait_until_too_late(&self, time_left: Duration) {
        self.stopping.wait().await;
        if let Some(schedule) = self.stop_schedule.get() {
            let latest = schedule.latest_send(time_left);
            Timer::after(latest.since(BootClock.now())).await;
        }
    }

    /// Returns whether the balancer may send connections. A router that has just started is not ready
    /// while it would refuse all requests with API keys.
    pub(crate) fn is_ready(&self) -> bool {
        let router = self.router.borrow();
        self.phase.get() == Phase::Serving && router.is_ready() && !router.awaits_first_key_proof()
    }
}
