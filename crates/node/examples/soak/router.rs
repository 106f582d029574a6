use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::proxy::Proxy;

/// Ports of every router, each on a loopback address of its own.
const FRONT_PORT: u16 = 18_080;
const READY_PORT: u16 = 18_081;
const PEER_PORT: u16 = 18_082;

/// The port that shows which loopback networks are in use by soaks beside this one.
const CLAIM_PORT: u16 = 18_079;

/// The loopback network of this soak; it is claimed for as long as the process lives.
fn network() -> u8 {
    static CLAIM: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let claim = |network: u8| {
        let address = SocketAddr::from(([127, network, 0, 1], CLAIM_PORT));
        Some((network, TcpListener::bind(address).ok()?))
    };
    CLAIM.get_or_init(|| (1..=250).find_map(claim).expect("a free loopback network")).0
}

/// A router process with its own way to the store.
pub struct Router {
    index: usize,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    /// Between the router and the store.
    pub store: Proxy,
}

impl Router {
    /// A router that is not started yet.
    pub fn new(index: usize, binary: PathBuf, folder: PathBuf, store: SocketAddr) -> Router {
        Router { index, binary, folder, child: None, store: Proxy::start(store) }
    }

    /// Where clients connect.
    pub fn address(index: usize) -> SocketAddr {
        Router::on(index, FRONT_PORT)
    }

    fn on(index: usize, port: u16) -> SocketAddr {
        let network = network();
        let [high, low] = (index as u16 + 10).to_be_bytes();
        SocketAddr::from(([127, network, high, low], port))
    }

    /// Starts the process if it does not run; its log goes to a file of its own.
    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let settings = json!({
            "node-name": format!("r{}", self.index), "zone": "a",
            "ip": Router::address(self.index).ip(),
            "listen": {"front": Router::address(self.index),
                       "ready": Router::on(self.index, READY_PORT)},
            "internal-ports": [PEER_PORT, PEER_PORT],
            "heartbeat": "1s", "bounds": ["hold-max=10s", "grace=4s", "retry-budget-extra=50"],
            "limits": {"cpu-share": 1.0, "cores": 1, "link-mbps": 1000, "memory-mb": 256,
                       "max-fds": 1024},
            "platform": {"address": self.store.address},
        });
        let path = self.folder.join(format!("r{}.json", self.index));
        fs::write(&path, settings.to_string()).expect("a writable folder");
        let log = self.folder.join(format!("r{}.log", self.index));
        let log = File::options().create(true).append(true).open(log).expect("a writable folder");
        let errors = log.try_clone().expect("a file handle");
        let mut command = Command::new(&self.binary);
        command.arg("router").env("DRAGONFLYBAY_CONFIG", &path);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = Some(command.spawn().expect("the router's binary"));
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("r{}: signal not sent: {error}", self.index);
        }
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.wait()
        {
            eprintln!("r{}: not waited for: {error}", self.index);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.signal(Signal::CONT);
        self.signal(Signal::KILL);
        self.wait();
    }
}
