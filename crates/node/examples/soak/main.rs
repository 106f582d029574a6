//! A randomised soak: real router processes on this machine, faults from outside, promises checked
//! from what callers and servers see.
//!
//! `cargo run --release --example soak -- --seed N --seconds S --routers R --servers K --clients C`
//! needs the binary (`cargo build --release --bin dragonflybay`) beside it. The faults and their
//! times follow from the seed; what they meet does not. It exits with 1 if a promise was broken and
//! keeps the routers' logs then.

mod client;
mod faults;
mod http;
mod ledger;
mod proxy;
mod router;
mod server;
mod store;

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

use faults::{World, seconds};
use ledger::Ledger;
use router::Router;
use server::{Server, Servers};
use store::Store;

/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_secs(1);

/// Missed heartbeats after which the store removes a server's entry.
const MISSED: u32 = 3;

/// Time before the first fault, in which routers start and grant the keys.
const START: Duration = Duration::from_secs(8);

/// Time without faults at the end; a takeover and the longest hold fit into it.
const END: Duration = Duration::from_secs(12);

/// The last part of it, in which requests have to be served.
const SERVED: Duration = Duration::from_secs(3);

/// Least share of requests that are answered then.
const LEAST_SERVED: f64 = 0.9;

/// Longest time after the store's acknowledgement in which a leaving server may get requests,
/// while every router has reached the store for [`CALM`].
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time after the last fault of a router or the store from which that holds.
const CALM: Duration = Duration::from_secs(4);

struct Arguments {
    seed: u64,
    span: Duration,
    routers: usize,
    servers: usize,
    clients: u64,
}

fn main() -> ExitCode {
    let arguments = match arguments() {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let folder = std::env::temp_dir().join(format!("bay-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a writable folder for logs");
    let broken = soak(&arguments, &folder);
    for what in &broken {
        println!("BROKEN {what}");
    }
    if broken.is_empty() {
        let _ = std::fs::remove_dir_all(&folder);
        return ExitCode::SUCCESS;
    }
    println!("seed {}; logs in {}", arguments.seed, folder.display());
    ExitCode::FAILURE
}

fn arguments() -> Result<Arguments, String> {
    let mut options = Options::new();
    for name in ["seed", "seconds", "routers", "servers", "clients"] {
        options.optopt("", name, "a whole number", "N");
    }
    let matches = options.parse(std::env::args().skip(1)).map_err(|error| error.to_string())?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("--{name} takes a whole number")),
    };
    Ok(Arguments {
        seed: number("seed", 1)?,
        span: Duration::from_secs(number("seconds", 20)?),
        routers: number("routers", 4)?.max(1) as usize,
        servers: number("servers", 6)?.max(2) as usize,
        clients: number("clients", 16)?,
    })
}

/// The binary beside this example.
fn binary() -> PathBuf {
    let own = std::env::current_exe().expect("the path of this program");
    let folder = own.parent().and_then(|examples| examples.parent()).expect("a target folder");
    folder.join("dragonflybay")
}

fn soak(arguments: &Arguments, folder: &std::path::Path) -> Vec<String> {
    let (store, store_address) = Store::start();
    store.write("config/main", Some(config()));
    let ledger = Arc::new(Ledger::default());
    let slot = Arc::new(Mutex::new(None));
    let server = |index: usize| {
        let service = if index.is_multiple_of(2) { "keyed" } else { "pool" };
        let zone = if index / 2 % 3 == 1 { "b" } else { "a" };
        Server::start(format!("s{index}"), service, zone, &slot)
    };
    let servers = Arc::new(Servers {
        all: (0..arguments.servers).map(server).collect(),
        ledger: Arc::clone(&ledger),
        drain: DRAIN,
        calm: AtomicBool::new(false),
    });
    *slot.lock().expect("no thread has panicked") = Some(Arc::clone(&servers));
    let stop = Arc::new(AtomicBool::new(false));
    let beats = heartbeats(&store, &servers, &stop);
    let mut routers: Vec<Router> = (0..arguments.routers)
        .map(|index| Router::new(index, binary(), folder.to_owned(), store_address))
        .collect();
    routers.iter_mut().for_each(Router::start);
    thread::park_timeout(START);
    let clients: Vec<_> = (0..arguments.clients)
        .map(|index| {
            let (ledger, stop) = (Arc::clone(&ledger), Arc::clone(&stop));
            let (seed, routers) = (arguments.seed, arguments.routers);
            thread::spawn(move || client::run(index, seed, routers, &ledger, &stop))
        })
        .collect();
    let mut world = World { routers: &mut routers, servers: &servers, store: &store };
    play(arguments, &mut world);
    thread::park_timeout(END.saturating_sub(SERVED));
    ledger.mark();
    thread::park_timeout(SERVED);
    let share = ledger.served_share();
    stop.store(true, Ordering::SeqCst);
    for thread in clients.into_iter().chain([beats]) {
        thread.join().expect("no client panics");
    }
    let (answered, refused, failed) = ledger.counts();
    println!(
        "answered {answered}, refused {refused}, failed {failed}, served at the end {share:.3}"
    );
    if share < LEAST_SERVED {
        ledger.broken(format!("{share:.3} of the requests were served after the last fault"));
    }
    ledger.all_broken()
}

/// Plays faults that overlap until the time is over, and ends them all.
fn play(arguments: &Arguments, world: &mut World<'_>) {
    let mut random = SmallRng::seed_from_u64(arguments.seed);
    let end = BootClock.now() + arguments.span;
    let mut next = BootClock.now();
    let mut under_way: Vec<faults::UnderWay> = Vec::new();
    let mut disturbed = Time::ZERO;
    loop {
        let now = BootClock.now();
        let due = under_way.extract_if(.., |fault| now >= fault.until || now >= end);
        for fault in due.collect::<Vec<_>>() {
            world.end(now, &fault);
            disturbed = now;
        }
        if now >= end {
            world.servers.calm.store(false, Ordering::SeqCst);
            return;
        }
        if now >= next {
            under_way.push(world.begin(now, &mut random));
            next = now + Duration::from_millis(random.random_range(200..2_000));
            disturbed = now;
        }
        let calm = under_way.is_empty() && now.since(disturbed) >= CALM;
        world.servers.calm.store(calm, Ordering::SeqCst);
        let ended = world.revive();
        if ended > 0 {
            println!("{:8.3} {ended} routers ended", seconds(now));
        }
        thread::park_timeout(Duration::from_millis(20));
    }
}

/// Writes the servers' entries once a second and removes those that have fallen silent.
fn heartbeats(
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
                if server.up.load(Ordering::SeqCst) && server.listed.load(Ordering::SeqCst) {
                    *missed = 0;
                    let draining = server.draining.load(Ordering::SeqCst);
                    store.write(&key, Some(server.entry()));
                    server.acknowledged(draining);
                } else {
                    *missed += 1;
                    if *missed == MISSED {
                        store.write(&key, None);
                        server.acknowledged(true);
                    }
                }
            }
            thread::park_timeout(HEARTBEAT);
        }
    })
}

fn config() -> serde_json::Value {
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [["r1", "shop", "/read/", "safe", "2s", "500ms", 1, 2, "pool"],
                     ["r2", "shop", "/book/", "unsafe", "2s", "500ms", 1, 2, "pool"],
                     ["r3", "shop", "/key/", "safe", "2s", "500ms", 1, 2, "keyed"]],
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
