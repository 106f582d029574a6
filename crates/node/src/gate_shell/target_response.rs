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

/// A target's answer, in whole or up to what is kept of it.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    /// The head.
    pub(crate) res: Response,
    /// What else the head says.
    pub(crate) info: ResponseInfo,
    /// The first part of the body.
    pub(crate) prefix: Vec<u8>,
    /// Reads the rest.
    pub(crate) reader: BodyReader,
    /// The connection that brings the answer.
    pub(crate) pooled: PooledConnection,
    /// Whether the target has the whole request.
    pub(crate) upload_done: bool,
    /// Counts the kept bytes.
    pub(crate) held: HeldBytes,
}

/// Why an answer was not passed on in whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The answer did not come in whole.
    Target(AttemptFailure),
    /// The caller closed the connection or reads too slowly.
    Caller,
    /// The gate broke it off.
    Aborted,
}

impl TargetResponse {
    /// Reads the first part of the body, up to this many bytes.
    ///
    /// # Errors
    /// Returns an error if the answer turns out not to be whole.
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

    /// What the answer tells the gate.
    pub(crate) fn to_event(&self, attempt: AttemptId) -> Event {
        let header = |name: &str| self.res.header(name).map(|values| values.as_str());
        let reason = header("bay-reason").and_then(NotRunReason::parse);
        let not_run = reason.filter(|_| header("bay-outcome") == Some("not-run"));
        let load = header("bay-load").and_then(LoadReport::parse);
        Event::Answered { attempt, status: self.info.status, not_run, load }
    }

    /// Passes the answer on to the caller.
    ///
    /// # Errors
    /// Returns an error if the caller does not have the whole answer; its connection must then be
    /// broken off if anything was written to it.
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
        if self.upload_done && !self.info.close {
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

    /// Rejects an answer that goes on after its end, as far as that shows already.
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

/// Writes to a caller, as long as it reads fast enough.
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
