use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use async_net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};

/// Pause between two rounds of readiness requests to the gates.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A stand-in for the platform's load balancer. It sends callers only to gates that are ready.
#[derive(Debug, Clone)]
pub(crate) struct Balancer {
    gates: Arc<Vec<Mutex<Gate>>>,
}

#[derive(Debug)]
struct Gate {
    listen: SocketAddr,
    admin: SocketAddr,
    is_ready: bool,
}

impl Balancer {
    /// Creates a balancer. Each gate is given by its address for callers and its admin address.
    pub(crate) fn new(gates: &[(SocketAddr, SocketAddr)]) -> Balancer {
        let gate = |(listen, admin): &(SocketAddr, SocketAddr)| {
            Mutex::new(Gate { listen: *listen, admin: *admin, is_ready: true })
        };
        Balancer { gates: Arc::new(gates.iter().map(gate).collect()) }
    }

    /// Starts to poll the gates, until the returned task is dropped.
    pub(crate) fn start(&self, executor: &Arc<Executor<'static>>) -> Task<()> {
        executor.spawn(poll_readiness(self.clone()))
    }

    /// Returns the address of a ready gate, by round-robin over the request number. If no gate is
    /// ready, returns the next one in turn.
    pub(crate) fn pick_gate(&self, number: u64) -> SocketAddr {
        let count = self.gates.len();
        let start = number as usize % count;
        let candidates = (0..count).map(|step| lock(&self.gates[(start + step) % count]));
        let ready = candidates.into_iter().find(|gate| gate.is_ready);
        ready.map_or_else(|| lock(&self.gates[start]).listen, |gate| gate.listen)
    }
}

async fn poll_readiness(balancer: Balancer) {
    loop {
        for gate in balancer.gates.iter() {
            let admin = lock(gate).admin;
            let ready = fetch_readiness(admin).await.unwrap_or(false);
            lock(gate).is_ready = ready;
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

async fn fetch_readiness(admin: SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect(admin).await.ok()?;
    let url = Url::parse(&format!("http://{admin}/ready")).ok()?;
    let res = async_h1::connect(stream, Request::new(Method::Get, url)).await.ok()?;
    Some(res.status() == StatusCode::Ok)
}

fn lock(gate: &Mutex<Gate>) -> MutexGuard<'_, Gate> {
    gate.lock().unwrap_or_else(PoisonError::into_inner)
}
