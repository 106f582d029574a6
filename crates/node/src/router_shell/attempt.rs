use std::future::poll_fn;
use std::io::Write;
use std::task::{Context, Poll};
use std::time::Duration;

use bay_router::{AnswerFields, AttemptFields, RouterWire};
use bay_stream::ReaderState;
use bay_types::ErrorKind;

use super::answer_body::{ReadError, read_body};
use super::download_answer::read_download;
use super::reply_body::{DownloadBody, ReplyBody};
use super::request_head::{RequestHead, append_header, connection_header_names};
use super::server_notices::MISDIRECTED;
use super::shell_state::ShellState;
use super::stream_source::{StreamSource, UnreadBody};
use crate::gate_shell::PooledConnection;
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, Framing};
use crate::http1::header_slots::HeaderSlots;
use crate::http1::hop_headers::is_forwarded;
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::response_check::{ResponseInfo, check_response};

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD: usize = 256 * 1024;

/// Number of answers after which an attempt fails if all of them were interim or belonged to other
/// requests.
const MAX_SKIPPED: usize = 8;

/// Request in the form that is sent to servers.
#[derive(Debug)]
pub(crate) struct OutgoingRequest {
    pub(crate) head: RequestHead,
    body: Vec<u8>,
    /// Whether the headers about client accounts are the caller's own matter.
    passes_account_headers: bool,
}

/// Answer of a server, complete unless the download is streamed.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    pub(crate) status: u16,
    /// Status line and forwarded headers, without the empty line.
    pub(crate) head: Vec<u8>,
    pub(crate) body: ReplyBody,
    /// Values of the headers that the router evaluates.
    pub(crate) fields: AnswerFields,
}

impl ServerAnswer {
    /// Adds the server's connection with the rest of the body to the start of a download.
    pub(crate) fn into_streamed(mut self, source: StreamSource) -> ServerAnswer {
        if let ReplyBody::Download(body) = &mut self.body {
            body.source = Some(Box::new(source));
        }
        self
    }
}

impl OutgoingRequest {
    pub(crate) fn new(
        head: RequestHead,
        body: Vec<u8>,
        passes_account_headers: bool,
    ) -> OutgoingRequest {
        OutgoingRequest { head, body, passes_account_headers }
    }

    /// Encodes the request with the headers of one attempt.
    fn encode(&self, wire: &dyn RouterWire, fields: &AttemptFields<'_>) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.bytes.len() + self.body.len() + 128);
        out.extend_from_slice(&self.head.bytes);
        if self.passes_account_headers {
            out.extend_from_slice(self.head.account_headers.as_bytes());
        }
        wire.write_attempt_headers(fields, &mut out);
        if self.head.info.framing != Framing::Empty {
            // Writing to a vector cannot fail.
            let _: std::io::Result<()> = write!(out, "Content-Length: {}\r\n", self.body.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// Answer of a server and the state of its connection.
#[derive(Debug)]
pub(crate) struct ExchangeOutput {
    pub(crate) answer: ServerAnswer,
    /// Rest of the body of a download that is streamed.
    pub(crate) rest: Option<UnreadBody>,
    /// Whether the connection can be reused after the body.
    pub(crate) is_reusable: bool,
}

/// Sends a request and reads its answer. `download` is set on a route for downloads.
///
/// # Errors
/// Returns an error if there is no complete answer, if it has a content encoding, or if a
/// successful one is unsigned.
pub(crate) async fn exchange(
    shell: &ShellState,
    pooled: &mut PooledConnection,
    outgoing: &OutgoingRequest,
    fields: &AttemptFields<'_>,
    download: Option<ReaderState>,
) -> Result<ExchangeOutput, ErrorKind> {
    let bytes = outgoing.encode(&*shell.wire, fields);
    let mut sent_bytes = 0;
    let connection = &mut pooled.connection;
    poll_fn(|cx| poll_send(connection, cx, &bytes, &mut sent_bytes)).await;
    let is_sent = sent_bytes == bytes.len();
    drop(bytes);
    for _ in 0..MAX_SKIPPED {
        let (answer, info, rest) =
            read_answer(shell, &mut pooled.connection, &outgoing.head, download).await?;
        if info.is_interim() {
            continue;
        }
        // Servers without identifiers echo none, or an empty one.
        let answered = answer.fields.id.as_deref().filter(|id| !id.is_empty());
        let names_request = answered.is_some();
        let matches_request = match answered {
            Some(answered) => outgoing.head.fields.id.as_deref() == Some(answered),
            None => !pooled.connection.requires_request_id(),
        };
        if !matches_request {
            log::info!(server = fields.server; "answer to another request dropped");
            continue;
        }
        pooled.connection.set_requires_request_id();
        let is_unsigned = (200..300).contains(&answer.status) && !answer.fields.signed;
        if is_unsigned || info.has_content_encoding {
            return Err(ErrorKind::BadAnswer);
        }
        pooled.set_keep_alive(info.keep_alive_seconds.map(Duration::from_secs));
        let stays_open = !info.should_close && info.framing != Framing::UntilClose;
        let has_no_leftover = rest.is_some() || pooled.connection.buffered().is_empty();
        // A later copy of an answer without an identifier could pass for that to the next request.
        let is_reusable = is_sent && stays_open && has_no_leftover && names_request;
        return Ok(ExchangeOutput { answer, rest, is_reusable });
    }
    Err(ErrorKind::BadAnswer)
}

/// Writes until everything is written, or the server sends something or closes the connection.
fn poll_send(
    connection: &mut Connection,
    cx: &mut Context<'_>,
    bytes: &[u8],
    sent_bytes: &mut usize,
) -> Poll<()> {
    while *sent_bytes < bytes.len() {
        match connection.poll_write(cx, &bytes[*sent_bytes..]) {
            Poll::Ready(Ok(count)) => *sent_bytes += count,
            // The server may have answered before it closed; the caller reads that next.
            Poll::Ready(Err(_)) => return Poll::Ready(()),
            Poll::Pending => return connection.poll_fill(cx).map(|_| ()),
        }
    }
    Poll::Ready(())
}

/// Reads the next answer, which may be an interim one; of a download that is streamed only the start.
///
/// # Errors
/// Returns an error if the answer is malformed, breaks off or is too long. Its server may never stop
/// sending.
async fn read_answer(
    shell: &ShellState,
    connection: &mut Connection,
    request: &RequestHead,
    download: Option<ReaderState>,
) -> Result<(ServerAnswer, ResponseInfo, Option<UnreadBody>), ErrorKind> {
    let head = read_raw_head(connection, MAX_HEAD).await.map_err(|error| match error {
        RawHeadError::TooLarge | RawHeadError::NoMemory => {
            shell.counters.add("answer.too-long", 1);
            ErrorKind::BadAnswer
        }
        _ => ErrorKind::ConnectionLost,
    })?;
    let info = check_response(&head, request.is_head_request).map_err(|_| ErrorKind::BadAnswer)?;
    let mut answer = parse_answer(&*shell.wire, &head, &info).ok_or(ErrorKind::BadAnswer)?;
    let mut rest = None;
    let mut length = match info.framing {
        Framing::Empty => info.declared_length,
        _ => None,
    };
    match download {
        Some(caller) => {
            let may_stream = is_confirmed(&answer, &info, request);
            let id = request.fields.id.clone().unwrap_or_default();
            let (held, unread) =
                read_download(shell, connection, info.framing, id, may_stream, caller).await?;
            length = match &unread {
                Some(_) => info.declared_length,
                None => length.or(Some(held.queue.unsent_bytes())),
            };
            answer.body = ReplyBody::Download(DownloadBody { held, source: None });
            rest = unread;
        }
        None => {
            let body = read_body(connection, info.framing, shell.answer_limit()).await;
            let body = body.map_err(|error| match error {
                ReadError::Broken(error) => body_error(error),
                ReadError::TooLong => {
                    shell.counters.add("answer.too-long", 1);
                    ErrorKind::BadAnswer
                }
            })?;
            length = length.or(Some(body.len() as u64));
            answer.body = ReplyBody::Whole(body);
        }
    }
    append_framing(&mut answer, length);
    Ok((answer, info, rest))
}

/// Returns whether an answer is a signed success that names its request and has no content encoding,
/// so that its head may be passed on before its body is complete.
fn is_confirmed(answer: &ServerAnswer, info: &ResponseInfo, request: &RequestHead) -> bool {
    let names_request = answer.fields.id.is_some() && answer.fields.id == request.fields.id;
    (200..300).contains(&answer.status)
        && answer.fields.signed
        && !answer.fields.not_run
        && names_request
        && !info.has_content_encoding
}

/// Returns the kind of error for a body that cannot be read.
pub(crate) fn body_error(error: BodyError) -> ErrorKind {
    match error {
        BodyError::Malformed => ErrorKind::BadAnswer,
        BodyError::Truncated | BodyError::TimedOut => ErrorKind::AnswerCut,
    }
}

/// Parses a head and encodes it for the caller without its framing: hop-by-hop headers are dropped.
/// Returns `None` for a malformed head.
fn parse_answer(wire: &dyn RouterWire, head: &[u8], info: &ResponseInfo) -> Option<ServerAnswer> {
    let mut headers = HeaderSlots::for_head(head);
    let mut response = httparse::Response::new(headers.slots());
    response.parse(head).ok()?;
    let mut out = Vec::with_capacity(head.len() + 32);
    // Writing to a vector cannot fail.
    let _: std::io::Result<()> =
        write!(out, "HTTP/1.1 {} {}\r\n", info.status, response.reason.unwrap_or_default());
    let connection_names = connection_header_names(response.headers);
    let mut fields = AnswerFields::default();
    for header in response.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        wire.parse_answer_header(&name, header.value, &mut fields);
        if is_forwarded(&name, &connection_names) {
            append_header(&mut out, header.name, header.value);
        }
    }
    // Only a server that has not run the request sends this status.
    fields.not_run |= info.status == MISDIRECTED;
    let body = ReplyBody::Whole(Vec::new());
    Some(ServerAnswer { status: info.status, head: out, body, fields })
}

/// Appends the framing of the body to a head: its length, or chunks if the length is not known.
fn append_framing(answer: &mut ServerAnswer, length: Option<u64>) {
    if matches!(answer.status, 100..200 | 204 | 304) {
        return;
    }
    // Writing to a vector cannot fail.
    let _: std::io::Result<()> = match length {
        Some(length) => write!(answer.head, "Content-Length: {length}\r\n"),
        None => write!(answer.head, "Transfer-Encoding: chunked\r\n"),
    };
}
