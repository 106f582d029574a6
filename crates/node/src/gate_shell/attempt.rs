use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use bay_call::{AttemptFailure, AttemptId, CallId};
use bay_types::ErrorKind;
use bay_wire::SliceGrant;
use futures_lite::future;

use super::caller_connection::{BodyPrefix, CallerConnection};
use super::head_codec::{AttemptHeaders, decode_response};
use super::pool::PooledConnection;
use super::shell_state::ShellState;
use super::target_response::TargetResponse;
use super::upload::{Upload, UploadResult};
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::response_check::{ResponseInfo, check_response};
use crate::http1::watchdog::IoTimeout;

/// Timeout for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM: usize = 8;

/// Request in the form that is sent to targets, the same for all its attempts.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    /// Encoded head, without the headers of the attempt.
    pub(crate) head: Vec<u8>,
    /// Buffered start of the body.
    pub(crate) body: BodyPrefix,
    /// Whether this is a `HEAD` request, whose response has no body.
    pub(crate) is_head_request: bool,
}

/// Parameters of one attempt, from [`bay_call::Action::StartAttempt`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptSpec {
    /// Call that the attempt belongs to.
    pub(crate) call: CallId,
    /// Number of the attempt within its call.
    pub(crate) attempt: AttemptId,
    /// Address of the target.
    pub(crate) to: SocketAddr,
    /// Slice and its fencing token, if the service is keyed.
    pub(crate) grant: Option<SliceGrant>,
    /// Time left for the target to respond.
    pub(crate) time_left: Duration,
    /// Whether to open a new connection and discard the idle ones to this target.
    pub(crate) fresh: bool,
}

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The target responded; the body may be incomplete so far.
    Response(Box<TargetResponse>),
    /// No usable response was received.
    Failed(AttemptFailure),
    /// The rest of the caller's request is refused with this error.
    CallerFailed(ErrorKind),
    /// The caller closed the connection in the middle of its request.
    CallerGone,
    /// The gate withdrew permission before the first byte was sent.
    Withdrawn,
}

/// Sends a request to a target and reads its response up to the buffered prefix.
///
/// A timeout also invalidates the pooled connections to that target.
pub(crate) async fn run_attempt(
    shared: &ShellState,
    spec: AttemptSpec,
    request: &OutgoingRequest,
    caller: &Mutex<CallerConnection>,
) -> AttemptResult {
    let result = exchange(shared, spec, request, caller).await;
    if matches!(result, AttemptResult::Failed(AttemptFailure::Silent)) {
        shared.pool.invalidate(spec.to);
    }
    result
}

async fn exchange(
    shared: &ShellState,
    spec: AttemptSpec,
    request: &OutgoingRequest,
    caller: &Mutex<CallerConnection>,
) -> AttemptResult {
    let Some(mut pooled) = connect(shared, &spec).await else {
        return AttemptResult::Failed(AttemptFailure::NotConnected);
    };
    if !shared.may_send(spec.call, spec.attempt) {
        pooled.return_to_pool();
        return AttemptResult::Withdrawn;
    }
    let id = format!("{}-{}-{}-{}", shared.node, shared.incarnation.0, spec.call.0, spec.attempt.0);
    let headers = AttemptHeaders {
        request_id: &id,
        attempt: spec.attempt,
        grant: spec.grant,
        deadline_ms: spec.time_left.as_millis(),
    };
    let head = headers.append_to(&request.head);
    pooled.connection.set_timeout(IoTimeout::Total(spec.time_left));
    let held = shared.resources.buffer_gauge.track();
    let mut upload = Upload::new(caller, head, &request.body, &shared.limits, held);
    let sent = poll_fn(|cx| upload.poll(&mut pooled.connection, cx)).await;
    drop(upload);
    let is_upload_done = match sent {
        UploadResult::Sent => true,
        UploadResult::EarlyResponse => false,
        UploadResult::CallerFailed(kind) => return AttemptResult::CallerFailed(kind),
        UploadResult::CallerGone => return AttemptResult::CallerGone,
    };
    match read_response(shared, pooled, request, &id, is_upload_done).await {
        Ok(response) => AttemptResult::Response(Box::new(response)),
        Err(failure) => AttemptResult::Failed(failure),
    }
}

async fn connect(shared: &ShellState, spec: &AttemptSpec) -> Option<PooledConnection> {
    let cap = shared.connection_cap(spec.call, spec.attempt);
    let acquire = async { shared.pool.acquire(spec.to, spec.fresh, cap).await.ok() };
    let timeout = async {
        Timer::after(spec.time_left.min(CONNECT_TIMEOUT)).await;
        None
    };
    future::or(acquire, timeout).await
}

/// Reads the final response, and its body up to the limit for prefixes. A response that names
/// another request is an error.
async fn read_response(
    shared: &ShellState,
    mut pooled: PooledConnection,
    request: &OutgoingRequest,
    id: &str,
    is_upload_done: bool,
) -> Result<TargetResponse, AttemptFailure> {
    let (head, mut info) = read_head(shared, &mut pooled, request).await?;
    let res = decode_response(head, &info).await.ok_or(AttemptFailure::BadAnswer)?;
    let echoed_id = res.header("bay-request").map(|values| values.as_str());
    let is_crossed = match echoed_id {
        Some(echoed_id) => echoed_id != id,
        None => pooled.connection.requires_request_id(),
    };
    if is_crossed {
        return Err(AttemptFailure::BadAnswer);
    }
    pooled.connection.set_requires_request_id();
    // A later copy of a response without an identifier could pass for that to the next request.
    info.should_close |= echoed_id.is_none();
    let reader = BodyReader::new(info.framing);
    let held = shared.resources.buffer_gauge.track();
    let mut response =
        TargetResponse { res, info, prefix: Vec::new(), reader, pooled, is_upload_done, held };
    response.read_prefix(shared.limits.max_body_prefix).await.map_err(body_failure)?;
    Ok(response)
}

/// Reads the head of the final response. A response whose body ends when the connection closes is
/// rejected, because a truncated one looks the same.
async fn read_head(
    shared: &ShellState,
    pooled: &mut PooledConnection,
    request: &OutgoingRequest,
) -> Result<(Vec<u8>, ResponseInfo), AttemptFailure> {
    for _ in 0..MAX_INTERIM {
        let head = read_raw_head(&mut pooled.connection, shared.limits.max_head_bytes).await;
        let head = head.map_err(head_failure)?;
        let info = check_response(&head, request.is_head_request)
            .map_err(|_| AttemptFailure::BadAnswer)?;
        if info.framing == Framing::UntilClose {
            return Err(AttemptFailure::BadAnswer);
        }
        if !info.is_interim() {
            return Ok((head, info));
        }
    }
    Err(AttemptFailure::BadAnswer)
}

fn head_failure(error: RawHeadError) -> AttemptFailure {
    match error {
        RawHeadError::Closed => AttemptFailure::Lost,
        RawHeadError::Truncated => AttemptFailure::Cut,
        RawHeadError::TimedOut => AttemptFailure::Silent,
        RawHeadError::TooLarge | RawHeadError::NoMemory => AttemptFailure::BadAnswer,
    }
}

/// Maps an error in a response body to the failure of its attempt.
pub(crate) fn body_failure(error: BodyError) -> AttemptFailure {
    match error {
        BodyError::Truncated => AttemptFailure::Cut,
        BodyError::TimedOut => AttemptFailure::Silent,
        BodyError::Malformed => AttemptFailure::BadAnswer,
    }
}
