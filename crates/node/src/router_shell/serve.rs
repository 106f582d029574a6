use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{
    AttemptFields, AttemptResult, OwnerMap, RequestState, RetryDecision, RoutingDecision,
    SelectedServer,
};
use bay_time::{BootClock, Clock, Time};
use bay_types::ErrorKind;
use futures_lite::future;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::attempt::{Outgoing, ServerAnswer, exchange};
use super::reply::Reply;
use super::request_head::RequestHead;
use super::shell::Shell;
use crate::gate_shell::{ConnectError, PooledConnection};

/// Longest time for a connection to a server to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time after which a connection is not used for a request that may run once only: if its
/// server has closed it in the meantime, nobody knows whether the request ran.
const ONCE_REUSE_TIME: Duration = Duration::from_millis(1_500);

/// Bytes of a body that tell it apart from others.
const DIGEST_BYTES: usize = 4 * 1024;

/// Pause while all of this router's connections to a server are in use.
const CONNECTION_PAUSE: Duration = Duration::from_millis(5);

/// A caller's request with its body.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
}

/// Tells the router that an attempt has ended, also if it is cancelled.
struct InFlight {
    shell: Rc<Shell>,
    choice: SelectedServer,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shell.router.borrow_mut().record_finished(&self.choice);
    }
}

/// Serves a request: picks servers until one has answered or the request is given up.
pub(crate) async fn serve(shell: Rc<Shell>, incoming: Incoming) -> Reply {
    let Incoming { head, body } = incoming;
    let now = BootClock.now();
    let admitted = shell.router.borrow_mut().admit(now, &head.host, &head.path, &head.fields);
    let mut request = match admitted {
        Ok(request) => request,
        Err(kind) => {
            let after = kind.has_retry_after().then_some(Duration::from_millis(300));
            return refuse(&shell, &head, None, kind, after);
        }
    };
    request.body_bytes = body.len() as u64;
    request.digest = digest(&head, &body);
    let outgoing = Outgoing::new(head, body);
    let served = attempts(&shell, &mut request, &outgoing).await;
    let took = BootClock.now().since(request.arrived_at);
    let outcome = if served.error.is_some() { "refused" } else { "answered" };
    let name = format!("request.{}.{outcome}", request.service);
    shell.latencies.borrow_mut().record(&name, took);
    log_request(&shell, &outgoing.head, &request, &served);
    served.reply
}

/// Tells requests apart by what a server is asked to do, whoever sends them again.
fn digest(head: &RequestHead, body: &[u8]) -> u64 {
    let body = xxh3_64(&body[..body.len().min(DIGEST_BYTES)]);
    xxh3_64_with_seed(head.target.as_bytes(), xxh3_64_with_seed(head.host.as_bytes(), body))
}

/// How a request ended.
struct Served {
    reply: Reply,
    status: u16,
    /// Why the router gave it up, if it did.
    error: Option<ErrorKind>,
}

async fn attempts(shell: &Rc<Shell>, request: &mut RequestState, outgoing: &Outgoing) -> Served {
    let mut answer: Option<ServerAnswer> = None;
    let deliver = |answer: ServerAnswer| {
        let status = answer.status;
        Served { reply: Reply::answer(answer), status, error: None }
    };
    let give_up = |request: &RequestState, kind, after| {
        let reply = refuse(shell, &outgoing.head, Some(request), kind, after);
        Served { reply, status: shell.wire.status(kind), error: Some(kind) }
    };
    loop {
        let now = BootClock.now();
        let pick = shell.router.borrow_mut().pick_server(now, request);
        let choice = match pick {
            RoutingDecision::Send(choice) => choice,
            RoutingDecision::Wait(until) => {
                Timer::after(until.since(now)).await;
                continue;
            }
            RoutingDecision::Refuse(kind, after) => {
                // What a server answered before goes before an answer of the router's own.
                return match answer {
                    Some(answer) => deliver(answer),
                    None => give_up(request, kind, after),
                };
            }
        };
        let (result, got) = attempt(shell, request, outgoing, &choice).await;
        if let Some(got) = got {
            if let Some(load) = got.fields.load {
                shell.router.borrow_mut().record_load(BootClock.now(), &choice, load);
            }
            answer = Some(got);
        }
        let Some(result) = result else {
            Timer::after(CONNECTION_PAUSE).await;
            continue;
        };
        let took = BootClock.now().since(now);
        let verdict = shell.router.borrow_mut().handle_result(
            BootClock.now(),
            request,
            &choice,
            result,
            took,
        );
        match (verdict, answer.take()) {
            (RetryDecision::Deliver, Some(answer)) => return deliver(answer),
            // A failure that the server reported is delivered if nothing better follows.
            (RetryDecision::Retry, kept) => answer = kept.filter(|kept| !kept.fields.not_run),
            (RetryDecision::Refuse(kind, after), _) => return give_up(request, kind, after),
            (RetryDecision::Deliver, None) => {
                return give_up(request, ErrorKind::BadAnswer, None);
            }
        }
    }
}

/// Makes one attempt; without a result, no connection was free.
async fn attempt(
    shell: &Rc<Shell>,
    request: &mut RequestState,
    outgoing: &Outgoing,
    choice: &SelectedServer,
) -> (Option<AttemptResult>, Option<ServerAnswer>) {
    let now = BootClock.now();
    let span = request.time_left(now).min(CONNECT_TIMEOUT);
    let longest_idle = match request.route.is_idempotent() {
        true => shell.limits.reuse_timeout,
        false => ONCE_REUSE_TIME,
    };
    let mut leased = match connect(shell, choice, span, longest_idle).await {
        Ok(leased) => leased,
        Err(ConnectError::AtLimit) => return (None, None),
        Err(ConnectError::Refused) => return (Some(AttemptResult::NotConnected), None),
    };
    let time_left = request.time_left(BootClock.now());
    if time_left.is_zero() {
        leased.return_to_pool();
        return (None, None);
    }
    shell.router.borrow_mut().record_sent(choice, request);
    let in_flight = InFlight { shell: Rc::clone(shell), choice: *choice };
    let fields = AttemptFields { server: choice.server, time_left };
    let work = exchange(shell, &mut leased, outgoing, &fields);
    let late = async {
        Timer::after(time_left).await;
        None
    };
    let ended = future::or(async { Some(work.await) }, late).await;
    drop(in_flight);
    match ended {
        Some(Ok((answer, reusable))) => {
            if reusable {
                leased.return_to_pool();
            }
            let result =
                AttemptResult::Answered { status: answer.status, not_run: answer.fields.not_run };
            (Some(result), Some(answer))
        }
        Some(Err(kind)) => (Some(AttemptResult::Lost(kind)), None),
        None => {
            // A connection on which nothing was answered may have gone silent for good.
            drop(leased);
            shell.pool.invalidate(choice.address);
            (Some(AttemptResult::TimedOut), None)
        }
    }
}

async fn connect(
    shell: &Rc<Shell>,
    choice: &SelectedServer,
    span: Duration,
    longest_idle: Duration,
) -> Result<PooledConnection, ConnectError> {
    let cap = choice.max_connections;
    let lease = shell.pool.acquire_with_max_idle(choice.address, cap, longest_idle);
    let late = async {
        Timer::after(span).await;
        Err(ConnectError::Refused)
    };
    future::or(lease, late).await
}

fn refuse(
    shell: &Shell,
    head: &RequestHead,
    request: Option<&RequestState>,
    kind: ErrorKind,
    after: Option<Duration>,
) -> Reply {
    shell.counters.add(kind.counter(), 1);
    if request.is_none() {
        let id = head.fields.id.as_deref().unwrap_or_default();
        log::info!(request = id, host = head.host, path = head.path, error = kind.as_str();
            "request refused");
    }
    Reply::refusal(&*shell.wire, kind, after)
}

/// Logs the decisions about a request with what decided them.
fn log_request(shell: &Shell, head: &RequestHead, request: &RequestState, served: &Served) {
    let id = head.fields.id.as_deref().unwrap_or_default();
    let router = shell.router.borrow();
    let owners = router.owners(request.service).map(OwnerMap::version).unwrap_or_default();
    let considered = request.last_candidate;
    log::info!(
        request = id,
        route = request.route.name.as_str(),
        service:% = request.service,
        key = request.key.map_or_else(String::new, |key| key.to_string()),
        status = served.status,
        error = served.error.map_or("", ErrorKind::as_str),
        server = considered.map_or_else(String::new, |choice| choice.server.to_string()),
        expected_ms = considered.map_or(0, |choice| choice.expected_ms as u64),
        occupancy = considered.map_or(0, |choice| choice.occupancy.round() as u64),
        attempts = request.attempts,
        unsent = request.failed_connects,
        config = router.config().map_or(0, |config| config.version),
        owners = format!("{}.{}", owners.0.0, owners.1),
        took_ms = millis(BootClock.now(), request.arrived_at);
        "request answered"
    );
}

fn millis(now: Time, since: Time) -> u64 {
    now.since(since).as_millis() as u64
}
