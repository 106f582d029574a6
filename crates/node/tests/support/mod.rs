//! Runs a gate and its targets in one process, with callers over raw sockets.
#![allow(dead_code)]

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::Timer;
use bay_conf::{GateSettings, LogLevel, Settings, StewardSettings};
use bay_fakes::{TargetHandle, TargetOptions, TargetServer};
use bay_node::{GateShell, HttpLimits};
use bay_obs::Counters;
use bay_types::{HostName, ServiceName, ZoneName};
use bay_wire::{ClusterKey, Item, ItemKey, ItemVersion};

mod caller;

pub use caller::{Caller, Response};

/// Options of a [`Site`].
pub struct SiteOptions {
    pub limits: HttpLimits,
    pub targets: Vec<TargetOptions>,
    /// Lines of the `[requests]` section of the document.
    pub request_settings: &'static str,
    /// Maximum number of connections that a target accepts from all gates together.
    pub target_connections: u32,
    pub max_connections: u32,
    pub max_connections_per_peer: u32,
    pub drain: Duration,
}

impl Default for SiteOptions {
    fn default() -> SiteOptions {
        SiteOptions {
            limits: HttpLimits::default(),
            targets: vec![TargetOptions { service_time: Duration::ZERO, ..Default::default() }],
            request_settings: "",
            target_connections: 110,
            max_connections: 100,
            max_connections_per_peer: 100,
            drain: Duration::from_millis(50),
        }
    }
}

/// A gate with the targets of one pooled service, `photos.example`.
pub struct Site {
    pub executor: Arc<Executor<'static>>,
    pub gate: GateShell,
    pub targets: Vec<Target>,
}

/// A target of the site.
pub struct Target {
    pub address: SocketAddr,
    pub handle: TargetHandle,
}

/// Runs a test on a new site.
pub fn with_site<F, T>(options: SiteOptions, test: F)
where
    F: FnOnce(Site) -> T,
    T: Future<Output = ()>,
{
    let executor = Arc::new(Executor::new());
    let work = async {
        let site = Site::start(Arc::clone(&executor), options).await;
        test(site).await;
    };
    async_io::block_on(executor.run(work));
}

/// Runs a test on a new site whose only target is a listener that the test serves.
pub fn with_listener<F, T>(options: SiteOptions, test: F)
where
    F: FnOnce(Site, async_net::TcpListener) -> T,
    T: Future<Output = ()>,
{
    let executor = Arc::new(Executor::new());
    let work = async {
        let listener = async_net::TcpListener::bind(localhost()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let site = Site::start_with(Arc::clone(&executor), options, vec![address]).await;
        test(site, listener).await;
    };
    async_io::block_on(executor.run(work));
}

impl Site {
    async fn start(executor: Arc<Executor<'static>>, mut options: SiteOptions) -> Site {
        let mut targets = Vec::new();
        for target_options in std::mem::take(&mut options.targets) {
            let server = TargetServer::bind(localhost(), target_options).await.unwrap();
            let target = Target { address: server.address().unwrap(), handle: server.handle() };
            executor.spawn(server.serve(Arc::clone(&executor))).detach();
            targets.push(target);
        }
        let addresses = targets.iter().map(|target| target.address).collect();
        let mut site = Site::start_with(executor, options, addresses).await;
        site.targets = targets;
        site
    }

    async fn start_with(
        executor: Arc<Executor<'static>>,
        options: SiteOptions,
        targets: Vec<SocketAddr>,
    ) -> Site {
        let counters = Counters::new("gate", None).unwrap();
        let key = ClusterKey::derive(&[7; 32]).unwrap();
        let limits = options.limits.clone();
        let settings = settings(&options);
        let bound =
            GateShell::bind_with_limits(&settings, key, counters, Arc::clone(&executor), limits);
        let gate = bound.await.unwrap();
        gate.start();
        gate.apply(&[document(&options, &targets)]);
        assert!(gate.is_ready(), "the document has errors");
        Site { executor, gate, targets: Vec::new() }
    }

    /// Returns the first target.
    pub fn target(&self) -> &TargetHandle {
        &self.targets[0].handle
    }

    /// Opens a new connection to the gate.
    pub async fn connect(&self) -> Caller {
        Caller::connect(self.gate.addresses().listen).await
    }

    /// Sends a request on a new connection and reads the response.
    pub async fn fetch(&self, request: &str) -> Response {
        let mut caller = self.connect().await;
        caller.send(request.as_bytes()).await;
        caller.read_response().await
    }

    /// Returns the value of a counter of the gate, or zero if the gate does not report it.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut caller = Caller::connect(self.gate.addresses().admin).await;
        caller.send(b"GET /counters HTTP/1.1\r\nhost: gate\r\n\r\n").await;
        let response = caller.read_response().await;
        let counters: serde_json::Value = serde_json::from_slice(&response.body).unwrap();
        counters[name].as_u64().unwrap_or_default()
    }
}

fn settings(options: &SiteOptions) -> Settings {
    let gate = GateSettings {
        listen: localhost(),
        admin: localhost(),
        peer: localhost(),
        stewards: Vec::new(),
        max_connections: options.max_connections,
        max_connections_per_peer: options.max_connections_per_peer,
        drain: options.drain,
    };
    Settings {
        host: HostName::new("entry-1").unwrap(),
        zone: ZoneName::new("north").unwrap(),
        store: localhost(),
        key_file: "unused".into(),
        log_level: LogLevel::Error,
        metrics: None,
        gate,
        steward: StewardSettings { listen: localhost(), admin: localhost() },
    }
}

fn document(options: &SiteOptions, targets: &[SocketAddr]) -> Item {
    let mut text = format!(
        "[service]\nname = photos\nhosts = photos.example\nkind = pooled\n\
         [requests]\n{}\n[limits]\nslots = 4\ncold_slots = 4\nconnections = {}\n",
        options.request_settings, options.target_connections
    );
    for (index, target) in targets.iter().enumerate() {
        text.push_str(&format!("[server t{index}]\naddress = {target}\nzone = north\n"));
    }
    let name = ServiceName::new("photos").unwrap();
    Item {
        key: ItemKey::Document(name),
        version: ItemVersion { major: 1, minor: 0 },
        base: None,
        body: text.into_bytes(),
    }
}

/// Waits until a condition holds; the only bound is the test runner's timeout.
pub async fn wait_until<F>(mut condition: F)
where
    F: FnMut() -> bool,
{
    while !condition() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Waits until an asynchronous condition holds, as [`wait_until`] does.
pub async fn wait_until_async<F>(mut condition: F)
where
    F: AsyncFnMut() -> bool,
{
    while !condition().await {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Returns the loopback address with port 0, to bind a free port.
pub fn localhost() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
