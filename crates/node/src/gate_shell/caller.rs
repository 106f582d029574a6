use std::future::poll_fn;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};

use async_io::Async;
use bay_call::{AttemptId, CallId, Event};
use bay_types::ErrorKind;
use futures_lite::future;
use http_types::{Method, Response};

use super::admission::AdmissionPermit;
use super::attempt::OutgoingRequest;
use super::call_task::{CallResult, CallTask};
use super::caller_connection::{BodyPrefix, CallerConnection};
use super::head_codec::{decode_request, encode_refusal, encode_request};
use super::mailbox::Mailbox;
use super::shell_state::{Phase, ShellState};
use super::target_response::{ForwardError, TargetResponse, write_to_caller};
use crate::http_head::{HttpHead, host_name};
use crate::http1::connection::Connection;
use crate::http1::lock;
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::request_check::{RequestInfo, check_request};
use crate::http1::watchdog::IoTimeout;
use crate::refusal::refusal_response;

/// Maximum number of bytes that are read and dropped after the last response. Closing a connection
/// with unread bytes would reset it, and the caller might lose the response.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// Next step on a connection after a request.
enum NextStep {
    /// Wait for another request.
    KeepOpen(Connection),
    /// Close the connection after the caller had time to read the response.
    Linger(Connection),
    /// Send this error, then close the connection.
    Refuse(Connection, ErrorKind),
    /// Close the connection at once.
    Abort,
}

/// Reason why a connection yields no further request.
enum Rejection {
    /// The request is refused with this error.
    Refuse(ErrorKind),
    /// The connection is closed without a response.
    Close,
}

/// Serves the requests on a caller's connection one after the other.
pub(crate) async fn serve_caller(
    shared: Arc<ShellState>,
    stream: Async<TcpStream>,
    permit: AdmissionPermit,
) {
    let mut connection = Connection::new(stream, &shared.resources);
    let mailbox = Arc::new(Mailbox::default());
    loop {
        let request = match next_request(&shared, &mut connection).await {
            Ok(request) => request,
            Err(Rejection::Refuse(kind)) => {
                refuse(&shared, connection, kind).await;
                break;
            }
            Err(Rejection::Close) => break,
        };
        match serve_request(&shared, connection, &mailbox, request).await {
            NextStep::KeepOpen(open) => connection = open,
            NextStep::Linger(closing) => {
                linger(&shared, closing).await;
                break;
            }
            NextStep::Refuse(refused, kind) => {
                refuse(&shared, refused, kind).await;
                break;
            }
            NextStep::Abort => break,
        }
    }
    drop(permit);
}

/// Sends an error on a connection that was not admitted, and closes it.
pub(crate) async fn reject_connection(
    shared: Arc<ShellState>,
    stream: Async<TcpStream>,
    kind: ErrorKind,
) {
    let connection = Connection::new(stream, &shared.resources);
    refuse(&shared, connection, kind).await;
}

/// Raw head of a request that passed the checks.
struct CheckedHead {
    head: Vec<u8>,
    info: RequestInfo,
}

async fn next_request(
    shared: &ShellState,
    connection: &mut Connection,
) -> Result<CheckedHead, Rejection> {
    let limits = &shared.limits;
    if connection.buffered().is_empty() {
        connection.release_buffer();
        connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
        if shared.phase() == Phase::Closing && connection.is_idle() {
            return Err(Rejection::Close);
        }
        while !matches!(connection.fill().await, Ok(1..)) {
            // A request that arrived just as the timeout expired is still served.
            if !connection.has_timed_out() || connection.is_idle() {
                return Err(Rejection::Close);
            }
            connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
        }
    }
    connection.set_timeout(IoTimeout::Total(limits.head_timeout));
    let mut head = match read_raw_head(connection, limits.max_head_bytes).await {
        Ok(head) => head,
        Err(RawHeadError::TimedOut) => return Err(Rejection::Refuse(ErrorKind::SlowCaller)),
        Err(RawHeadError::TooLarge) => return Err(Rejection::Refuse(ErrorKind::HeadTooLarge)),
        Err(RawHeadError::NoMemory) => return Err(Rejection::Refuse(ErrorKind::GateOverloaded)),
        Err(RawHeadError::Closed | RawHeadError::Truncated) => return Err(Rejection::Close),
    };
    connection.set_timeout(IoTimeout::Unlimited);
    let info = check_request(&mut head, limits.max_headers).map_err(Rejection::Refuse)?;
    Ok(CheckedHead { head, info })
}

async fn serve_request(
    shared: &ShellState,
    connection: Connection,
    mailbox: &Arc<Mailbox>,
    checked: CheckedHead,
) -> NextStep {
    let CheckedHead { head, info } = checked;
    let Some(req) = decode_request(head, &info).await else {
        return NextStep::Refuse(connection, ErrorKind::BadRequest);
    };
    let max_body = shared.max_body(host_name(&req).unwrap_or_default());
    let mut caller = CallerConnection::new(connection, info.framing, max_body.unwrap_or_default());
    let body = match read_prefix(shared, &mut caller, &info, max_body).await {
        Ok(body) => body,
        Err(Some(kind)) => return NextStep::Refuse(caller.connection, kind),
        Err(None) => return NextStep::Abort,
    };
    let method = req.method();
    let head = HttpHead::new(&req, &body.bytes);
    let mut guard =
        CallGuard { shared, call: shared.begin_call(&head, mailbox), mailbox, is_finished: false };
    let Some(head) = encode_request(req, body.framing).await else {
        return NextStep::Refuse(caller.connection, ErrorKind::BadRequest);
    };
    let request = OutgoingRequest { head, body, is_head_request: method == Method::Head };
    let caller = Mutex::new(caller);
    let mut task = CallTask::new(shared, guard.call, mailbox, &request, &caller);
    let result = poll_fn(|cx| task.poll(cx)).await;
    drop(task);
    guard.is_finished = true;
    let unread = !lock(&caller).reader.is_done();
    let close = unread || info.should_close || shared.phase() != Phase::Serving;
    let written = match result {
        CallResult::Forward(attempt, response) => {
            guard.is_finished = false;
            forward(&mut guard, attempt, *response, &caller, method, close).await
        }
        CallResult::Refuse { kind, retry_after } => {
            let res = refusal_response(kind, retry_after);
            write_refusal(shared, &caller, res, method, close).await
        }
        CallResult::NoResponse => false,
    };
    drop(guard);
    drop(request);
    let caller = caller.into_inner().unwrap_or_else(PoisonError::into_inner);
    match (written, close) {
        (false, _) => NextStep::Abort,
        (true, true) => NextStep::Linger(caller.connection),
        (true, false) => NextStep::KeepOpen(caller.connection),
    }
}

/// Ends a call when dropped: removes its mailbox, and reports that the caller is gone if the call
/// is not finished.
struct CallGuard<'a> {
    shared: &'a ShellState,
    call: CallId,
    mailbox: &'a Mailbox,
    is_finished: bool,
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.shared.handle_event(self.call, Event::CallerGone);
        }
        self.shared.remove_mailbox(self.call);
        self.mailbox.clear();
    }
}

async fn read_prefix(
    shared: &ShellState,
    caller: &mut CallerConnection,
    info: &RequestInfo,
    max_body: Option<u64>,
) -> Result<BodyPrefix, Option<ErrorKind>> {
    let held = shared.resources.buffer_gauge.track();
    let Some(max_body) = max_body else {
        // The host is unknown, so the gate will refuse the request.
        return Ok(BodyPrefix::unread(info.framing, held));
    };
    if info.framing.len().is_some_and(|length| length > max_body) {
        return Err(Some(ErrorKind::BodyTooLarge));
    }
    caller.read_prefix(info, &shared.limits, held).await
}

/// Forwards a response; returns whether the caller got all of it.
async fn forward(
    guard: &mut CallGuard<'_>,
    attempt: AttemptId,
    response: TargetResponse,
    caller: &Mutex<CallerConnection>,
    method: Method,
    close: bool,
) -> bool {
    let shared = guard.shared;
    let forwarding = response.forward(caller, method, close, &shared.limits);
    let aborted = async {
        poll_fn(|cx| guard.mailbox.poll_abort(cx)).await;
        Err(ForwardError::Aborted)
    };
    let result = future::or(forwarding, aborted).await;
    let event = match result {
        Ok(()) => Event::Completed { attempt },
        Err(ForwardError::Target(failure)) => Event::Failed { attempt, failure, replayable: false },
        Err(ForwardError::Caller | ForwardError::Aborted) => Event::CallerGone,
    };
    shared.handle_event(guard.call, event);
    guard.is_finished = true;
    result.is_ok()
}

async fn write_refusal(
    shared: &ShellState,
    caller: &Mutex<CallerConnection>,
    res: Response,
    method: Method,
    close: bool,
) -> bool {
    let Some(bytes) = encode_refusal(res, method, close).await else {
        return false;
    };
    write_to_caller(caller, &bytes, &shared.limits).await.is_ok()
}

/// Sends an error and closes the connection.
async fn refuse(shared: &ShellState, mut connection: Connection, kind: ErrorKind) {
    let res = shared.record_refusal(kind);
    connection.set_timeout(shared.limits.body_timeout());
    let Some(bytes) = encode_refusal(res, Method::Get, true).await else {
        return;
    };
    if connection.write_all(&bytes).await.is_ok() {
        linger(shared, connection).await;
    }
}

async fn linger(shared: &ShellState, mut connection: Connection) {
    connection.linger(IoTimeout::Total(shared.limits.linger_timeout), MAX_LINGER_BYTES).await;
}
