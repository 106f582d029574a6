use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use bay_conf::{GateSettings, LogLevel, Settings, StewardSettings, ZoneDoc, ZoneState};
use bay_ctl::{apply_document, set_zone};
use bay_fakes::{MemStore, StoreServer, TargetHandle, TargetOptions, TargetServer};
use bay_node::{GateShell, StewardShell};
use bay_obs::Counters;
use bay_store::{Host, HostState, HttpStore};
use bay_types::{HostName, ZoneName};
use bay_wire::ClusterKey;

use crate::balancer::Balancer;
use crate::documents;
use crate::report::RunCounts;
use crate::traffic::{PROBED_KEYS, get_job};

const ZONES: [&str; 3] = ["tln-a", "tln-b", "mrd-c"];
const OWNERS_PER_ZONE: usize = 2;
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// The name, address and zone of a target, as its document lists it.
#[derive(Debug, Clone)]
pub(crate) struct ServerSpec {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: ZoneName,
}

/// A store, targets, stewards and gates in several zones, all in this process.
pub(crate) struct Cluster {
    store: HttpStore,
    owners: Vec<(ServerSpec, TargetHandle, Task<()>)>,
    pooled: Vec<(ServerSpec, TargetHandle, Task<()>)>,
    stewards: Vec<StewardShell>,
    gates: Vec<GateShell>,
    gate_addresses: Vec<(SocketAddr, SocketAddr)>,
    killed_owner: usize,
    tasks: Vec<Task<()>>,
}

fn address(host: u8, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 20, 0, host), port))
}

impl Cluster {
    pub(crate) async fn start(
        executor: &Arc<Executor<'static>>,
    ) -> Result<Cluster, Box<dyn Error>> {
        let store_server = StoreServer::bind(address(1, 7400)).await?;
        let store_address = store_server.address()?;
        lock(&store_server.store()).set_hosts(hosts()?);
        let tasks = vec![executor.spawn(store_server.serve(Arc::clone(executor)))];
        let mut cluster = Cluster {
            store: HttpStore::new(store_address, STORE_TIMEOUT),
            owners: Vec::new(),
            pooled: Vec::new(),
            stewards: Vec::new(),
            gates: Vec::new(),
            gate_addresses: Vec::new(),
            killed_owner: 0,
            tasks,
        };
        for (index, zone) in ZONES.iter().enumerate() {
            cluster.start_zone(executor, index, ZoneName::new(zone)?).await?;
        }
        Ok(cluster)
    }

    async fn start_zone(
        &mut self,
        executor: &Arc<Executor<'static>>,
        index: usize,
        zone: ZoneName,
    ) -> Result<(), Box<dyn Error>> {
        for number in 0..OWNERS_PER_ZONE {
            let host = 30 + (index * OWNERS_PER_ZONE + number) as u8;
            let spec =
                ServerSpec { name: format!("job-{host}"), address: address(host, 7500), zone };
            self.owners.push(start_target(executor, spec, true).await?);
        }
        let host = 60 + index as u8;
        let spec = ServerSpec { name: format!("photo-{host}"), address: address(host, 7500), zone };
        self.pooled.push(start_target(executor, spec, false).await?);
        let settings = settings(index as u8, zone)?;
        let steward =
            StewardShell::bind(&settings, key(), counters("steward")?, Arc::clone(executor))
                .await?;
        steward.start();
        self.stewards.push(steward);
        let gate =
            GateShell::bind(&settings, key(), counters("gate")?, Arc::clone(executor)).await?;
        gate.start();
        self.gates.push(gate);
        self.gate_addresses.push((settings.gate.listen, settings.gate.admin));
        Ok(())
    }

    pub(crate) fn balancer(&self) -> Balancer {
        Balancer::new(&self.gate_addresses)
    }

    pub(crate) async fn apply_documents(&self) -> Result<(), Box<dyn Error>> {
        let specs = |targets: &[(ServerSpec, TargetHandle, Task<()>)]| -> Vec<ServerSpec> {
            targets.iter().map(|(spec, _, _)| spec.clone()).collect()
        };
        let jobs = documents::jobs(&specs(&self.owners));
        let photos = documents::photos(&specs(&self.pooled));
        apply_document(&self.store, "jobs.ini", jobs.as_bytes()).await?;
        apply_document(&self.store, "photos.ini", photos.as_bytes()).await?;
        Ok(())
    }

    /// Waits until each gate has served every probed key.
    pub(crate) async fn wait_until_served(&self) {
        for (gate, _) in &self.gate_addresses {
            for key in 0..PROBED_KEYS {
                while !get_job(*gate, key).await.is_done() {
                    Timer::after(Duration::from_millis(50)).await;
                }
            }
        }
    }

    /// Kills an owner in the first zone, which is never taken out of service.
    pub(crate) fn kill_owner(&mut self) {
        self.killed_owner = 0;
        self.owners[self.killed_owner].1.kill();
    }

    /// Takes the last zone into or out of service.
    pub(crate) async fn set_zone(&self, in_service: bool) -> Result<(), Box<dyn Error>> {
        let state = if in_service { ZoneState::In } else { ZoneState::Out };
        let zone = ZoneName::new(ZONES[ZONES.len() - 1])?;
        let doc = ZoneDoc { zone, state, operator: String::from("demo") };
        set_zone(&self.store, &doc).await?;
        Ok(())
    }

    /// Returns the number of requests that targets of the last zone have started.
    pub(crate) fn runs_in_last_zone(&self) -> u64 {
        let last = ZONES[ZONES.len() - 1];
        let targets = self.owners.iter().chain(&self.pooled);
        let in_zone = targets.filter(|(spec, _, _)| spec.zone.as_str() == last);
        let runs = |handle: &TargetHandle| handle.counts().runs.values().copied().sum::<u32>();
        in_zone.map(|(_, handle, _)| u64::from(runs(handle))).sum()
    }

    /// Performs a planned stop of the last gate.
    pub(crate) async fn stop_gate(&mut self) {
        if let Some(gate) = self.gates.pop() {
            gate.stop().await;
        }
    }

    pub(crate) fn run_counts(&self) -> RunCounts {
        let handles = self.owners.iter().chain(&self.pooled).map(|(_, handle, _)| handle);
        RunCounts::sum(handles)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.tasks.clear();
    }
}

async fn start_target(
    executor: &Arc<Executor<'static>>,
    spec: ServerSpec,
    is_owner: bool,
) -> Result<(ServerSpec, TargetHandle, Task<()>), Box<dyn Error>> {
    let options = TargetOptions { is_owner, ..TargetOptions::default() };
    let server = TargetServer::bind(spec.address, options).await?;
    let handle = server.handle();
    let task = executor.spawn(server.serve(Arc::clone(executor)));
    Ok((spec, handle, task))
}

fn hosts() -> Result<Vec<Host>, Box<dyn Error>> {
    let mut hosts = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let host = 10 + index as u8;
        hosts.push(Host {
            name: HostName::new(&format!("entry-{host}"))?,
            zone: ZoneName::new(zone)?,
            steward: address(host, 8090),
            state: HostState::Live,
        });
    }
    Ok(hosts)
}

fn lock(store: &Mutex<MemStore>) -> MutexGuard<'_, MemStore> {
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

fn counters(process: &str) -> std::io::Result<Counters> {
    Counters::new(process, None)
}

fn key() -> ClusterKey {
    ClusterKey::derive(&[7; ClusterKey::MIN_SECRET_BYTES]).expect("the secret is long enough")
}

fn settings(index: u8, zone: ZoneName) -> Result<Settings, Box<dyn Error>> {
    let host = 10 + index;
    let stewards = (0..ZONES.len() as u8).map(|offset| address(10 + (index + offset) % 3, 8090));
    Ok(Settings {
        host: HostName::new(&format!("entry-{host}"))?,
        zone,
        store: address(1, 7400),
        key_file: PathBuf::new(),
        log_level: LogLevel::Warn,
        metrics: None,
        gate: GateSettings {
            listen: address(host, 8080),
            admin: address(host, 8081),
            peer: address(host, 8082),
            stewards: stewards.collect(),
            max_connections: 10_000,
            max_connections_per_peer: 10_000,
            drain: Duration::from_secs(1),
        },
        steward: StewardSettings { listen: address(host, 8090), admin: address(host, 8091) },
    })
}
