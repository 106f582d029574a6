use std::future::poll_fn;
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};

use async_io::Async;
use bay_call::{AttemptId, CallId, Event};
use bay_types::ErrorKind;
use futures_lite::future;
use http_types::{Method, Response};

use super::admission::Admitted;
use super::answer::{Answer, PassError, write};
use super::attempt::Outgoing;
use super::call_run::{CallEnd, CallRun};
use super::caller_side::{CallerSide, KeptBody};
use super::mailbox::Mailbox;
use super::messages::{decode_request, encode_refusal, encode_request};
use super::shared::{Phase, Shared};
use crate::http_head::{HttpHead, host_name};
use crate::http1::connection::Connection;
use crate::http1::lock;
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::request_check::{RequestInfo, check_request};
use crate::http1::watchdog::IoTimeout;
use crate::refusal::refusal;

/// Most bytes that are read from a caller after a refusal, so that it gets to read it.
const MAX_LINGER_BYTES: usize = 1 << 20;

/// What is left of a connection after a request.
enum Left {
    /// Another request may follow.
    Open(Connection),
    /// The caller is given time to read the answer, then the connection is closed.
    Closing(Connection),
    /// The caller gets this error, then the connection is closed.
    Refused(Connection, ErrorKind),
    /// The connection is broken off.
    Broken,
}

/// Why a request is not served.
enum Rejection {
    /// The caller gets this error.
    Answered(ErrorKind),
    /// Nobody waits for an answer.
    Unanswered,
}

/// Serves a caller's requests one after the other.
pub(crate) async fn serve_caller(
    shared: Arc<Shared>,
    stream: Async<TcpStream>,
    admitted: Admitted,
) {
    let mut connection = Connection::new(stream, &shared.resources);
    let mailbox = Arc::new(Mailbox::default());
    loop {
        let request = match next_request(&shared, &mut connection).await {
            Ok(request) => request,
            Err(Rejection::Answered(kind)) => {
                refuse(&shared, connection, kind).await;
                break;
            }
            Err(Rejection::Unanswered) => break,
        };
        match serve_request(&shared, connection, &mailbox, request).await {
            Left::Open(open) => connection = open,
            Left::Closing(closing) => {
                linger(&shared, closing).await;
                break;
            }
            Left::Refused(refused, kind) => {
                refuse(&shared, refused, kind).await;
                break;
            }
            Left::Broken => break,
        }
    }
    drop(admitted);
}

/// Answers a connection that is not admitted.
pub(crate) async fn turn_away(shared: Arc<Shared>, stream: Async<TcpStream>, kind: ErrorKind) {
    let connection = Connection::new(stream, &shared.resources);
    refuse(&shared, connection, kind).await;
}

/// A head that was read and checked.
struct CheckedHead {
    head: Vec<u8>,
    info: RequestInfo,
}

async fn next_request(
    shared: &Shared,
    connection: &mut Connection,
) -> Result<CheckedHead, Rejection> {
    let limits = &shared.limits;
    if connection.buffered().is_empty() {
        connection.release_buffer();
        connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
        if shared.phase() == Phase::Closing && connection.is_idle() {
            return Err(Rejection::Unanswered);
        }
        while !matches!(connection.fill().await, Ok(1..)) {
            // A request that came as the time ran out is served.
            if !connection.has_timed_out() || connection.is_idle() {
                return Err(Rejection::Unanswered);
            }
            connection.set_timeout(IoTimeout::Idle(limits.idle_timeout));
        }
    }
    connection.set_timeout(IoTimeout::Total(limits.head_timeout));
    let mut head = match read_raw_head(connection, limits.max_head_bytes).await {
        Ok(head) => head,
        Err(RawHeadError::TimedOut) => return Err(Rejection::Answered(ErrorKind::SlowCaller)),
        Err(RawHeadError::TooLarge) => return Err(Rejection::Answered(ErrorKind::HeadTooLarge)),
        Err(RawHeadError::Closed | RawHeadError::Truncated) => return Err(Rejection::Unanswered),
    };
    connection.set_timeout(IoTimeout::Unlimited);
    let info = check_request(&mut head, limits.max_headers).map_err(Rejection::Answered)?;
    Ok(CheckedHead { head, info })
}

async fn serve_request(
    shared: &Shared,
    connection: Connection,
    mailbox: &Arc<Mailbox>,
    checked: CheckedHead,
) -> Left {
    let CheckedHead { head, info } = checked;
    let Some(req) = decode_request(head, &info).await else {
        return Left::Refused(connection, ErrorKind::BadRequest);
    };
    let most = shared.max_body(host_name(&req).unwrap_or_default());
    let mut caller = CallerSide::new(connection, info.framing, most.unwrap_or_default());
    let body = match read_kept(shared, &mut caller, &info, most).await {
        Ok(body) => body,
        Err(Some(kind)) => return Left::Refused(caller.connection, kind),
        Err(None) => return Left::Broken,
    };
    let method = req.method();
    let head = HttpHead::new(&req, &body.bytes);
    let mut call = Begun { shared, call: shared.begin(&head, mailbox), mailbox, ended: false };
    let Some(head) = encode_request(req, body.framing).await else {
        return Left::Refused(caller.connection, ErrorKind::BadRequest);
    };
    let request = Outgoing { head, body, to_head: method == Method::Head };
    let caller = Mutex::new(caller);
    let mut run = CallRun::new(shared, call.call, mailbox, &request, &caller);
    let end = poll_fn(|cx| run.poll(cx)).await;
    drop(run);
    call.ended = true;
    let unread = !lock(&caller).reader.is_done();
    let close = unread || info.close || shared.phase() != Phase::Serving;
    let written = match end {
        CallEnd::Forward(attempt, answer) => {
            call.ended = false;
            pass_on(&mut call, attempt, *answer, &caller, method, close).await
        }
        CallEnd::Refuse { kind, retry_after } => {
            let res = refusal(kind, retry_after);
            write_refusal(shared, &caller, res, method, close).await
        }
        CallEnd::Gone => false,
    };
    drop(call);
    drop(request);
    let caller = caller.into_inner().unwrap_or_else(PoisonError::into_inner);
    match (written, close) {
        (false, _) => Left::Broken,
        (true, true) => Left::Closing(caller.connection),
        (true, false) => Left::Open(caller.connection),
    }
}

/// A request that the gate has taken; the gate forgets it when this is dropped.
struct Begun<'a> {
    shared: &'a Shared,
    call: CallId,
    mailbox: &'a Mailbox,
    ended: bool,
}

impl Drop for Begun<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.shared.event(self.call, Event::CallerGone);
        }
        self.shared.end(self.call);
        self.mailbox.clear();
    }
}

async fn read_kept(
    shared: &Shared,
    caller: &mut CallerSide,
    info: &RequestInfo,
    most: Option<u64>,
) -> Result<KeptBody, Option<ErrorKind>> {
    let held = shared.resources.buffer_gauge.track();
    let Some(most) = most else {
        // The gate is about to refuse the request.
        return Ok(KeptBody::unread(info.framing, held));
    };
    if info.framing.len().is_some_and(|length| length > most) {
        return Err(Some(ErrorKind::BodyTooLarge));
    }
    caller.read_kept(info, &shared.limits, held).await
}

/// Passes an answer on; returns whether the caller has all of it.
async fn pass_on(
    call: &mut Begun<'_>,
    attempt: AttemptId,
    answer: Answer,
    caller: &Mutex<CallerSide>,
    method: Method,
    close: bool,
) -> bool {
    let shared = call.shared;
    let passing = answer.pass_on(caller, method, close, &shared.limits);
    let aborted = async {
        poll_fn(|cx| call.mailbox.poll_abort(cx)).await;
        Err(PassError::Aborted)
    };
    let passed = future::or(passing, aborted).await;
    let event = match passed {
        Ok(()) => Event::Completed { attempt },
        Err(PassError::Target(failure)) => Event::Failed { attempt, failure, replayable: false },
        Err(PassError::Caller | PassError::Aborted) => Event::CallerGone,
    };
    shared.event(call.call, event);
    call.ended = true;
    passed.is_ok()
}

async fn write_refusal(
    shared: &Shared,
    caller: &Mutex<CallerSide>,
    res: Response,
    method: Method,
    close: bool,
) -> bool {
    let Some(bytes) = encode_refusal(res, method, close).await else {
        return false;
    };
    write(caller, &bytes, &shared.limits).await.is_ok()
}

/// Answers with an error and closes the connection.
async fn refuse(shared: &Shared, mut connection: Connection, kind: ErrorKind) {
    let res = shared.refuse(kind);
    connection.set_timeout(shared.limits.body_timeout());
    let Some(bytes) = encode_refusal(res, Method::Get, true).await else {
        return;
    };
    if connection.write_all(&bytes).await.is_ok() {
        linger(shared, connection).await;
    }
}

async fn linger(shared: &Shared, mut connection: Connection) {
    connection.linger(IoTimeout::Total(shared.limits.linger_timeout), MAX_LINGER_BYTES).await;
}
