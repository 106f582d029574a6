use std::io::{self, Write};
use std::sync::Mutex;
use std::task::{Context, Poll};

use bay_types::ErrorKind;

use super::caller_connection::{BodyPrefix, CallerConnection};
use super::http_limits::HttpLimits;
use crate::http1::buffer_gauge::HeldBytes;
use crate::http1::connection::Connection;
use crate::http1::framing::Framing;
use crate::http1::lock;
use crate::http1::watchdog::IoTimeout;

/// Chunk that ends a chunked body, without trailers.
pub(crate) const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Sends a request to a target: its head, the body's prefix, and the rest of the body as it
/// arrives.
#[derive(Debug)]
pub(crate) struct Upload<'a> {
    caller: &'a Mutex<CallerConnection>,
    is_chunked: bool,
    pending_bytes: Vec<u8>,
    /// Number of the pending bytes that were written to the target.
    written_len: usize,
    has_more_body: bool,
    held: HeldBytes,
}

/// Result of an upload.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UploadResult {
    /// The whole request was written to the connection.
    Sent,
    /// The target responded or closed the connection before the whole request was written.
    EarlyResponse,
    /// The rest of the caller's request is refused with this error.
    CallerFailed(ErrorKind),
    /// The caller closed the connection in the middle of its request.
    CallerGone,
}

impl<'a> Upload<'a> {
    /// Creates an upload that starts with an encoded head.
    pub(crate) fn new(
        caller: &'a Mutex<CallerConnection>,
        mut head: Vec<u8>,
        body: &BodyPrefix,
        limits: &HttpLimits,
        mut held: HeldBytes,
    ) -> Upload<'a> {
        let is_chunked = body.framing == Framing::Chunked;
        append_body(&mut head, &body.bytes, is_chunked);
        if body.has_more {
            lock(caller).connection.set_timeout(limits.body_timeout());
        }
        held.set(head.capacity());
        Upload {
            caller,
            is_chunked,
            pending_bytes: head,
            written_len: 0,
            has_more_body: body.has_more,
            held,
        }
    }

    /// Writes the request to the target, and reads more of the body from the caller as needed,
    /// until the upload has ended.
    pub(crate) fn poll(
        &mut self,
        target: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<UploadResult> {
        loop {
            if self.written_len < self.pending_bytes.len() {
                match target.poll_write(cx, &self.pending_bytes[self.written_len..]) {
                    Poll::Ready(Ok(count)) => self.written_len += count,
                    Poll::Ready(Err(_)) => return Poll::Ready(UploadResult::EarlyResponse),
                    Poll::Pending => return self.poll_early_response(target, cx),
                }
                continue;
            }
            if !self.has_more_body {
                return Poll::Ready(UploadResult::Sent);
            }
            match self.read_body(cx) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(end)) => return Poll::Ready(end),
                Poll::Pending => return self.poll_early_response(target, cx),
            }
        }
    }

    /// Replaces the pending bytes by the next part of the body, or by its end.
    fn read_body(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), UploadResult>> {
        let mut caller = lock(self.caller);
        let count = match caller.poll_body(cx) {
            Poll::Ready(Ok(count)) => count,
            Poll::Ready(Err(Some(kind))) => {
                return Poll::Ready(Err(UploadResult::CallerFailed(kind)));
            }
            Poll::Ready(Err(None)) => return Poll::Ready(Err(UploadResult::CallerGone)),
            Poll::Pending => return Poll::Pending,
        };
        self.pending_bytes.clear();
        self.written_len = 0;
        if count == 0 {
            self.has_more_body = false;
            caller.connection.set_timeout(IoTimeout::Unlimited);
            if self.is_chunked {
                self.pending_bytes.extend_from_slice(LAST_CHUNK);
            }
            return Poll::Ready(Ok(()));
        }
        append_body(
            &mut self.pending_bytes,
            &caller.connection.buffered()[..count],
            self.is_chunked,
        );
        caller.consume_body(count);
        self.held.set(self.pending_bytes.capacity());
        Poll::Ready(Ok(()))
    }

    /// Detects a response or close of the target while the upload waits.
    fn poll_early_response(
        &self,
        target: &mut Connection,
        cx: &mut Context<'_>,
    ) -> Poll<UploadResult> {
        match target.poll_fill(cx) {
            Poll::Ready(_) => Poll::Ready(UploadResult::EarlyResponse),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Drop for Upload<'_> {
    fn drop(&mut self) {
        if self.has_more_body {
            // The rest of the body is no longer read.
            lock(self.caller).connection.set_timeout(IoTimeout::Unlimited);
        }
    }
}

/// Appends a part of a body, as a separate chunk if the body is chunked.
pub(crate) fn append_body(out: &mut Vec<u8>, bytes: &[u8], chunked: bool) {
    if bytes.is_empty() {
        return;
    }
    if !chunked {
        out.extend_from_slice(bytes);
        return;
    }
    // Writing to a vector cannot fail.
    let _: io::Result<()> = write!(out, "{:x}\r\n", bytes.len());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}
