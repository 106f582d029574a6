use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bay_time::{BootClock, Clock};
use bay_types::{SliceId, Token};
use bay_wire::Order;
use futures_lite::StreamExt;
use http_types::{Method, Request, Response, StatusCode};

use crate::{Admission, OwnerServer};

/// How a target behaves.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// Whether it owns keys and takes orders.
    pub owner: bool,
    /// Whether it checks fencing tokens.
    pub fenced: bool,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Time that a request takes.
    pub service_time: Duration,
}

/// A server or target over HTTP.
#[derive(Debug)]
pub struct TargetServer {
    listener: TcpListener,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    options: TargetOptions,
    owner: Mutex<OwnerServer>,
    running: Mutex<u32>,
}

impl TargetServer {
    /// Listens at an address; port 0 takes a free one.
    ///
    /// # Errors
    /// Returns an error if the address cannot be listened on.
    pub async fn bind(
        address: SocketAddr,
        options: TargetOptions,
    ) -> std::io::Result<TargetServer> {
        let listener = TcpListener::bind(address).await?;
        let boot = BootClock.now().as_nanos();
        let owner = Mutex::new(OwnerServer::new(boot, options.fenced));
        let state = Arc::new(State { options, owner, running: Mutex::new(0) });
        Ok(TargetServer { listener, state })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// Returns an error if the socket has no address.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until the task is dropped.
    pub async fn serve(self, executor: Arc<async_executor::Executor<'static>>) {
        let mut incoming = self.listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else { continue };
            executor.spawn(serve_connection(stream, Arc::clone(&self.state))).detach();
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Arc<State>) {
    // A connection that breaks concerns its caller only.
    let _ = async_h1::accept(stream, |req| answer(req, Arc::clone(&state))).await;
}

async fn answer(mut req: Request, state: Arc<State>) -> http_types::Result<Response> {
    if req.method() == Method::Post && req.url().path() == "/bay/order" {
        return answer_order(&mut req, &state).await;
    }
    let body = req.body_bytes().await?;
    if state.options.owner && admit(&req, &state) == Admission::NotOwner {
        return Ok(not_run("not-owner"));
    }
    let Some(_slot) = Slot::take(&state) else {
        return Ok(not_run("shed"));
    };
    Timer::after(state.options.service_time).await;
    let mut res = Response::new(StatusCode::Ok);
    if let Some(id) = req.header("bay-request") {
        res.insert_header("bay-request", id.as_str());
    }
    res.set_body(format!("{} {} {}\n", req.method(), req.url().path(), body.len()));
    Ok(res)
}

async fn answer_order(req: &mut Request, state: &State) -> http_types::Result<Response> {
    let body = req.body_string().await?;
    let Ok(order) = serde_json::from_str::<Order>(&body) else {
        return Ok(Response::new(StatusCode::BadRequest));
    };
    let reply = lock(&state.owner).order(BootClock.now(), &order);
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_string(&reply)?);
    Ok(res)
}

fn admit(req: &Request, state: &State) -> Admission {
    let number = |name: &str| req.header(name).and_then(|value| value.as_str().parse::<u64>().ok());
    match (number("bay-slice"), number("bay-token")) {
        (Some(slice), Some(token)) => {
            lock(&state.owner).admit(BootClock.now(), SliceId(slice as u32), Token(token))
        }
        _ => Admission::NotOwner,
    }
}

fn not_run(reason: &str) -> Response {
    let mut res = Response::new(StatusCode::ServiceUnavailable);
    res.insert_header("bay-outcome", "not-run");
    res.insert_header("bay-reason", reason);
    res
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Holds one of the target's slots.
struct Slot<'a> {
    state: &'a State,
}

impl<'a> Slot<'a> {
    fn take(state: &'a State) -> Option<Slot<'a>> {
        let mut running = lock(&state.running);
        if *running >= state.options.slots {
            return None;
        }
        *running += 1;
        Some(Slot { state })
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        *lock(&self.state.running) -= 1;
    }
}
