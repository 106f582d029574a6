use std::io::Write;
use std::net::SocketAddr;

use bay_router::{AnswerFields, HttpCall, RouterWire};

use super::answer_body::{BodyLimit, ReadError, read_body};
use crate::http1::connection::Connection;
use crate::http1::framing::Framing;
use crate::http1::header_slots::HeaderSlots;
use crate::http1::raw_head::read_raw_head;
use crate::http1::response_check::check_response;

/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD: usize = 256 * 1024;

/// Number of answers to requests after which a call on the same connection fails.
const MAX_SKIPPED: usize = 8;

/// Answer to a call.
#[derive(Debug)]
pub(crate) struct CallAnswer {
    pub(crate) status: u16,
    pub(crate) fields: AnswerFields,
    pub(crate) body: Vec<u8>,
    /// Whether the connection can be reused.
    pub(crate) reusable: bool,
}

/// Reason why a call has no answer. It may have taken effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallError {
    /// There is no complete, valid answer in time.
    Lost,
    /// The body of the answer is too long, or too long for the memory left.
    TooLong,
}

/// Sends a call and reads its answer.
///
/// An answer that names a request is a late copy of one that was sent before on the connection; calls
/// have no identifier.
///
/// # Errors
/// Returns an error if there is no complete, valid answer within the limit.
pub(crate) async fn send_call(
    wire: &dyn RouterWire,
    connection: &mut Connection,
    to: SocketAddr,
    call: &HttpCall,
    limit: BodyLimit<'_>,
) -> Result<CallAnswer, CallError> {
    let sent = connection.write_all(&encode_call(wire, to, call)).await;
    sent.map_err(|_| CallError::Lost)?;
    for _ in 0..MAX_SKIPPED {
        let answer = read_answer(wire, connection, limit).await?;
        if answer.fields.id.as_deref().is_none_or(str::is_empty) {
            return Ok(answer);
        }
        log::info!(to:% = to, status = answer.status; "answer to another request dropped");
    }
    Err(CallError::Lost)
}

/// Reads one whole answer.
async fn read_answer(
    wire: &dyn RouterWire,
    connection: &mut Connection,
    limit: BodyLimit<'_>,
) -> Result<CallAnswer, CallError> {
    let head = read_raw_head(connection, MAX_HEAD).await.map_err(|_| CallError::Lost)?;
    let info = check_response(&head, false).map_err(|_| CallError::Lost)?;
    let body = read_body(connection, info.framing, limit).await.map_err(|error| match error {
        ReadError::Broken(_) => CallError::Lost,
        ReadError::TooLong => CallError::TooLong,
    })?;
    let mut headers = HeaderSlots::for_head(&head);
    let mut response = httparse::Response::new(headers.slots());
    response.parse(&head).map_err(|_| CallError::Lost)?;
    let mut fields = AnswerFields::default();
    for header in response.headers.iter() {
        wire.parse_answer_header(&header.name.to_ascii_lowercase(), header.value, &mut fields);
    }
    let stays_open = !info.should_close && info.framing != Framing::UntilClose;
    let reusable = stays_open && connection.buffered().is_empty();
    Ok(CallAnswer { status: info.status, fields, body, reusable })
}

/// Encodes a call as an HTTP request.
fn encode_call(wire: &dyn RouterWire, to: SocketAddr, call: &HttpCall) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    // Writing to a vector cannot fail.
    let _: std::io::Result<()> =
        write!(out, "{} {} HTTP/1.1\r\nHost: {to}\r\n", call.method.as_str(), call.path);
    if let Some(server) = &call.server {
        wire.write_server_header(server, &mut out);
    }
    if let Some((content_type, body)) = &call.body {
        let _: std::io::Result<()> =
            write!(out, "Content-Type: {content_type}\r\nContent-Length: {}\r\n", body.len());
    }
    out.extend_from_slice(b"\r\n");
    if let Some((_, body)) = &call.body {
        out.extend_from_slice(body);
    }
    out
}
