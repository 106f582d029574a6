use std::fmt;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use bay_router::{
    AttemptFields, AttemptResult, OwnerMap, Permit, RequestState, RetryDecision, RouteKind,
    RoutingDecision, SelectedServer,
};
use bay_stream::ReaderState;
use bay_time::{BootClock, Clock, Time};
use bay_types::ErrorKind;
use futures_lite::future;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::attempt::{ExchangeOutput, OutgoingRequest, ServerAnswer, exchange};
use super::permits;
use super::quotas;
use super::reply::Reply;
use super::request_head::RequestHead;
use super::server_connection;
use super::server_notices::{self, MISDIRECTED};
use super::shell_state::ShellState;
use super::stream_record::StreamRecord;
use super::stream_source::StreamSource;
use crate::gate_shell::{ConnectError, PooledConnection};

/// Idle time after which a connection is not reused for a request that is not idempotent. If the
/// server has closed the connection meanwhile, it is unknown whether the request ran.
pub(crate) const NON_IDEMPOTENT_REUSE_TIME: Duration = Duration::from_millis(1_500);

/// Number of bytes at the start of a body that go into the request's digest.
const DIGEST_BYTES: usize = 4 * 1024;

/// Pause before the router picks a server again when all allowed connections to the last one are in
/// use.
const CONNECTION_PAUSE: Duration = Duration::from_millis(5);

/// `Retry-After` of a request that a stopping router refuses; another router can take it at once.
pub(crate) const STOP_RETRY_AFTER: Duration = Duration::ZERO;

/// `Retry-After` of a request that is refused before a server was picked for it.
const NOT_ADMITTED_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after the start of the process within which the router expects to become ready.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Longest time that a request waits for a router that starts. Most callers repeat a refused request
/// only once or twice, so that a refusal by each router that starts would lose it.
const MAX_READY_WAIT: Duration = Duration::from_millis(400);

/// Interval between checks whether the router is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Request of a caller with its whole body.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Vec<u8>,
    /// What is known of the caller as a reader.
    pub(crate) caller: ReaderState,
}

/// Records on drop that an attempt has ended, so that a cancelled one counts too.
pub(crate) struct AttemptGuard {
    pub(crate) shell: Rc<ShellState>,
    pub(crate) selected: SelectedServer,
}

impl fmt::Debug for AttemptGuard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AttemptGuard").field("selected", &self.selected).finish_non_exhaustive()
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.shell.router.borrow_mut().record_finished(&self.selected);
    }
}

/// Serves a request: attempts it at servers until one answers or the router gives up.
pub(crate) async fn serve_request(shell: Rc<ShellState>, incoming: IncomingRequest) -> Reply {
    let IncomingRequest { head, body, caller } = incoming;
    let mut request = match admit_request(&shell, &head).await {
        Ok(request) => request,
        Err(kind) => {
            let retry_after = match kind {
                ErrorKind::KeysOutdated => {
                    let mut router = shell.router.borrow_mut();
                    let deadline = head.fields.deadline;
                    Some(router.keys_outdated_retry_after(&head.host, &head.path, deadline))
                }
                _ => kind.has_retry_after().then_some(NOT_ADMITTED_RETRY_AFTER),
            };
            return refuse_request(&shell, &head, None, kind, retry_after);
        }
    };
    request.body_bytes = body.len() as u64;
    request.digest = request_digest(&head, &body);
    let has_accounts = shell.router.borrow().has_accounts();
    let outgoing = OutgoingRequest::new(head, body, !has_accounts);
    let outcome = run_attempts(&shell, &mut request, &outgoing, caller).await;
    if let Some(error) = outcome.error {
        shell.router.borrow_mut().refund_quota(BootClock.now(), &mut request, error);
    }
    let elapsed = BootClock.now().since(request.arrived_at);
    let result = if outcome.error.is_some() { "refused" } else { "answered" };
    let name = format!("request.{}.{result}", request.service);
    shell.latencies.borrow_mut().record(&name, elapsed);
    log_request(&shell, &outgoing.head, &request, &outcome);
    outcome.reply
}

/// Admits a request. While the router starts, it waits briefly for the configuration and the servers.
///
/// # Errors
/// Returns the reason if the request is refused.
async fn admit_request(shell: &ShellState, head: &RequestHead) -> Result<RequestState, ErrorKind> {
    let arrived_at = BootClock.now();
    loop {
        let now = BootClock.now();
        let admitted = shell.router.borrow_mut().admit(now, &head.host, &head.path, &head.fields);
        let may_wait = now.since(shell.started_at) < START_TIME
            && now.since(arrived_at) < MAX_READY_WAIT
            && !shell.cutoff.is_raised();
        match admitted {
            Err(ErrorKind::NotReady) if may_wait => {
                Timer::after(READY_POLL_INTERVAL).await;
            }
            admitted => {
                return admitted.map(|mut request| {
                    request.count_time_from(arrived_at);
                    request
                });
            }
        }
    }
}

/// Returns a digest of the method, target, host and start of the body. It recognizes a repeated
/// request of any caller.
fn request_digest(head: &RequestHead, body: &[u8]) -> u64 {
    let body = xxh3_64(&body[..body.len().min(DIGEST_BYTES)]);
    xxh3_64_with_seed(
        head.method_and_target.as_bytes(),
        xxh3_64_with_seed(head.host.as_bytes(), body),
    )
}

/// Final result of a request.
struct RequestOutcome {
    reply: Reply,
    status: u16,
    /// Reason why the router gave up; `None` for a server's answer.
    error: Option<ErrorKind>,
}

/// Attempts a request until there is an answer to deliver or the router gives up.
async fn run_attempts(
    shell: &Rc<ShellState>,
    request: &mut RequestState,
    outgoing: &OutgoingRequest,
    caller: ReaderState,
) -> RequestOutcome {
    let mut answer: Option<ServerAnswer> = None;
    let deliver = |answer: ServerAnswer| {
        let status = answer.status;
        RequestOutcome { reply: Reply::from_server(answer), status, error: None }
    };
    let give_up = |request: &RequestState, kind, retry_after| {
        let reply = refuse_request(shell, &outgoing.head, Some(request), kind, retry_after);
        RequestOutcome { reply, status: shell.wire.error_status(kind), error: Some(kind) }
    };
    let give_up_at_stop = |request: &RequestState| match request.may_have_run {
        true => give_up(request, ErrorKind::DeadlineUnknown, None),
        false => give_up(request, ErrorKind::NotReady, Some(STOP_RETRY_AFTER)),
    };
    loop {
        let now = BootClock.now();
        if !shell.may_send(now, request.time_left(now), Duration::ZERO) {
            return match answer {
                Some(answer) => deliver(answer),
                None => give_up_at_stop(request),
            };
        }
        let decision = shell.router.borrow_mut().pick_server(now, request);
        quotas::send_urgent_usage(shell, now);
        let selected = match decision {
            // The server is known to take too long for this router's stop.
            RoutingDecision::Send(selected)
                if !shell.may_send(now, request.time_left(now), selected.expected_time()) =>
            {
                return match answer {
                    Some(answer) => deliver(answer),
                    None => give_up_at_stop(request),
                };
            }
            RoutingDecision::Send(selected) => selected,
            RoutingDecision::Acquire(permit_request) => {
                let permit = permits::acquire(shell, permit_request).await;
                if let Permit::Granted(wait) = permit {
                    Timer::after(wait).await;
                }
                let now = BootClock.now();
                let server = permit_request.server;
                shell.router.borrow_mut().record_permit(now, request, server, permit);
                continue;
            }
            RoutingDecision::Wait(until) => {
                Timer::after(until.since(now)).await;
                continue;
            }
            RoutingDecision::Refuse(kind, retry_after) => {
                // A server's answer to an earlier attempt takes precedence over a refusal.
                return match answer {
                    Some(answer) => deliver(answer),
                    None => give_up(request, kind, retry_after),
                };
            }
        };
        let (result, received) = run_attempt(shell, request, outgoing, &selected, caller).await;
        if let Some(received) = received {
            server_notices::record_request_answer(shell, request, &selected, &received);
            if received.body.is_streamed() {
                // The result is recorded at the end of the body.
                return deliver(received);
            }
            answer = Some(received);
        }
        let Some(result) = result else {
            Timer::after(CONNECTION_PAUSE).await;
            continue;
        };
        let elapsed = BootClock.now().since(now);
        let decision = shell.router.borrow_mut().handle_result(
            BootClock.now(),
            request,
            &selected,
            result,
            elapsed,
        );
        match (decision, answer.take()) {
            (RetryDecision::Deliver, Some(answer)) => return deliver(answer),
            // A failure that the server reported is delivered if later attempts bring no answer.
            (RetryDecision::Retry, earlier) => {
                answer = earlier.filter(|earlier| !earlier.fields.not_run)
            }
            (RetryDecision::Refuse(kind, after), _) => return give_up(request, kind, after),
            (RetryDecision::Deliver, None) => {
                return give_up(request, ErrorKind::BadAnswer, None);
            }
        }
    }
}

/// Makes one attempt at a server. Returns no result if nothing was sent because all allowed
/// connections were in use or the request's time had run out.
async fn run_attempt(
    shell: &Rc<ShellState>,
    request: &mut RequestState,
    outgoing: &OutgoingRequest,
    selected: &SelectedServer,
    caller: ReaderState,
) -> (Option<AttemptResult>, Option<ServerAnswer>) {
    let has_id = outgoing.head.fields.id.as_deref().is_some_and(|id| !id.is_empty());
    let mut pooled = match connect(shell, request, selected, has_id).await {
        Ok(pooled) => pooled,
        Err(ConnectError::AtLimit) => return (None, None),
        Err(ConnectError::Refused) => return (Some(AttemptResult::NotConnected), None),
    };
    let time_left = request.time_left(BootClock.now());
    // The server or the API key may have become unusable while the connection was opened; the next
    // pick decides then.
    let now = BootClock.now();
    let identifier = {
        let router = shell.router.borrow();
        let is_usable = router.may_send(now, selected) && router.check_key(now, request).is_ok();
        let may_send = is_usable && shell.may_send(now, time_left, Duration::ZERO);
        router.directory().identifier(selected.server).filter(|_| may_send)
    };
    let Some(identifier) = identifier.filter(|_| !time_left.is_zero()) else {
        pooled.return_to_pool();
        return (None, None);
    };
    shell.router.borrow_mut().record_sent(BootClock.now(), selected, request);
    let guard = AttemptGuard { shell: Rc::clone(shell), selected: *selected };
    let account = request.account.as_ref().map(|(account, _)| Arc::clone(account));
    let account = account.as_ref().map(|account| account.identifier.as_str());
    let fields = AttemptFields { server: identifier.as_str(), time_left, account };
    let download = (request.route.kind == RouteKind::Download).then_some(caller);
    let sent_at = BootClock.now();
    let work = exchange(shell, &mut pooled, outgoing, &fields, download);
    let timer = async {
        future::or(sleep(time_left), shell.cutoff.wait()).await;
        None
    };
    let exchange_result = future::or(async { Some(work.await) }, timer).await;
    if let Some(Ok(ExchangeOutput { answer, rest: Some(rest), is_reusable })) = exchange_result {
        let elapsed = BootClock.now().since(sent_at);
        let record = StreamRecord::new(guard, request.clone(), answer.status, elapsed);
        let source = StreamSource { pooled, rest, record, is_reusable };
        return (None, Some(answer.into_streamed(source)));
    }
    drop(guard);
    match exchange_result {
        Some(Ok(ExchangeOutput { answer, is_reusable, .. })) => {
            if is_reusable {
                pooled.return_to_pool();
            }
            let result = match answer.status {
                MISDIRECTED => AttemptResult::Misdirected,
                status => AttemptResult::Answered { status, not_run: answer.fields.not_run },
            };
            (Some(result), Some(answer))
        }
        Some(Err(kind)) => (Some(AttemptResult::Lost(kind)), None),
        None => {
            // The connection may be dead, and others to the server with it: none is reused.
            drop(pooled);
            shell.pool.invalidate(selected.address);
            (Some(AttemptResult::TimedOut), None)
        }
    }
}

async fn connect(
    shell: &Rc<ShellState>,
    request: &RequestState,
    selected: &SelectedServer,
    has_id: bool,
) -> Result<PooledConnection, ConnectError> {
    let process = selected.process();
    let max_idle = match request.route.is_idempotent() {
        // Only the answer on a new connection is certain to be that to a request without an identifier.
        _ if !has_id => Duration::ZERO,
        true => Duration::MAX,
        // A late copy of the answer to an earlier attempt would name the request, too.
        false if request.attempts > 0 && request.key.is_some() => Duration::ZERO,
        false => NON_IDEMPOTENT_REUSE_TIME,
    };
    let time_left = request.time_left(BootClock.now());
    let timer = async {
        sleep(time_left).await;
        Err(ConnectError::Refused)
    };
    let mut cap = selected.max_connections;
    if request.route.kind == RouteKind::Download
        && shell.download_policy.is_short(&shell.download_budget)
    {
        // Other requests keep a connection beside those that wait for slow readers.
        cap = cap.min(shell.limits.max_connections_per_target).saturating_sub(1).max(1);
    }
    let connected = server_connection::connect(shell, &process, cap, max_idle);
    future::or(connected, timer).await
}

async fn sleep(time: Duration) {
    Timer::after(time).await;
}

/// Counts a refusal and builds the reply. A request that was not admitted is logged here.
fn refuse_request(
    shell: &ShellState,
    head: &RequestHead,
    request: Option<&RequestState>,
    kind: ErrorKind,
    retry_after: Option<Duration>,
) -> Reply {
    shell.counters.add(kind.counter(), 1);
    if request.is_none() {
        let id = head.fields.id.as_deref().unwrap_or_default();
        log::info!(request = id, host = head.host, path = head.path, error = kind.as_str(),
            config = shell.config_version(); "request refused");
    }
    Reply::refusal(&*shell.wire, kind, retry_after)
}

/// Logs the result of a request with the inputs of the last routing decision.
fn log_request(
    shell: &ShellState,
    head: &RequestHead,
    request: &RequestState,
    outcome: &RequestOutcome,
) {
    let id = head.fields.id.as_deref().unwrap_or_default();
    let router = shell.router.borrow();
    let owners = router.owners(request.service).map(OwnerMap::version).unwrap_or_default();
    let selected = request.last_selected;
    log::info!(
        request = id,
        route = request.route.name.as_str(),
        service:% = request.service,
        key = request.key.map_or_else(String::new, |key| key.to_string()),
        account = request.account.as_ref().map_or("", |(account, _)| account.name.as_str()),
        status = outcome.status,
        error = outcome.error.map_or("", ErrorKind::as_str),
        server = selected.map_or_else(String::new, |selected| selected.server.to_string()),
        expected_ms = selected.map_or(0, |selected| selected.expected_ms as u64),
        occupancy = selected.map_or(0, |selected| selected.occupancy.round() as u64),
        attempts = request.attempts,
        unsent = request.failed_connects,
        config = shell.config_version(),
        owners = format!("{}.{}", owners.0.0, owners.1),
        took_ms = millis(BootClock.now(), request.arrived_at);
        "request answered"
    );
}

fn millis(now: Time, since: Time) -> u64 {
    now.since(since).as_millis() as u64
}
