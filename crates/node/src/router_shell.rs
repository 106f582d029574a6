use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use bay_obs::Counters;
use bay_router::{Router, RouterSettings, RouterWire};
use bay_time::{BootClock, Clock};

use crate::ShellError;
use crate::gate_shell::{ConnectionPool, HttpLimits};
use crate::http1::connection::ConnectionResources;
use crate::wall_clock::wall_nanos;

mod attempt;
mod caller;
mod feeds;
mod granting;
mod hosts;
mod http_client;
mod news;
mod orders;
mod peers;
mod probes;
mod reply;
mod request_head;
mod serve;
mod shell;
mod store_client;

use caller::serve_caller;
use shell::{Phase, Shell};

/// Pause after a connection could not be accepted, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time between two checks of whether the last requests have ended.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time for which a stopping router still takes connections: the balancer asks once a second and
/// sends none after two misses.
const STOP_ACCEPT: Duration = Duration::from_millis(2_300);

/// Part of the grace that is left for the process to end.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time between two clean-ups.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// A running router: one process that takes callers' requests and takes part in granting keys.
#[derive(Clone)]
pub struct RouterShell {
    shell: Rc<Shell>,
    accepting: Rc<Cell<bool>>,
}

impl RouterShell {
    /// Starts a router.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on.
    pub fn start(
        mut settings: RouterSettings,
        wire: Rc<dyn RouterWire>,
        counters: Counters,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Result<RouterShell, ShellError> {
        let at = |address| move |error| ShellError::Listen(address, error);
        let front = Async::<TcpListener>::bind(settings.listen).map_err(at(settings.listen))?;
        let ready = Async::<TcpListener>::bind(settings.ready).map_err(at(settings.ready))?;
        let metrics = Async::<TcpListener>::bind(settings.metrics).map_err(at(settings.metrics))?;
        let peers = peers::bind(settings.peer).map_err(at(settings.peer))?;
        settings.listen = front.get_ref().local_addr().map_err(at(settings.listen))?;
        settings.ready = ready.get_ref().local_addr().map_err(at(settings.ready))?;
        settings.metrics = metrics.get_ref().local_addr().map_err(at(settings.metrics))?;
        settings.peer = peers.address().map_err(at(settings.peer))?;
        let meters = Arc::new(ConnectionResources::default());
        // The last connection that a router may have to a server is kept, as it is its only one
        // in a large fleet.
        let limits = HttpLimits { extra_idle_connections: 1, ..HttpLimits::default() };
        let seed = BootClock.now().as_nanos() ^ wall_nanos();
        let shell = Rc::new(Shell {
            router: RefCell::new(Router::new(settings.clone(), seed)),
            pool: Arc::new(ConnectionPool::new(limits.clone(), Arc::clone(&meters))),
            store: store_client::StoreClient::new(settings.store, Rc::clone(&wire), &meters),
            granting: RefCell::new(granting::Granting::new(&settings)),
            fed: RefCell::default(),
            told: RefCell::default(),
            hosts: RefCell::default(),
            phase: Cell::new(Phase::Serving),
            latencies: RefCell::default(),
            open: Cell::new(0),
            incarnation: wall_nanos(),
            executor,
            counters,
            limits,
            meters,
            peers,
            settings,
            wire,
        });
        let accepting = Rc::new(Cell::new(true));
        let router = RouterShell { shell: Rc::clone(&shell), accepting };
        shell.spawn(accept(Rc::clone(&shell), front, Rc::clone(&router.accepting)));
        shell.spawn(probes::serve_ready(Rc::clone(&shell), ready));
        shell.spawn(probes::serve_metrics(Rc::clone(&shell), metrics));
        shell.spawn(peers::receive(Rc::clone(&shell)));
        shell.spawn(granting::run(Rc::clone(&shell)));
        shell.spawn(clean_up(Rc::clone(&shell)));
        feeds::start(&shell);
        let meters = Arc::clone(&shell.meters);
        shell.spawn(async move { meters.watchdog.run().await });
        Ok(router)
    }

    /// Its settings, with the addresses that it listens on.
    pub fn settings(&self) -> &RouterSettings {
        &self.shell.settings
    }

    /// Takes settings that were read again: the retry budget's bounds take effect at once,
    /// everything else with the next start.
    pub fn reload(&self, settings: &RouterSettings) {
        let bounds = settings.bounds;
        let changed = self.shell.router.borrow_mut().set_bounds(bounds);
        // Ports that were chosen by the system are known to the running router only.
        let restart = settings.store != self.shell.settings.store
            || settings.host != self.shell.settings.host
            || settings.zone != self.shell.settings.zone;
        log::info!(bounds_changed = changed, restart_needed = restart; "settings read again");
    }

    /// Says that it is not ready, takes the last connections, finishes its requests and ends.
    pub async fn stop(&self) {
        let shell = &self.shell;
        let begun = BootClock.now();
        shell.phase.set(Phase::Draining);
        granting::resign(shell).await;
        let grace = shell.settings.bounds.stop_grace.saturating_sub(STOP_MARGIN);
        Timer::after(STOP_ACCEPT.min(grace / 2)).await;
        self.accepting.set(false);
        shell.phase.set(Phase::Closing);
        shell.meters.watchdog.expire_idle();
        while shell.open.get() > 0 && BootClock.now().since(begun) < grace {
            Timer::after(STOP_POLL).await;
            shell.meters.watchdog.expire_idle();
        }
    }
}

async fn accept(shell: Rc<Shell>, listener: Async<TcpListener>, accepting: Rc<Cell<bool>>) {
    while accepting.get() {
        match listener.accept().await {
            Ok((stream, _)) => shell.spawn(serve_caller(Rc::clone(&shell), stream)),
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn clean_up(shell: Rc<Shell>) {
    loop {
        Timer::after(CLEANUP_INTERVAL).await;
        shell.pool.close_expired();
        for server in shell.router.borrow_mut().expire_servers(BootClock.now()) {
            log::info!(server:% = server; "server removed: its entry did not come back");
        }
    }
}
