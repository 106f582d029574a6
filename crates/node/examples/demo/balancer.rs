use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::{Executor, Task};
use async_io::Timer;
use async_net::TcpStream;
use http_types::{Method, Request, StatusCode, Url};

/// Pause between two questions to a gate.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Stands in for the platform's balancer: sends callers only to gates that are ready.
#[derive(Debug, Clone)]
pub(crate) struct Balancer {
    gates: Arc<Vec<Mutex<Gate>>>,
}

#[derive(Debug)]
struct Gate {
    listen: SocketAddr,
    admin: SocketAddr,
    ready: bool,
}

impl Balancer {
    /// A balancer over gates, each with its address for callers and its admin address.
    pub(crate) fn new(gates: &[(SocketAddr, SocketAddr)]) -> Balancer {
        let gate = |(listen, admin): &(SocketAddr, SocketAddr)| {
            Mutex::new(Gate { listen: *listen, admin: *admin, ready: true })
        };
        Balancer { gates: Arc::new(gates.iter().map(gate).collect()) }
    }

    /// Asks the gates for as long as the task lives.
    pub(crate) fn start(&self, executor: &Arc<Executor<'static>>) -> Task<()> {
        executor.spawn(check(self.clone()))
    }

    /// The gate for the request with this number.
    pub(crate) fn pick(&self, number: u64) -> SocketAddr {
        let count = self.gates.len();
        let start = number as usize % count;
        let candidates = (0..count).map(|step| lock(&self.gates[(start + step) % count]));
        let ready = candidates.into_iter().find(|gate| gate.ready);
        ready.map_or_else(|| lock(&self.gates[start]).listen, |gate| gate.listen)
    }
}

async fn check(balancer: Balancer) {
    loop {
        for gate in balancer.gates.iter() {
            let admin = lock(gate).admin;
            let ready = is_ready(admin).await.unwrap_or(false);
            lock(gate).ready = ready;
        }
        Timer::after(CHECK_PAUSE).await;
    }
}

async fn is_ready(admin: SocketAddr) -> Option<bool> {
    let stream = TcpStream::connect(admin).await.ok()?;
    let url = Url::parse(&format!("http://{admin}/ready")).ok()?;
    let res = async_h1::connect(stream, Request::new(Method::Get, url)).await.ok()?;
    Some(res.status() == StatusCode::Ok)
}

fn lock(gate: &Mutex<Gate>) -> MutexGuard<'_, Gate> {
    gate.lock().unwrap_or_else(PoisonError::into_inner)
}
