use std::future::poll_fn;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use async_io::Timer;
use bay_call::{AttemptFailure, AttemptId, CallId};
use bay_types::ErrorKind;
use bay_wire::SliceGrant;
use futures_lite::future;

use super::answer::Answer;
use super::caller_side::{CallerSide, KeptBody};
use super::messages::{AttemptHeaders, decode_answer};
use super::pool::PooledConnection;
use super::shared::Shared;
use super::upload::{Upload, UploadEnd};
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::response_check::{ResponseInfo, check_response};
use crate::http1::watchdog::IoTimeout;

/// Longest time for a connection to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Most interim answers before the final one.
const MAX_INTERIM: usize = 8;

/// A request as all its attempts send it.
#[derive(Debug)]
pub(crate) struct Outgoing {
    /// The encoded head without what an attempt adds.
    pub(crate) head: Vec<u8>,
    /// What is kept of the body.
    pub(crate) body: KeptBody,
    /// Whether the answer has no body, whatever its head says.
    pub(crate) to_head: bool,
}

/// One attempt that the gate asked for.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptOrder {
    /// The request.
    pub(crate) call: CallId,
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The target.
    pub(crate) to: SocketAddr,
    /// The slice and its token, for an owner.
    pub(crate) grant: Option<SliceGrant>,
    /// The time that the target has.
    pub(crate) time_left: Duration,
    /// Whether a new connection is to be used.
    pub(crate) fresh: bool,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum AttemptEnd {
    /// An answer is there, in whole or up to what is kept of it.
    Answered(Box<Answer>),
    /// No answer was received.
    Failed(AttemptFailure),
    /// The rest of the caller's request cannot be taken.
    CallerFailed(ErrorKind),
    /// The caller closed the connection in the middle of its request.
    CallerGone,
    /// The gate forbade the attempt at the last moment.
    Withdrawn,
}

/// Sends a request to a target and takes its answer.
pub(crate) async fn run_attempt(
    shared: &Shared,
    order: AttemptOrder,
    request: &Outgoing,
    caller: &Mutex<CallerSide>,
) -> AttemptEnd {
    let end = exchange(shared, order, request, caller).await;
    if matches!(end, AttemptEnd::Failed(AttemptFailure::Silent)) {
        shared.pool.invalidate(order.to);
    }
    end
}

async fn exchange(
    shared: &Shared,
    order: AttemptOrder,
    request: &Outgoing,
    caller: &Mutex<CallerSide>,
) -> AttemptEnd {
    let Some(mut pooled) = connect(shared, &order).await else {
        return AttemptEnd::Failed(AttemptFailure::NotConnected);
    };
    if !shared.may_send(order.call, order.attempt) {
        pooled.return_to_pool();
        return AttemptEnd::Withdrawn;
    }
    let id =
        format!("{}-{}-{}-{}", shared.node, shared.incarnation.0, order.call.0, order.attempt.0);
    let headers = AttemptHeaders {
        request: &id,
        attempt: order.attempt,
        grant: order.grant,
        deadline_ms: order.time_left.as_millis(),
    };
    let head = headers.add_to(&request.head);
    pooled.connection.set_timeout(IoTimeout::Total(order.time_left));
    let held = shared.resources.buffer_gauge.track();
    let mut upload = Upload::new(caller, head, &request.body, &shared.limits, held);
    let sent = poll_fn(|cx| upload.poll(&mut pooled.connection, cx)).await;
    drop(upload);
    let upload_done = match sent {
        UploadEnd::Sent => true,
        UploadEnd::Answered => false,
        UploadEnd::CallerFailed(kind) => return AttemptEnd::CallerFailed(kind),
        UploadEnd::CallerGone => return AttemptEnd::CallerGone,
    };
    match read_answer(shared, pooled, request, &id, upload_done).await {
        Ok(answer) => AttemptEnd::Answered(Box::new(answer)),
        Err(failure) => AttemptEnd::Failed(failure),
    }
}

async fn connect(shared: &Shared, order: &AttemptOrder) -> Option<PooledConnection> {
    let cap = shared.connection_cap(order.call, order.attempt);
    let lease = async { shared.pool.acquire(order.to, order.fresh, cap).await.ok() };
    let late = async {
        Timer::after(order.time_left.min(CONNECT_TIMEOUT)).await;
        None
    };
    future::or(lease, late).await
}

async fn read_answer(
    shared: &Shared,
    mut pooled: PooledConnection,
    request: &Outgoing,
    id: &str,
    upload_done: bool,
) -> Result<Answer, AttemptFailure> {
    let (head, info) = read_head(shared, &mut pooled, request).await?;
    let res = decode_answer(head, &info).await.ok_or(AttemptFailure::BadAnswer)?;
    let echoed = res.header("bay-request").map(|values| values.as_str());
    if echoed.is_some_and(|echoed| echoed != id) {
        return Err(AttemptFailure::BadAnswer);
    }
    let reader = BodyReader::new(info.framing);
    let held = shared.resources.buffer_gauge.track();
    let mut answer = Answer { res, info, kept: Vec::new(), reader, pooled, upload_done, held };
    answer.read_kept(shared.limits.max_body_prefix).await.map_err(body_failure)?;
    Ok(answer)
}

async fn read_head(
    shared: &Shared,
    pooled: &mut PooledConnection,
    request: &Outgoing,
) -> Result<(Vec<u8>, ResponseInfo), AttemptFailure> {
    for _ in 0..MAX_INTERIM {
        let head = read_raw_head(&mut pooled.connection, shared.limits.max_head_bytes).await;
        let head = head.map_err(head_failure)?;
        let info = check_response(&head, request.to_head).map_err(|_| AttemptFailure::BadAnswer)?;
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
        RawHeadError::TooLarge => AttemptFailure::BadAnswer,
    }
}

/// The failure that an unfinished body stands for.
pub(crate) fn body_failure(error: BodyError) -> AttemptFailure {
    match error {
        BodyError::Truncated => AttemptFailure::Cut,
        BodyError::TimedOut => AttemptFailure::Silent,
        BodyError::Malformed => AttemptFailure::BadAnswer,
    }
}
