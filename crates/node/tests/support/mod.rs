//! A gate with targets in one process, and a caller over raw sockets.
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

pub use caller::{Caller, Received};

/// What a test may choose about its gate.
pub struct Plan {
    pub limits: HttpLimits,
    pub targets: Vec<TargetOptions>,
    pub requests: &'static str,
    /// Connections that a target takes, over all gates.
    pub connections: u32,
    pub max_connections: u32,
    pub max_connections_per_peer: u32,
    pub drain: Duration,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            limits: HttpLimits::default(),
            targets: vec![TargetOptions { service_time: Duration::ZERO, ..Default::default() }],
            requests: "",
            connections: 110,
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

/// Runs a test against a site.
pub fn with_site<F, T>(plan: Plan, test: F)
where
    F: FnOnce(Site) -> T,
    T: Future<Output = ()>,
{
    let executor = Arc::new(Executor::new());
    let work = async {
        let site = Site::start(Arc::clone(&executor), plan).await;
        test(site).await;
    };
    async_io::block_on(executor.run(work));
}

/// Runs a test against a site whose one target is a listener of the test's own.
pub fn with_listener<F, T>(plan: Plan, test: F)
where
    F: FnOnce(Site, async_net::TcpListener) -> T,
    T: Future<Output = ()>,
{
    let executor = Arc::new(Executor::new());
    let work = async {
        let listener = async_net::TcpListener::bind(localhost()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let site = Site::start_with(Arc::clone(&executor), plan, vec![address]).await;
        test(site, listener).await;
    };
    async_io::block_on(executor.run(work));
}

impl Site {
    async fn start(executor: Arc<Executor<'static>>, mut plan: Plan) -> Site {
        let mut targets = Vec::new();
        for options in std::mem::take(&mut plan.targets) {
            let server = TargetServer::bind(localhost(), options).await.unwrap();
            let target = Target { address: server.address().unwrap(), handle: server.handle() };
            executor.spawn(server.serve(Arc::clone(&executor))).detach();
            targets.push(target);
        }
        let addresses = targets.iter().map(|target| target.address).collect();
        let mut site = Site::start_with(executor, plan, addresses).await;
        site.targets = targets;
        site
    }

    async fn start_with(
        executor: Arc<Executor<'static>>,
        plan: Plan,
        targets: Vec<SocketAddr>,
    ) -> Site {
        let counters = Counters::new("gate", None).unwrap();
        let key = ClusterKey::derive(&[7; 32]).unwrap();
        let limits = plan.limits.clone();
        let settings = settings(&plan);
        let bound =
            GateShell::bind_with_limits(&settings, key, counters, Arc::clone(&executor), limits);
        let gate = bound.await.unwrap();
        gate.start();
        gate.apply(&[document(&plan, &targets)]);
        assert!(gate.is_ready(), "the document has mistakes");
        Site { executor, gate, targets: Vec::new() }
    }

    /// The first target.
    pub fn target(&self) -> &TargetHandle {
        &self.targets[0].handle
    }

    /// A new connection to the gate.
    pub async fn caller(&self) -> Caller {
        Caller::connect(self.gate.addresses().listen).await
    }

    /// Sends one request on a connection of its own and reads the answer.
    pub async fn ask(&self, request: &str) -> Received {
        let mut caller = self.caller().await;
        caller.send(request.as_bytes()).await;
        caller.receive().await
    }

    /// A counter of the gate.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut caller = Caller::connect(self.gate.addresses().admin).await;
        caller.send(b"GET /counters HTTP/1.1\r\nhost: gate\r\n\r\n").await;
        let answer = caller.receive().await;
        let counters: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        counters[name].as_u64().unwrap_or_default()
    }
}

fn settings(plan: &Plan) -> Settings {
    let gate = GateSettings {
        listen: localhost(),
        admin: localhost(),
        peer: localhost(),
        stewards: Vec::new(),
        max_connections: plan.max_connections,
        max_connections_per_peer: plan.max_connections_per_peer,
        drain: plan.drain,
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

fn document(plan: &Plan, targets: &[SocketAddr]) -> Item {
    let mut text = format!(
        "[service]\nname = photos\nhosts = photos.example\nkind = pooled\n\
         [requests]\n{}\n[limits]\nslots = 4\ncold_slots = 4\nconnections = {}\n",
        plan.requests, plan.connections
    );
    for (at, target) in targets.iter().enumerate() {
        text.push_str(&format!("[server t{at}]\naddress = {target}\nzone = north\n"));
    }
    let name = ServiceName::new("photos").unwrap();
    Item {
        key: ItemKey::Document(name),
        version: ItemVersion { major: 1, minor: 0 },
        base: None,
        body: text.into_bytes(),
    }
}

/// Waits until something holds; the only bound is the test runner's timeout.
pub async fn until<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    while !holds() {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// Like [`until`], for a condition that has to be asked for.
pub async fn until_async<F>(mut holds: F)
where
    F: AsyncFnMut() -> bool,
{
    while !holds().await {
        Timer::after(Duration::from_millis(2)).await;
    }
}

/// A free port of the loopback address.
pub fn localhost() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
