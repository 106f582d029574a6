//! A randomised fault soak: runs router processes on this machine, injects faults from outside and
//! checks invariants by what clients and servers observe.
//!
//! `cargo run --release --example soak -- --seed N --seconds S --routers R --servers K --clients C`
//! needs the router binary beside it (`cargo build --release --bin dragonflybay`). The seed
//! determines the faults and their times, but not the state of the processes at those times. If an
//! invariant is violated, the exit status is 1 and the logs of the routers are kept.
//!
//! With `--previous PATH` all routers start with the router binary at this path, which may be of an
//! earlier build, and are replaced one after the other, some of them back again.

mod checker;
mod client;
mod faults;
mod http;
mod proxy;
mod router;
mod server;
mod store;
mod upgrade;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use bay_time::{BootClock, Clock, Time};
use getopts::Options;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use checker::InvariantChecker;
use faults::{Cluster, as_seconds};
use router::Router;
use server::{Server, Servers};
use store::Store;
use upgrade::Upgrade;

/// Time between two heartbeats of a server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of missed heartbeats after which the entry of a server is removed from the store.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// Time before the first fault, for routers to start and to grant the keys.
const STARTUP_TIME: Duration = Duration::from_secs(8);

/// Time without faults at the end. It covers the longest lease (`hold-max`, 10 s) and a takeover.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Last part of [`RECOVERY_TIME`], in which [`MIN_ANSWERED_FRACTION`] is checked.
const MEASURED_TIME: Duration = Duration::from_secs(3);

/// Minimum fraction of requests that are answered during [`MEASURED_TIME`].
const MIN_ANSWERED_FRACTION: f64 = 0.9;

/// Maximum time after the store acknowledged a drain in which the server may receive requests. It
/// is checked only when no fault has been active for [`STABLE_AFTER`], since a router that cannot
/// reach the store does not learn of the drain.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Requests that a router may send to a server that leaves or wants none: the one whose answer says so, two
/// more, and as many again after a restart of the router. Requests of the clients may be on their way.
const MAX_LATE_REQUESTS_PER_ROUTER: usize = 6;

/// Interval between checks for faults that are due and for routers that have exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time without any fault after which every router is expected to reach the store.
const STABLE_AFTER: Duration = Duration::from_secs(4);

/// Version of the configuration at the start.
const FIRST_VERSION: u64 = 1;

struct Arguments {
    seed: u64,
    duration: Duration,
    routers: usize,
    servers: usize,
    clients: u64,
    /// Binary with which the routers start; `None` for the one beside this program.
    previous: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = match parse_arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let folder = std::env::temp_dir().join(format!("bay-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the log folder is writable");
    let violations = run_soak(&arguments, &folder);
    for violation in &violations {
        println!("BROKEN {violation}");
    }
    if violations.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
        return ExitCode::SUCCESS;
    }
    println!("seed {}; logs in {}", arguments.seed, folder.display());
    ExitCode::FAILURE
}

fn parse_arguments() -> Result<Arguments, String> {
    let mut options = Options::new();
    for name in ["seed", "seconds", "routers", "servers", "clients"] {
        options.optopt("", name, "a whole number", "N");
    }
    options.optopt("", "previous", "a router binary of an earlier build", "PATH");
    let matches = options.parse(std::env::args().skip(1)).map_err(|error| error.to_string())?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("--{name} expects a whole number")),
    };
    Ok(Arguments {
        seed: number("seed", 1)?,
        duration: Duration::from_secs(number("seconds", 20)?),
        routers: number("routers", 4)?.max(1) as usize,
        servers: number("servers", 6)?.max(2) as usize,
        clients: number("clients", 16)?,
        previous: matches.opt_str("previous").map(PathBuf::from),
    })
}

/// Returns the path of the router binary, one folder above this example.
fn router_binary() -> PathBuf {
    let this_program = std::env::current_exe().expect("the path of this program is known");
    let folder = this_program
        .parent()
        .and_then(|examples| examples.parent())
        .expect("examples are built into a target folder");
    folder.join("dragonflybay")
}

fn run_soak(arguments: &Arguments, folder: &std::path::Path) -> Vec<String> {
    let (store, store_address) = Store::start();
    store.write("config/main", Some(config(FIRST_VERSION)));
    let checker = Arc::new(InvariantChecker::default());
    let server_list = Arc::new(Mutex::new(None));
    let start_server = |index: usize| {
        let service = if index.is_multiple_of(2) { "keyed" } else { "pool" };
        let zone = if index / 2 % 3 == 1 { "b" } else { "a" };
        Server::start(format!("s{index}"), service, zone, &server_list)
    };
    let servers = Arc::new(Servers {
        all: (0..arguments.servers).map(start_server).collect(),
        checker: Arc::clone(&checker),
        drain_timeout: DRAIN_TIMEOUT,
        max_late_requests: MAX_LATE_REQUESTS_PER_ROUTER * arguments.routers
            + arguments.clients as usize,
        is_stable: AtomicBool::new(false),
    });
    *server_list.lock().expect("no thread has panicked") = Some(Arc::clone(&servers));
    let stop = Arc::new(AtomicBool::new(false));
    let heartbeat_thread = start_heartbeats(&store, &servers, &stop);
    let first_binary = arguments.previous.clone().unwrap_or_else(router_binary);
    let mut routers: Vec<Router> = (0..arguments.routers)
        .map(|index| Router::new(index, first_binary.clone(), folder.to_owned(), store_address))
        .collect();
    let first_copy = store.copy();
    routers.iter_mut().for_each(Router::start);
    thread::park_timeout(STARTUP_TIME);
    let clients: Vec<_> = (0..arguments.clients)
        .map(|index| {
            let (checker, stop) = (Arc::clone(&checker), Arc::clone(&stop));
            let (seed, routers) = (arguments.seed, arguments.routers);
            thread::spawn(move || client::run(index, seed, routers, &checker, &stop))
        })
        .collect();
    let mut cluster =
        Cluster { routers: &mut routers, servers: &servers, store: &store, first_copy };
    let last_version = inject_faults(arguments, &mut cluster);
    let measured_from = BootClock.now() + RECOVERY_TIME.saturating_sub(MEASURED_TIME);
    while BootClock.now() < measured_from {
        // A router that was replaced last may still be stopping.
        cluster.restart_exited_routers();
        thread::park_timeout(POLL_INTERVAL);
    }
    for index in 0..arguments.routers {
        if !client::has_route(index, &config_path(last_version)) {
            checker.record_violation(format!("router {index} has no version {last_version}"));
        }
    }
    checker.reset_recent();
    thread::park_timeout(MEASURED_TIME);
    let fraction = checker.recent_answered_fraction();
    stop.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain([heartbeat_thread]) {
        thread.join().expect("no thread panics");
    }
    let (answered, refused, failed) = checker.counts();
    println!(
        "answered {answered}, refused {refused}, failed {failed}, served at the end {fraction:.3}"
    );
    if fraction < MIN_ANSWERED_FRACTION {
        checker.record_violation(format!(
            "only {fraction:.3} of the requests were answered at the end"
        ));
    }
    checker.violations()
}

/// Starts random faults, which may overlap, until the configured time is over. Then ends them all.
/// Replaces the routers' build meanwhile if an earlier one was given, and changes the configuration at
/// each step. Returns the version of the last configuration.
fn inject_faults(arguments: &Arguments, cluster: &mut Cluster<'_>) -> u64 {
    let mut random = SmallRng::seed_from_u64(arguments.seed);
    let end = BootClock.now() + arguments.duration;
    let mut version = FIRST_VERSION;
    let mut upgrade = arguments.previous.as_ref().map(|previous| {
        let mut random = SmallRng::seed_from_u64(arguments.seed);
        let builds = (previous.as_path(), &*router_binary());
        let routers = arguments.routers;
        Upgrade::plan(&mut random, builds, routers, BootClock.now(), arguments.duration)
    });
    // A generator of their own keeps the other faults of a seed as they are.
    let mut told_random = SmallRng::seed_from_u64(!arguments.seed);
    let mut next_fault_at = BootClock.now();
    let mut next_told_fault_at = next_fault_at;
    let mut active_faults: Vec<faults::ActiveFault> = Vec::new();
    let mut last_disturbance = Time::ZERO;
    loop {
        let now = BootClock.now();
        let finished = active_faults.extract_if(.., |fault| now >= fault.ends_at || now >= end);
        for fault in finished.collect::<Vec<_>>() {
            cluster.end_fault(now, fault);
            last_disturbance = now;
        }
        if now >= end {
            cluster.servers.is_stable.store(false, Ordering::SeqCst);
            return version;
        }
        if let Some(upgrade) = &mut upgrade
            && upgrade.advance(now, cluster.routers)
        {
            version += 1;
            cluster.store.write("config/main", Some(config(version)));
            last_disturbance = now;
        }
        if now >= next_fault_at {
            active_faults.push(cluster.start_random_fault(now, &mut random));
            next_fault_at = now + Duration::from_millis(random.random_range(200..2_000));
            last_disturbance = now;
        }
        // Builds up to 0d4f469 don't read what servers and the store tell.
        if now >= next_told_fault_at && upgrade.is_none() {
            active_faults.push(cluster.start_told_fault(now, &mut told_random));
            next_told_fault_at =
                now + Duration::from_millis(told_random.random_range(1_000..4_000));
            last_disturbance = now;
        }
        let is_stable = active_faults.is_empty() && now.since(last_disturbance) >= STABLE_AFTER;
        cluster.servers.is_stable.store(is_stable, Ordering::SeqCst);
        let exited = cluster.restart_exited_routers();
        if exited > 0 {
            println!("{:8.3} {exited} routers exited and were restarted", as_seconds(now));
        }
        thread::park_timeout(POLL_INTERVAL);
    }
}

/// Starts a thread that writes the entries of the servers every [`HEARTBEAT_INTERVAL`]. It removes
/// the entry of a server after [`MAX_MISSED_HEARTBEATS`].
fn start_heartbeats(
    store: &Store,
    servers: &Arc<Servers>,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let (store, servers, stop) = (store.clone(), Arc::clone(servers), Arc::clone(stop));
    thread::spawn(move || {
        let mut missed = vec![0; servers.all.len()];
        while !stop.load(Ordering::SeqCst) {
            for (server, missed) in servers.all.iter().zip(&mut missed) {
                let key = format!("servers/{}", server.name);
                if server.is_up.load(Ordering::SeqCst)
                    && server.sends_heartbeats.load(Ordering::SeqCst)
                {
                    *missed = 0;
                    let is_draining = server.is_draining.load(Ordering::SeqCst);
                    store.write(&key, Some(server.next_entry()));
                    server.record_acknowledgement(is_draining);
                } else {
                    *missed += 1;
                    // A restored store may have the entry again.
                    if *missed >= MAX_MISSED_HEARTBEATS {
                        store.write(&key, None);
                        server.record_acknowledgement(true);
                    }
                }
            }
            thread::park_timeout(HEARTBEAT_INTERVAL);
        }
    })
}

/// Returns the path prefix of the route that only this version of the configuration has.
fn config_path(version: u64) -> String {
    format!("/version-{version}/")
}

fn config(version: u64) -> serde_json::Value {
    json!({
        "version": format!("r{version}"),
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [["r1", "shop", "/read/", "safe", "2s", "500ms", 1, 2, "pool"],
                     ["r2", "shop", "/book/", "unsafe", "2s", "500ms", 1, 2, "pool"],
                     ["r3", "shop", "/key/", "safe", "2s", "500ms", 1, 2, "keyed"],
                     ["r4", "shop", config_path(version), "safe", "2s", "500ms", 1, 2, "pool"]],
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "warmup", "warmup-per-s", "sharded"],
            "rows": [["pool", "/health", 100, "1s", 20.0, null],
                     ["keyed", "/health", 100, "1s", 20.0, true]],
        },
        "limits": {"max-header-bytes": 8192, "max-body-bytes": 1_000_000,
                   "header-timeout": "3s", "idle-timeout": "15s"},
    })
}
