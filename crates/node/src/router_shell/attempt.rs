use std::future::poll_fn;
use std::io::Write;
use std::task::{Context, Poll};

use bay_router::{AnswerFields, AttemptFields, RouterWire};
use bay_types::ErrorKind;

use super::request_head::{RequestHead, append_header, listed_in_connection};
use super::shell::Shell;
use crate::gate_shell::PooledConnection;
use crate::http1::connection::Connection;
use crate::http1::framing::{BodyError, BodyReader, Framing};
use crate::http1::hop_headers::is_forwarded;
use crate::http1::raw_head::{RawHeadError, read_raw_head};
use crate::http1::response_check::{ResponseInfo, check_response};

/// Longest head of an answer, in bytes.
const MAX_HEAD: usize = 16 * 1024;

/// Longest body of an answer, in bytes.
const MAX_BODY: usize = 16 * 1024 * 1024;

/// Most headers of an answer.
const MAX_HEADERS: usize = 128;

/// Most interim answers, and answers to other requests, before the one that is waited for.
const MAX_SKIPPED: usize = 8;

/// A request as its attempts send it.
#[derive(Debug)]
pub(crate) struct Outgoing {
    pub(crate) head: RequestHead,
    body: Vec<u8>,
}

/// A server's whole answer.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    /// The status.
    pub(crate) status: u16,
    /// The status line and the headers that are passed on, without the empty line.
    pub(crate) head: Vec<u8>,
    /// The body.
    pub(crate) body: Vec<u8>,
    /// What the headers tell the router.
    pub(crate) fields: AnswerFields,
}

impl Outgoing {
    /// A request with its body.
    pub(crate) fn new(head: RequestHead, body: Vec<u8>) -> Outgoing {
        Outgoing { head, body }
    }

    fn bytes(&self, wire: &dyn RouterWire, fields: &AttemptFields) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.head.bytes.len() + self.body.len() + 128);
        out.extend_from_slice(&self.head.bytes);
        wire.write_attempt(fields, &mut out);
        if self.head.facts.framing != Framing::Empty {
            // Writing to a vector does not fail.
            let _: std::io::Result<()> = write!(out, "Content-Length: {}\r\n", self.body.len());
        }
        out.extend_from_slice(b"\r\n");
        out.extend_from_slice(&self.body);
        out
    }
}

/// Sends a request and reads its answer; also returns whether the connection can be used again.
///
/// # Errors
/// Returns why there is no whole answer.
pub(crate) async fn exchange(
    shell: &Shell,
    leased: &mut PooledConnection,
    outgoing: &Outgoing,
    fields: &AttemptFields,
) -> Result<(ServerAnswer, bool), ErrorKind> {
    let bytes = outgoing.bytes(&*shell.wire, fields);
    let mut sent = 0;
    let connection = &mut leased.connection;
    poll_fn(|cx| poll_send(connection, cx, &bytes, &mut sent)).await;
    let sent_whole = sent == bytes.len();
    drop(bytes);
    for _ in 0..MAX_SKIPPED {
        let (answer, facts) = read_answer(&*shell.wire, connection, outgoing.head.to_head).await?;
        if facts.is_interim() {
            continue;
        }
        let own = match (&answer.fields.id, &outgoing.head.fields.id) {
            (Some(answered), Some(asked)) => answered == asked,
            _ => true,
        };
        if !own {
            log::info!(server:% = fields.server; "answer to another request dropped");
            continue;
        }
        let unsigned = (200..300).contains(&answer.status) && !answer.fields.signed;
        if unsigned || facts.has_content_encoding {
            return Err(ErrorKind::BadAnswer);
        }
        let kept = !facts.close && facts.framing != Framing::UntilClose;
        let quiet = connection.buffered().is_empty();
        return Ok((answer, sent_whole && kept && quiet));
    }
    Err(ErrorKind::BadAnswer)
}

/// Writes until everything is written or the server answers or closes.
fn poll_send(
    connection: &mut Connection,
    cx: &mut Context<'_>,
    bytes: &[u8],
    sent: &mut usize,
) -> Poll<()> {
    while *sent < bytes.len() {
        match connection.poll_write(cx, &bytes[*sent..]) {
            Poll::Ready(Ok(count)) => *sent += count,
            // What the server has answered before it closed is read next.
            Poll::Ready(Err(_)) => return Poll::Ready(()),
            Poll::Pending => return connection.poll_fill(cx).map(|_| ()),
        }
    }
    Poll::Ready(())
}

async fn read_answer(
    wire: &dyn RouterWire,
    connection: &mut Connection,
    to_head: bool,
) -> Result<(ServerAnswer, ResponseInfo), ErrorKind> {
    let head = read_raw_head(connection, MAX_HEAD).await.map_err(|error| match error {
        RawHeadError::TooLarge => ErrorKind::BadAnswer,
        _ => ErrorKind::ConnectionLost,
    })?;
    let facts = check_response(&head, to_head).map_err(|_| ErrorKind::BadAnswer)?;
    let mut reader = BodyReader::new(facts.framing);
    let mut body = Vec::with_capacity(facts.framing.len().unwrap_or(0).min(1 << 16) as usize);
    loop {
        let count = poll_fn(|cx| reader.poll_available(connection, cx)).await;
        let count = count.map_err(|error| match error {
            BodyError::Malformed => ErrorKind::BadAnswer,
            BodyError::Truncated | BodyError::TimedOut => ErrorKind::AnswerCut,
        })?;
        if count == 0 {
            break;
        }
        body.extend_from_slice(&connection.buffered()[..count]);
        reader.consume(connection, count);
        if body.len() > MAX_BODY {
            return Err(ErrorKind::BadAnswer);
        }
    }
    let answer = read_head(wire, &head, &facts, body).ok_or(ErrorKind::BadAnswer)?;
    Ok((answer, facts))
}

fn read_head(
    wire: &dyn RouterWire,
    head: &[u8],
    facts: &ResponseInfo,
    body: Vec<u8>,
) -> Option<ServerAnswer> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(head).ok()?;
    let mut out = Vec::with_capacity(head.len() + 32);
    // Writing to a vector does not fail.
    let _: std::io::Result<()> =
        write!(out, "HTTP/1.1 {} {}\r\n", facts.status, response.reason.unwrap_or_default());
    let listed = listed_in_connection(response.headers);
    let mut fields = AnswerFields::default();
    for header in response.headers.iter() {
        let name = header.name.to_ascii_lowercase();
        wire.read_answer(&name, header.value, &mut fields);
        if is_forwarded(&name, &listed) {
            append_header(&mut out, header.name, header.value);
        }
    }
    let length = match facts.framing {
        Framing::Empty => facts.declared_length,
        _ => Some(body.len() as u64),
    };
    let bodiless = matches!(facts.status, 100..200 | 204 | 304);
    if !bodiless {
        let length = length.unwrap_or(0);
        let _: std::io::Result<()> = write!(out, "Content-Length: {length}\r\n");
    }
    Some(ServerAnswer { status: facts.status, head: out, body, fields })
}
