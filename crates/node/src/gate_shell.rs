use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Timer;
use async_net::{TcpListener, TcpStream};
use bay_call::{Action, AttemptFailure, AttemptId, CallId, Event, LoadReport, NotRunReason};
use bay_conf::Settings;
use bay_gate::{Gate, GateConfig};
use bay_obs::Counters;
use bay_time::{BootClock, Clock};
use bay_types::{ErrorKind, Incarnation, NodeId};
use bay_wire::{ClusterKey, SliceGrant};
use futures_lite::{StreamExt, future};
use http_types::{Request, Response, StatusCode, Url};

use crate::ShellError;
use crate::http_head::HttpHead;
use crate::refusal::refusal;
use crate::steward_link::follow_steward;

/// A running gate.
#[derive(Clone)]
pub struct GateShell {
    shared: Arc<Shared>,
}

struct Shared {
    gate: Mutex<Gate>,
    executor: Arc<Executor<'static>>,
    counters: Counters,
    listener: TcpListener,
    admin: TcpListener,
    stewards: Vec<SocketAddr>,
    waiting: Mutex<HashMap<CallId, Sender<Action>>>,
    wake: (Sender<()>, Receiver<()>),
    stopping: Mutex<bool>,
    drain: Duration,
    key: ClusterKey,
    node: NodeId,
    incarnation: Incarnation,
}

impl GateShell {
    /// Listens at the settings' addresses.
    ///
    /// # Errors
    /// Returns an error if an address cannot be listened on.
    pub async fn bind(
        settings: &Settings,
        key: ClusterKey,
        counters: Counters,
        executor: Arc<Executor<'static>>,
    ) -> Result<GateShell, ShellError> {
        let listen = async |address| {
            let listener = TcpListener::bind(address).await;
            listener.map_err(|error| ShellError::Listen(address, error))
        };
        let listener = listen(settings.gate.listen).await?;
        let admin = listen(settings.gate.admin).await?;
        let now = BootClock.now();
        let node = NodeId::of(settings.host);
        let config = GateConfig { node, zone: settings.zone, seed: now.as_nanos() };
        let shared = Shared {
            gate: Mutex::new(Gate::new(config)),
            executor,
            counters,
            listener,
            admin,
            stewards: settings.gate.stewards.clone(),
            waiting: Mutex::default(),
            wake: async_channel::bounded(1),
            stopping: Mutex::default(),
            drain: settings.gate.drain,
            key,
            node,
            incarnation: Incarnation(now.as_nanos()),
        };
        Ok(GateShell { shared: Arc::new(shared) })
    }

    /// Starts the gate's tasks.
    pub fn start(&self) {
        let shared = &self.shared;
        for steward in &shared.stewards {
            let applying = Arc::clone(shared);
            let apply = Arc::new(move |items: Vec<_>| {
                let mut actions = Vec::new();
                let mut gate = lock(&applying.gate);
                for item in &items {
                    gate.apply(BootClock.now(), item, &mut actions);
                }
                drop(gate);
                applying.perform(actions);
            });
            let (key, node) = (shared.key.clone(), shared.node);
            let follow = follow_steward(*steward, key, node, shared.incarnation, apply);
            shared.executor.spawn(follow).detach();
        }
        shared.executor.spawn(drive(Arc::clone(shared))).detach();
        shared.executor.spawn(accept(Arc::clone(shared))).detach();
        shared.executor.spawn(accept_admin(Arc::clone(shared))).detach();
    }

    /// Says that it is not ready, finishes what it has and ends.
    pub async fn stop(&self) {
        *lock(&self.shared.stopping) = true;
        Timer::after(self.shared.drain).await;
        while !lock(&self.shared.waiting).is_empty() {
            Timer::after(Duration::from_millis(20)).await;
        }
    }

    /// Whether the gate takes requests.
    pub fn ready(&self) -> bool {
        lock(&self.shared.gate).ready() && !*lock(&self.shared.stopping)
    }
}

impl Shared {
    fn perform(&self, actions: Vec<Action>) {
        let waiting = lock(&self.waiting);
        for action in actions {
            let call = match action {
                Action::Attempt { call, .. }
                | Action::Cancel { call, .. }
                | Action::Forward { call, .. }
                | Action::Abort { call }
                | Action::Refuse { call, .. } => call,
                Action::Peer { .. } => continue,
            };
            if let Some(tx) = waiting.get(&call) {
                // A request that has ended takes no more actions.
                let _ = tx.try_send(action);
            }
        }
        drop(waiting);
        // A full channel means that a wake-up is already under way.
        let _ = self.wake.0.try_send(());
    }

    fn event(&self, call: CallId, event: Event) {
        let mut actions = Vec::new();
        lock(&self.gate).event(BootClock.now(), call, event, &mut actions);
        self.perform(actions);
    }
}

async fn drive(shared: Arc<Shared>) {
    loop {
        let now = BootClock.now();
        let mut actions = Vec::new();
        let mut counts = Vec::new();
        let deadline = {
            let mut gate = lock(&shared.gate);
            gate.tick(now, &mut actions);
            gate.take_counts(&mut counts);
            gate.next_deadline()
        };
        for count in counts {
            shared.counters.add(count.name.as_str(), count.count);
        }
        if !actions.is_empty() {
            shared.perform(actions);
        }
        let woken = async {
            // The channel lives as long as the gate.
            let _ = shared.wake.1.recv().await;
        };
        match deadline {
            Some(at) => {
                let sleep = async {
                    Timer::after(at.since(now)).await;
                };
                future::or(sleep, woken).await;
            }
            None => woken.await,
        }
    }
}

async fn accept(shared: Arc<Shared>) {
    let mut incoming = shared.listener.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        shared.executor.spawn(serve_caller(Arc::clone(&shared), stream)).detach();
    }
}

async fn serve_caller(shared: Arc<Shared>, stream: TcpStream) {
    // A connection that breaks concerns its caller only.
    let _ = async_h1::accept(stream, |req| serve_request(Arc::clone(&shared), req)).await;
}

async fn serve_request(shared: Arc<Shared>, mut req: Request) -> http_types::Result<Response> {
    let body = req.body_bytes().await?;
    let (tx, rx) = async_channel::unbounded();
    let mut actions = Vec::new();
    let call = {
        let mut gate = lock(&shared.gate);
        let call = gate.begin(BootClock.now(), &HttpHead(&req), &mut actions);
        lock(&shared.waiting).insert(call, tx);
        call
    };
    shared.perform(actions);
    let answer = run_call(&shared, call, &req, &body, rx).await;
    lock(&shared.waiting).remove(&call);
    Ok(answer)
}

async fn run_call(
    shared: &Shared,
    call: CallId,
    req: &Request,
    body: &[u8],
    rx: Receiver<Action>,
) -> Response {
    let mut answer = None;
    while let Ok(action) = rx.recv().await {
        match action {
            Action::Attempt { attempt, to, grant, time_left, .. } => {
                let id = format!("{}-{}-{}", shared.node, call.0, attempt.0);
                let may_send = || lock(&shared.gate).may_send(BootClock.now(), call, attempt);
                match send(to, grant, time_left, &id, req, body, may_send).await {
                    Ok(res) => {
                        let event = answered(attempt, &res);
                        answer = Some(res);
                        shared.event(call, event);
                    }
                    Err(failure) => {
                        shared.event(call, Event::Failed { attempt, failure, replayable: true });
                    }
                }
            }
            Action::Forward { attempt, .. } => {
                shared.event(call, Event::Completed { attempt });
                let mut res = answer.take().unwrap_or_else(|| refusal(ErrorKind::BadAnswer, None));
                res.insert_header("bay-outcome", "done");
                return res;
            }
            Action::Refuse { kind, retry_after, .. } => {
                return refusal(kind, retry_after);
            }
            Action::Cancel { .. } | Action::Abort { .. } | Action::Peer { .. } => {}
        }
    }
    refusal(ErrorKind::NotReady, None)
}

fn answered(attempt: AttemptId, res: &Response) -> Event {
    let outcome = res.header("bay-outcome").map(|values| values.as_str());
    let reason = res.header("bay-reason").and_then(|values| NotRunReason::parse(values.as_str()));
    let not_run = if outcome == Some("not-run") { reason } else { None };
    let load = res.header("bay-load").and_then(|values| LoadReport::parse(values.as_str()));
    Event::Answered { attempt, status: res.status() as u16, not_run, load }
}

async fn send<F>(
    to: SocketAddr,
    grant: Option<SliceGrant>,
    time_left: Duration,
    id: &str,
    req: &Request,
    body: &[u8],
    may_send: F,
) -> Result<Response, AttemptFailure>
where
    F: FnOnce() -> bool,
{
    let connect = async { TcpStream::connect(to).await.ok() };
    let late = async {
        Timer::after(time_left).await;
        None
    };
    let stream = future::or(connect, late).await.ok_or(AttemptFailure::NotConnected)?;
    if !may_send() {
        return Err(AttemptFailure::NotConnected);
    }
    let exchange = async { exchange(stream, to, grant, id, req, body).await };
    let late = async {
        Timer::after(time_left).await;
        Err(AttemptFailure::Silent)
    };
    future::or(exchange, late).await
}

async fn exchange(
    stream: TcpStream,
    to: SocketAddr,
    grant: Option<SliceGrant>,
    id: &str,
    req: &Request,
    body: &[u8],
) -> Result<Response, AttemptFailure> {
    let path = req.url().path();
    let query = req.url().query().map_or(String::new(), |query| format!("?{query}"));
    let url = Url::parse(&format!("http://{to}{path}{query}"));
    let mut forwarded = Request::new(req.method(), url.map_err(|_| AttemptFailure::NotConnected)?);
    for (name, values) in req.iter() {
        if name != "connection" && name != "content-length" && name != "transfer-encoding" {
            forwarded.insert_header(name, values);
        }
    }
    forwarded.insert_header("bay-request", id);
    if let Some(grant) = grant {
        forwarded.insert_header("bay-slice", grant.slice.0.to_string());
        forwarded.insert_header("bay-token", grant.token.0.to_string());
    }
    forwarded.set_body(body);
    let mut res = async_h1::connect(stream, forwarded).await.map_err(|_| AttemptFailure::Lost)?;
    let declared = res.len();
    let body = res.body_bytes().await.map_err(|_| AttemptFailure::Cut)?;
    if declared != Some(body.len()) {
        return Err(AttemptFailure::Cut);
    }
    let echoed = res.header("bay-request").map(|values| values.as_str());
    if echoed.is_some_and(|echoed| echoed != id) {
        return Err(AttemptFailure::BadAnswer);
    }
    res.set_body(body);
    Ok(res)
}

async fn accept_admin(shared: Arc<Shared>) {
    let mut incoming = shared.admin.incoming();
    while let Some(stream) = incoming.next().await {
        let Ok(stream) = stream else { continue };
        let serving = Arc::clone(&shared);
        let work = async move {
            // A connection that breaks concerns its caller only.
            let _ = async_h1::accept(stream, |req| answer_admin(Arc::clone(&serving), req)).await;
        };
        shared.executor.spawn(work).detach();
    }
}

async fn answer_admin(shared: Arc<Shared>, req: Request) -> http_types::Result<Response> {
    let ready = || lock(&shared.gate).ready() && !*lock(&shared.stopping);
    let mut res = Response::new(200);
    match req.url().path() {
        "/live" => res.set_body("live\n"),
        "/ready" if ready() => res.set_body("ready\n"),
        "/ready" => {
            res.set_status(StatusCode::ServiceUnavailable);
            res.set_body("not ready\n");
        }
        "/counters" => res.set_body(serde_json::to_string(&shared.counters.totals())?),
        _ => res.set_status(StatusCode::NotFound),
    }
    Ok(res)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
