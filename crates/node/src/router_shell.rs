use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bay_obs::Counters;
use bay_router::{Router, RouterSettings, RouterWire, StopSchedule, StopStep};
use bay_stream::{ByteBudget, DeliveryPolicy};
use bay_time::{BootClock, Clock};
use futures_lite::future;

use crate::ShellError;
use crate::gate_shell::{ConnectionPool, HttpLimits};
use crate::http1::connection::ConnectionResources;
use crate::wall_clock::wall_nanos;

mod account_headers;
mod answer_body;
mod attempt;
mod caller;
mod config_updates;
mod download_answer;
mod feeds;
mod freshness;
mod granter;
mod held_body;
mod hosts;
mod http_client;
mod orders;
mod overload;
mod peers;
mod permits;
mod probes;
mod quotas;
mod reply;
mod reply_body;
mod request;
mod request_head;
mod server_connection;
mod server_notices;
mod server_updates;
mod shell_state;
mod signal;
mod store_client;
mod store_era;
mod stream_record;
mod stream_source;
mod transfer;
mod tunnel;

use caller::serve_caller;
use shell_state::{Phase, ShellState};
use signal::Signal;

/// Pause after a failure to accept a connection, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Interval between the steps of a planned stop.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Interval between cleanups of old connections and missing servers.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Running router: a process that serves callers' requests and takes part in granting key ranges.
#[derive(Clone)]
pub struct RouterShell {
    shell: Rc<ShellState>,
    /// Closed when callers' connections are no longer accepted.
    accepting: Sender<Infallible>,
    /// Closed once the last connection was accepted.
    accepted: Receiver<Infallible>,
}

impl RouterShell {
    /// Opens the router's sockets and starts its tasks on `executor`.
    ///
    /// # Errors
    /// Returns an error if a socket cannot be bound.
    pub fn start(
        mut settings: RouterSettings,
        wire: Rc<dyn RouterWire>,
        counters: Counters,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<RouterShell, ShellError> {
        let listen_error = |address| move |error| ShellError::Listen(address, error);
        let front =
            Async::<TcpListener>::bind(settings.listen).map_err(listen_error(settings.listen))?;
        let ready =
            Async::<TcpListener>::bind(settings.ready).map_err(listen_error(settings.ready))?;
        let metrics =
            Async::<TcpListener>::bind(settings.metrics).map_err(listen_error(settings.metrics))?;
        let (peer_socket, tunnels) =
            peers::bind_sockets(settings.peer).map_err(listen_error(settings.peer))?;
        let peer_address = peer_socket.address().map_err(listen_error(settings.peer))?;
        settings.listen = front.get_ref().local_addr().map_err(listen_error(settings.listen))?;
        settings.ready = ready.get_ref().local_addr().map_err(listen_error(settings.ready))?;
        settings.metrics =
            metrics.get_ref().local_addr().map_err(listen_error(settings.metrics))?;
        settings.peer = peer_address;
        let resources = Arc::new(ConnectionResources::with_memory(
            settings.memory_bytes / caller::BODY_MEMORY_SHARE,
        ));
        // In a large fleet a router may open one connection per server. It is kept idle although
        // the limit is reached; otherwise each request would need a new one.
        let limits = HttpLimits { extra_idle_connections: 1, ..HttpLimits::default() };
        let seed = BootClock.now().as_nanos() ^ wall_nanos();
        let download_budget = Rc::new(ByteBudget::of_machine(settings.memory_bytes));
        let shell = Rc::new(ShellState {
            router: RefCell::new(Router::new(settings.clone(), seed)),
            pool: Arc::new(ConnectionPool::new(limits.clone(), Arc::clone(&resources))),
            store: store_client::StoreClient::new(&settings, Rc::clone(&wire), &resources),
            granter_role: RefCell::new(granter::GranterRole::new(&settings)),
            granter_feed: RefCell::default(),
            feed_publisher: RefCell::default(),
            identified_servers: RefCell::default(),
            router_hosts: RefCell::default(),
            config_text: RefCell::default(),
            config_parts: RefCell::default(),
            started_at: BootClock.now(),
            phase: Cell::new(Phase::Serving),
            stop_schedule: Cell::default(),
            stopping: Signal::new(),
            closing: Signal::new(),
            cutoff: Signal::new(),
            overload: RefCell::default(),
            permits: permits::Permits::default(),
            vouch_requests: freshness::VouchRequests::default(),
            quotas: RefCell::default(),
            latencies: RefCell::default(),
            tunnel_counts: tunnel::TunnelCounts::default(),
            active_connections: Cell::new(0),
            incarnation: wall_nanos(),
            download_policy: DeliveryPolicy::new(&download_budget),
            download_budget,
            executor,
            counters,
            limits,
            resources,
            peer_socket,
            settings,
            wire,
        });
        let (accepting, stop_accepting) = async_channel::bounded(1);
        let (accepted_tx, accepted) = async_channel::bounded(1);
        let router = RouterShell { shell: Rc::clone(&shell), accepting, accepted };
        let accept = accept_connections(Rc::clone(&shell), front, stop_accepting, accepted_tx);
        shell.spawn(accept);
        shell.spawn(probes::serve_readiness(Rc::clone(&shell), ready));
        shell.spawn(probes::serve_metrics(Rc::clone(&shell), metrics));
        shell.spawn(peers::receive_datagrams(Rc::clone(&shell)));
        shell.spawn(tunnel::serve_tunnels(Rc::clone(&shell), tunnels));
        shell.spawn(server_connection::run_probes(Rc::clone(&shell)));
        shell.spawn(granter::run(Rc::clone(&shell)));
        shell.spawn(run_cleanup(Rc::clone(&shell)));
        feeds::start_feeds(&shell);
        freshness::start(&shell);
        let resources = Arc::clone(&shell.resources);
        shell.spawn(async move { resources.watchdog.run().await });
        Ok(router)
    }

    /// Returns the settings, with the ports that the system has chosen filled in.
    pub fn settings(&self) -> &RouterSettings {
        &self.shell.settings
    }

    /// Applies settings that were read again. Only the bounds of the retry budget take effect at
    /// once; everything else needs a restart.
    pub fn reload(&self, settings: &RouterSettings) {
        let bounds = settings.bounds;
        let changed = self.shell.router.borrow_mut().set_bounds(bounds);
        freshness::start(&self.shell);
        // Listen addresses are not compared: ports chosen by the system differ from the settings.
        let restart = settings.store != self.shell.settings.store
            || settings.host != self.shell.settings.host
            || settings.zone != self.shell.settings.zone;
        log::info!(bounds_changed = changed, restart_needed = restart; "settings reloaded");
    }

    /// Stops the router as planned.
    ///
    /// It reports that it is not ready and resigns as the granter, still accepts connections for a
    /// while, then finishes its requests. Those still in flight at the end get an answer of the
    /// router's own. Returns when all are finished or the grace period ends.
    pub async fn stop(&self) {
        let shell = &self.shell;
        let grace = shell.settings.bounds.stop_grace;
        let mut schedule = StopSchedule::new(BootClock.now(), grace);
        shell.phase.set(Phase::Draining);
        shell.stop_schedule.set(Some(schedule));
        shell.stopping.raise();
        // A slow store must not prolong the time of accepting.
        let resigning = Rc::clone(shell);
        let resignation = shell.executor.spawn(async move { granter::resign(&resigning).await });
        while schedule.step(BootClock.now(), true) == StopStep::Accept {
            Timer::after(STOP_POLL).await;
        }
        self.accepting.close();
        // Nothing is ever sent, so receiving ends only when the channel is closed.
        let Err(_closed) = self.accepted.recv().await;
        schedule.record_closed(BootClock.now());
        shell.phase.set(Phase::Closing);
        shell.closing.raise();
        loop {
            shell.resources.watchdog.expire_idle();
            let is_busy = shell.active_connections.get() > 0
                || shell.tunnel_counts.open() > 0
                || !resignation.is_finished();
            match schedule.step(BootClock.now(), is_busy) {
                StopStep::Accept | StopStep::Finish => {}
                StopStep::CutOff => shell.cutoff.raise(),
                StopStep::End => return,
            }
            Timer::after(STOP_POLL).await;
        }
    }
}

/// Accepts callers' connections until `stop` is closed, then those that have already been established.
///
/// `_accepted` is closed when this returns.
async fn accept_connections(
    shell: Rc<ShellState>,
    listener: Async<TcpListener>,
    stop: Receiver<Infallible>,
    _accepted: Sender<Infallible>,
) {
    loop {
        let stopped = async {
            let Err(_closed) = stop.recv().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, stopped).await {
            Some(Ok((stream, _))) => shell.spawn_isolated(serve_caller(Rc::clone(&shell), stream)),
            Some(Err(error)) => {
                log::warn!(error:% = error; "connection not accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
            None => break,
        }
    }
    // Closing the listener resets the connections that are still waiting there.
    while let Ok((stream, _)) = listener.get_ref().accept() {
        match Async::new(stream) {
            Ok(stream) => shell.spawn_isolated(serve_caller(Rc::clone(&shell), stream)),
            Err(error) => log::warn!(error:% = error; "connection not accepted"),
        }
    }
}

/// Closes old pooled connections and removes servers without an entry, at regular intervals.
async fn run_cleanup(shell: Rc<ShellState>) {
    loop {
        Timer::after(CLEANUP_INTERVAL).await;
        shell.pool.close_expired();
        server_updates::expire_servers(&shell, BootClock.now());
    }
}
