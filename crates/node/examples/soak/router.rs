use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::OnceLock;

use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;

use crate::proxy::Proxy;

/// Port for clients. All routers use the same ports, since each has its own loopback address.
const FRONT_PORT: u16 = 18_080;

/// Port for readiness checks.
const READY_PORT: u16 = 18_081;

/// Port for messages between routers.
const PEER_PORT: u16 = 18_082;

/// The port that a soak binds to claim a loopback network among concurrent soaks.
const CLAIM_PORT: u16 = 18_079;

/// Returns the second byte of the loopback network of this soak. The first call claims it until
/// the process ends.
fn loopback_network() -> u8 {
    static CLAIMED: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let try_claim = |loopback_network: u8| {
        let address = SocketAddr::from(([127, loopback_network, 0, 1], CLAIM_PORT));
        Some((loopback_network, TcpListener::bind(address).ok()?))
    };
    CLAIMED.get_or_init(|| (1..=250).find_map(try_claim).expect("a loopback network is free")).0
}

/// A router process that reaches the store through its own proxy.
pub struct Router {
    index: usize,
    binary: PathBuf,
    folder: PathBuf,
    child: Option<Child>,
    /// Whether a process has been started before.
    has_run: bool,
    /// The proxy between this router and the store.
    pub store_proxy: Proxy,
}

impl Router {
    /// Creates a router without starting its process.
    pub fn new(index: usize, binary: PathBuf, folder: PathBuf, store: SocketAddr) -> Router {
        Router {
            index,
            binary,
            folder,
            child: None,
            has_run: false,
            store_proxy: Proxy::start(store),
        }
    }

    /// Returns the address at which clients reach this router.
    pub fn address(index: usize) -> SocketAddr {
        Router::endpoint(index, FRONT_PORT)
    }

    /// Sets the binary that runs from the next start of the process on.
    pub fn set_binary(&mut self, binary: PathBuf) {
        self.binary = binary;
    }

    fn endpoint(index: usize, port: u16) -> SocketAddr {
        let loopback_network = loopback_network();
        let [high, low] = (index as u16 + 10).to_be_bytes();
        SocketAddr::from(([127, loopback_network, high, low], port))
    }

    /// Starts the process unless it runs. Its log is appended to `r<index>.log`.
    pub fn start(&mut self) {
        if self.child.is_some() {
            return;
        }
        let settings = json!({
            "node-name": format!("r{}", self.index), "zone": "a",
            "ip": Router::address(self.index).ip(),
            "listen": {"front": Router::address(self.index),
                       "ready": Router::endpoint(self.index, READY_PORT)},
            "internal-ports": [PEER_PORT, PEER_PORT],
            "heartbeat": "1s", "bounds": ["hold-max=10s", "grace=4s", "retry-budget-extra=50"],
            "limits": {"cpu-share": 1.0, "cores": 1, "link-mbps": 1000, "memory-mb": 256,
                       "max-fds": 1024},
            "platform": {"address": self.store_proxy.address}, "bootstrap": !self.has_run,
        });
        self.has_run = true;
        let path = self.folder.join(format!("r{}.json", self.index));
        fs::write(&path, settings.to_string()).expect("the log folder is writable");
        let log = self.folder.join(format!("r{}.log", self.index));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the log folder is writable");
        let stderr = log.try_clone().expect("a file handle is free");
        let mut command = Command::new(&self.binary);
        command.arg("router").env("DRAGONFLYBAY_CONFIG", &path);
        command.stdin(Stdio::null()).stdout(log).stderr(stderr);
        self.child = Some(command.spawn().expect("the router binary exists"));
    }

    /// Sends a signal to the process if it runs.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(pid) = pid
            && let Err(error) = kill_process(pid, signal)
        {
            eprintln!("r{}: cannot send signal: {error}", self.index);
        }
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) {
        if let Some(mut child) = self.child.take()
            && let Err(error) = child.wait()
        {
            eprintln!("r{}: cannot wait for exit: {error}", self.index);
        }
    }

    /// Returns whether the process has exited and was not yet waited for.
    pub fn has_exited(&mut self) -> bool {
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
