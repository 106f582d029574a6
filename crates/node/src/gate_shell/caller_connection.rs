use std::future::poll_fn;
use std::sync::Mutex;
use std::task::{Context, Poll, ready};

use bay_types::ErrorKind;

use super::http_limits::HttpLimits;
use crate::http1::buffer_gauge::HeldBytes;
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::lock;
use crate::http1::request_check::RequestInfo;
use crate::http1::watchdog::IoTimeout;

/// Interim response that tells a caller to send its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Caller's connection while one of its requests is served.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    pub(crate) connection: Connection,
    /// Reads the request's body.
    pub(crate) reader: BodyReader,
    max_body: u64,
}

/// Start of a request's body, buffered so that every attempt can send it.
#[derive(Debug)]
pub(crate) struct BodyPrefix {
    pub(crate) bytes: Vec<u8>,
    /// Framing with which the body is sent to targets.
    pub(crate) framing: Framing,
    /// Whether the body continues after the buffered bytes.
    pub(crate) has_more: bool,
    /// Counts the buffered bytes in the gauge.
    pub(crate) _held: HeldBytes,
}

impl BodyPrefix {
    /// Creates an empty prefix of a body that is still unread.
    pub(crate) fn unread(framing: Framing, held: HeldBytes) -> BodyPrefix {
        let has_more = framing != Framing::Empty;
        BodyPrefix { bytes: Vec::new(), framing, has_more, _held: held }
    }
}

impl CallerConnection {
    /// Creates the state of a request whose body is unread; `max_body` is in bytes.
    pub(crate) fn new(connection: Connection, framing: Framing, max_body: u64) -> CallerConnection {
        CallerConnection { connection, reader: BodyReader::new(framing), max_body }
    }

    /// Reads the start of the body, up to the limit for prefixes. Sends `100 Continue` first if the
    /// caller waits for it.
    ///
    /// # Errors
    /// Returns the kind of error with which the body is refused, or `None` if the caller closed the
    /// connection.
    pub(crate) async fn read_prefix(
        &mut self,
        info: &RequestInfo,
        limits: &HttpLimits,
        mut held: HeldBytes,
    ) -> Result<BodyPrefix, Option<ErrorKind>> {
        let mut bytes = Vec::new();
        if info.framing == Framing::Empty {
            return Ok(BodyPrefix::unread(Framing::Empty, held));
        }
        if info.expects_continue && self.connection.buffered().is_empty() {
            self.connection.write_all(CONTINUE_RESPONSE).await.map_err(|_| None)?;
        }
        self.connection.set_timeout(limits.body_timeout());
        while bytes.len() < limits.max_body_prefix {
            let count = poll_fn(|cx| self.poll_body(cx)).await?;
            if count == 0 {
                break;
            }
            let count = count.min(limits.max_body_prefix - bytes.len());
            bytes.extend_from_slice(&self.connection.buffered()[..count]);
            self.consume_body(count);
            held.set(bytes.capacity());
        }
        self.connection.set_timeout(IoTimeout::Unlimited);
        let has_more = !self.reader.is_done();
        let complete = Framing::Length(bytes.len() as u64);
        let framing = if has_more { info.framing } else { complete };
        Ok(BodyPrefix { bytes, framing, has_more, _held: held })
    }

    /// Returns how many bytes of the body are buffered, reading more if there are none. Zero means
    /// that the body is complete.
    pub(crate) fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Result<usize, Option<ErrorKind>>> {
        let available = ready!(self.reader.poll_available(&mut self.connection, cx));
        let count = match available {
            Ok(count) => count,
            Err(BodyError::Truncated) => return Poll::Ready(Err(None)),
            Err(BodyError::TimedOut) => return Poll::Ready(Err(Some(ErrorKind::SlowCaller))),
            Err(BodyError::Malformed) => return Poll::Ready(Err(Some(ErrorKind::BadRequest))),
        };
        if self.reader.consumed_bytes() + count as u64 > self.max_body {
            return Poll::Ready(Err(Some(ErrorKind::BodyTooLarge)));
        }
        Poll::Ready(Ok(count))
    }
}

impl CallerConnection {
    /// Consumes `count` bytes of the body.
    pub(crate) fn consume_body(&mut self, count: usize) {
        self.reader.consume(&mut self.connection, count);
    }
}

/// Completes when the caller has closed the connection.
pub(crate) fn poll_closed(caller: &Mutex<CallerConnection>, cx: &mut Context<'_>) -> Poll<()> {
    lock(caller).connection.poll_closed(cx)
}
