use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;

use async_executor::LocalExecutor;
use bay_node::RouterShell;
use bay_obs::Counters;
use bay_platform::{PlatformWire, parse_settings};
use serde_json::{Value, json};

/// A router on its own thread, with its addresses.
pub struct RunningRouter {
    pub listen: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    /// Address for messages of other routers.
    pub peer: SocketAddr,
    /// Requests a planned stop.
    pub stop: async_channel::Sender<()>,
    /// Closes when the planned stop is complete.
    pub stopped: mpsc::Receiver<()>,
}

impl RunningRouter {
    /// Returns the value of a metric, if the router has it.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let mut stream = TcpStream::connect(self.metrics).unwrap();
        stream.write_all(b"GET /metrics HTTP/1.1\r\nHost: router\r\n\r\n").unwrap();
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        let mut length = 0;
        while line != "\r\n" {
            line.clear();
            reader.read_line(&mut line).unwrap();
            length = line
                .strip_prefix("Content-Length: ")
                .map_or(length, |text| text.trim().parse().unwrap());
        }
        let mut body = vec![0; length];
        reader.read_exact(&mut body).unwrap();
        let body = String::from_utf8(body).unwrap();
        body.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }
}

/// Starts the router of a host under the platform's default bounds, except those given.
pub fn start_router(
    host: &str,
    store: SocketAddr,
    bounds: &'static [&'static str],
) -> RunningRouter {
    start_router_with_memory(host, store, bounds, 256)
}

/// Like [`start_router`], on a machine with this memory in megabytes.
pub fn start_router_with_memory(
    host: &str,
    store: SocketAddr,
    bounds: &'static [&'static str],
    memory_mb: u64,
) -> RunningRouter {
    start(host, "a", store, bounds, &[], memory_mb)
}

/// Like [`start_router`], in a zone.
pub fn start_router_in_zone(host: &str, zone: &str, store: SocketAddr) -> RunningRouter {
    start(host, zone, store, &[], &[], 256)
}

/// Like [`start_router`], with parts of the platform's rules in force.
pub fn start_router_with_contracts(
    host: &str,
    store: SocketAddr,
    contracts: &'static [&'static str],
) -> RunningRouter {
    start(host, "a", store, &[], contracts, 256)
}

/// Returns the platform's settings of a router with these addresses, without bounds.
pub fn settings_json(
    host: &str,
    listen: SocketAddr,
    ready: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
) -> Value {
    json!({
        "node-name": host, "ip": peer.ip(), "zone": "a",
        "listen": {"front": listen, "ready": ready},
        "internal-ports": [peer.port(), peer.port()], "heartbeat": "1s", "bounds": [],
        "limits": {"cpu-share": 1.0, "cores": 1, "link-mbps": 1000, "memory-mb": 256,
                   "max-fds": 1024},
        "platform": {"address": store},
    })
}

fn start(
    host: &str,
    zone: &str,
    store: SocketAddr,
    bounds: &'static [&'static str],
    contracts: &'static [&'static str],
    memory_mb: u64,
) -> RunningRouter {
    let (host, zone) = (host.to_owned(), zone.to_owned());
    let (tx, rx) = mpsc::channel();
    let (stop, stop_requests) = async_channel::bounded(1);
    let (stopped_tx, stopped) = mpsc::channel::<()>();
    thread::spawn(move || {
        let any = "127.0.0.1:0".parse().unwrap();
        let mut text = settings_json(&host, any, any, any, store);
        text["zone"] = json!(zone);
        text["bootstrap"] = json!(true);
        text["bounds"] = json!(bounds);
        text["contracts"] = json!(contracts);
        text["limits"]["memory-mb"] = json!(memory_mb);
        let mut settings = parse_settings(&text.to_string()).unwrap();
        settings.metrics.set_port(0);
        let executor = Rc::new(LocalExecutor::new());
        let counters = Counters::new("router", None).unwrap();
        let wire = Rc::new(PlatformWire);
        let shell = RouterShell::start(settings, wire, counters, Rc::clone(&executor)).unwrap();
        let settings = shell.settings();
        tx.send((settings.listen, settings.ready, settings.metrics, settings.peer)).unwrap();
        let work = async {
            // A test without a planned stop drops the sender at its end.
            if stop_requests.recv().await.is_ok() {
                shell.stop().await;
            }
        };
        async_io::block_on(executor.run(work));
        drop(stopped_tx);
    });
    let (listen, ready, metrics, peer) = rx.recv().unwrap();
    RunningRouter { listen, ready, metrics, peer, stop, stopped }
}
