use std::io::Write;
use std::time::Duration;

use bay_router::RouterWire;
use bay_types::ErrorKind;
use http_types::StatusCode;

use super::attempt::ServerAnswer;
use super::reply_body::{DownloadBody, ReplyBody};

/// Router's reply to a caller: a server's answer or a refusal.
#[derive(Debug)]
pub(crate) struct Reply {
    /// Head without the `Connection` header and the empty line.
    pub(crate) head: Vec<u8>,
    pub(crate) body: ReplyBody,
    /// Whether the connection is closed after the reply.
    pub(crate) should_close: bool,
}

impl Reply {
    /// Creates a reply from a server's answer.
    pub(crate) fn from_server(answer: ServerAnswer) -> Reply {
        Reply { head: answer.head, body: answer.body, should_close: false }
    }

    /// Creates a reply that names the reason of a refusal, whether the request may have run, and
    /// when to retry.
    pub(crate) fn refusal(
        wire: &dyn RouterWire,
        kind: ErrorKind,
        retry_after: Option<Duration>,
    ) -> Reply {
        let status = wire.error_status(kind);
        let reason = StatusCode::try_from(status).map_or("Error", |code| code.canonical_reason());
        let body = format!("{kind}\n").into_bytes();
        let mut head = Vec::with_capacity(192);
        // Writing to a vector cannot fail.
        let _: std::io::Result<()> = write!(
            head,
            "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {}\r\n\
             Bay-Error: {kind}\r\nBay-Outcome: {}\r\n",
            body.len(),
            kind.outcome()
        );
        if let Some(span) = retry_after {
            let value = wire.format_retry_after(span);
            let _: std::io::Result<()> = write!(head, "Retry-After: {value}\r\n");
        }
        Reply { head, body: ReplyBody::Whole(body), should_close: false }
    }

    /// Completes the head and returns the bytes to send at once, and the body of a download.
    pub(crate) fn into_parts(mut self, close: bool) -> (Vec<u8>, Option<DownloadBody>) {
        if close {
            self.head.extend_from_slice(b"Connection: close\r\n");
        }
        self.head.extend_from_slice(b"\r\n");
        match self.body {
            ReplyBody::Whole(mut body) => {
                self.head.append(&mut body);
                (self.head, None)
            }
            ReplyBody::Download(body) => (self.head, Some(body)),
        }
    }
}
