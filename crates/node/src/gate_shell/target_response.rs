use std::future::poll_fn;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bay_call::{AttemptFailure, AttemptId, Event, LoadReport, NotRunReason};
use http_types::{Method, Response};

use super::attempt::body_failure;
use super::caller_connection::{CallerConnection, poll_closed};
use super::head_codec::encode_response;
use super::headers::remove_hop_headers;
use super::http_limits::HttpLimits;
use super::pool::PooledConnection;
use super::upload::{LAST_CHUNK, append_body};
use crate::http1::buffer_gauge::HeldBytes;
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::lock;
use crate::http1::response_check::ResponseInfo;
use crate::http1::watchdog::IoTimeout;

/// Response of a target: its head and the first part of its body, or all of it.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    /// Parsed head.
    pub(crate) res: Response,
    /// Values of the raw head that `res` does not hold.
    pub(crate) info: ResponseInfo,
    /// Buffered start of the body.
    pub(crate) prefix: Vec<u8>,
    /// Reads the rest of the body.
    pub(crate) reader: BodyReader,
    /// Connection on which the response arrives.
    pub(crate) pooled: PooledConnection,
    /// Whether the whole request was sent to the target.
    pub(crate) is_upload_done: bool,
    /// Counts the buffered bytes in the gauge.
    pub(crate) held: HeldBytes,
}

/// Reason why a response was not forwarded completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The target did not deliver the complete response.
    Target(AttemptFailure),
    /// The caller closed the connection or reads too slowly.
    Caller,
    /// The gate aborted the response.
    Aborted,
}

impl TargetResponse {
    /// Reads the start of the body into the prefix, up to `max_bytes`.
    ///
    /// # Errors
    /// Returns an error if the body breaks off or is malformed.
    pub(crate) async fn read_prefix(&mut self, max_bytes: usize) -> Result<(), BodyError> {
        while self.prefix.len() < max_bytes {
            let count = poll_fn(|cx| self.poll_body(cx)).await?;
            if count == 0 {
                return Ok(());
            }
            let count = count.min(max_bytes - self.prefix.len());
            self.prefix.extend_from_slice(&self.pooled.connection.buffered()[..count]);
            self.consume(count);
            self.held.set(self.prefix.capacity());
        }
        Ok(())
    }

    /// Returns the event that reports this response to the gate.
    pub(crate) fn to_event(&self, attempt: AttemptId) -> Event {
        let header = |name: &str| self.res.header(name).map(|values| values.as_str());
        let reason = header("bay-reason").and_then(NotRunReason::parse);
        let not_run = reason.filter(|_| header("bay-outcome") == Some("not-run"));
        let load = header("bay-load").and_then(LoadReport::parse);
        Event::Answered { attempt, status: self.info.status, not_run, load }
    }

    /// Forwards the response to the caller and returns the target's connection to the pool.
    ///
    /// # Errors
    /// Returns an error if the caller did not get the complete response. If anything was written to
    /// its connection, that connection must then be closed.
    pub(crate) async fn forward(
        mut self,
        caller: &Mutex<CallerConnection>,
        method: Method,
        close: bool,
        limits: &HttpLimits,
    ) -> Result<(), ForwardError> {
        self.check_trailing_bytes()?;
        remove_hop_headers(&mut self.res);
        self.res.insert_header("bay-outcome", "done");
        if close {
            self.res.insert_header("connection", "close");
        }
        let framing = if self.reader.is_done() && self.info.framing != Framing::Empty {
            Framing::Length(self.prefix.len() as u64)
        } else {
            self.info.framing
        };
        let chunked = framing == Framing::Chunked;
        let res = std::mem::replace(&mut self.res, Response::new(200));
        let head = encode_response(res, method, &self.info, framing).await;
        let mut out = head.ok_or(ForwardError::Target(AttemptFailure::BadAnswer))?;
        append_body(&mut out, &self.prefix, chunked);
        self.prefix = Vec::new();
        self.held.set(out.capacity());
        while !self.reader.is_done() {
            write_to_caller(caller, &out, limits).await?;
            out.clear();
            let count = poll_fn(|cx| self.poll_body_or_close(caller, cx)).await?;
            append_body(&mut out, &self.pooled.connection.buffered()[..count], chunked);
            self.consume(count);
            self.check_trailing_bytes()?;
        }
        if chunked {
            out.extend_from_slice(LAST_CHUNK);
        }
        write_to_caller(caller, &out, limits).await?;
        if self.is_upload_done && !self.info.should_close {
            self.pooled.return_to_pool();
        }
        Ok(())
    }

    fn poll_body_or_close(
        &mut self,
        caller: &Mutex<CallerConnection>,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize, ForwardError>> {
        if let Poll::Ready(result) = self.poll_body(cx) {
            return Poll::Ready(result.map_err(|error| ForwardError::Target(body_failure(error))));
        }
        poll_closed(caller, cx).map(|()| Err(ForwardError::Caller))
    }

    /// Rejects a response with bytes after its end, as far as they have arrived.
    fn check_trailing_bytes(&self) -> Result<(), ForwardError> {
        if self.reader.is_done() && !self.pooled.connection.buffered().is_empty() {
            return Err(ForwardError::Target(AttemptFailure::BadAnswer));
        }
        Ok(())
    }

    fn poll_body(&mut self, cx: &mut Context<'_>) -> Poll<Result<usize, BodyError>> {
        match self.reader.poll_available(&mut self.pooled.connection, cx) {
            Poll::Ready(Ok(0)) if !self.pooled.connection.buffered().is_empty() => {
                Poll::Ready(Err(BodyError::Malformed))
            }
            polled => polled,
        }
    }

    fn consume(&mut self, count: usize) {
        self.reader.consume(&mut self.pooled.connection, count);
    }
}

/// Writes all bytes to a caller, subject to the body timeout.
///
/// # Errors
/// Returns an error if the caller closed the connection or reads too slowly.
pub(crate) async fn write_to_caller(
    caller: &Mutex<CallerConnection>,
    bytes: &[u8],
    limits: &HttpLimits,
) -> Result<(), ForwardError> {
    let mut written = 0;
    lock(caller).connection.set_timeout(limits.body_timeout());
    while written < bytes.len() {
        let polled = poll_fn(|cx| lock(caller).connection.poll_write(cx, &bytes[written..])).await;
        written += polled.map_err(|_| ForwardError::Caller)?;
    }
    lock(caller).connection.set_timeout(IoTimeout::Unlimited);
    Ok(())
}
