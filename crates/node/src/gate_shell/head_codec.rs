use std::future::poll_fn;
use std::pin::Pin;

use bay_call::AttemptId;
use bay_wire::SliceGrant;
use futures_lite::{AsyncRead, io};
use http_types::{Body, Method, Request, Response};

use super::head_stream::HeadStream;
use super::headers::remove_hop_headers;
use crate::http1::framing::Framing;
use crate::http1::request_check::RequestInfo;
use crate::http1::response_check::ResponseInfo;

/// Size by which the output buffer grows while a head is encoded, in bytes.
const ENCODE_BYTES: usize = 2 * 1024;

/// Decodes the checked head of a request with the HTTP library.
pub(crate) async fn decode_request(head: Vec<u8>, info: &RequestInfo) -> Option<Request> {
    let (mut req, _) = async_h1::server::decode(HeadStream::new(head)).await.ok()??;
    // The gate reads the body itself.
    drop(req.take_body());
    if !info.has_content_type {
        req.remove_header("content-type");
    }
    Some(req)
}

/// Decodes the checked head of a response with the HTTP library.
pub(crate) async fn decode_response(head: Vec<u8>, info: &ResponseInfo) -> Option<Response> {
    let mut res = async_h1::client::decode(HeadStream::new(head)).await.ok()?;
    drop(res.take_body());
    if !info.has_date {
        res.remove_header("date");
    }
    if !info.has_content_type {
        res.remove_header("content-type");
    }
    Some(res)
}

/// Encodes the part of a request's head that is the same for all attempts.
pub(crate) async fn encode_request(mut req: Request, framing: Framing) -> Option<Vec<u8>> {
    remove_hop_headers(&mut req);
    let has_type = req.header("content-type").is_some();
    req.set_body(empty_body(framing));
    if !has_type {
        req.remove_header("content-type");
    }
    encode_head(async_h1::client::Encoder::new(req)).await
}

/// Headers that one attempt adds to a request's head.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptHeaders<'a> {
    /// Identifier that a target may repeat in its response.
    pub(crate) request_id: &'a str,
    /// Number of the attempt within its call.
    pub(crate) attempt: AttemptId,
    /// Slice and its fencing token, if the service is keyed.
    pub(crate) grant: Option<SliceGrant>,
    /// Time left for the target to respond, in milliseconds.
    pub(crate) deadline_ms: u128,
}

impl AttemptHeaders<'_> {
    /// Returns `head` with the headers added at its end.
    pub(crate) fn append_to(&self, head: &[u8]) -> Vec<u8> {
        use std::io::Write;
        let mut out = Vec::with_capacity(head.len() + 160);
        out.extend_from_slice(&head[..head.len() - 2]);
        // Writing to a vector cannot fail.
        let _ = write!(
            out,
            "bay-request: {}\r\nbay-attempt: {}\r\nbay-deadline-ms: {}\r\n",
            self.request_id, self.attempt.0, self.deadline_ms
        );
        if let Some(grant) = self.grant {
            let _ = write!(out, "bay-slice: {}\r\nbay-token: {}\r\n", grant.slice.0, grant.token.0);
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// Encodes the head of a response whose body is forwarded with `framing`.
pub(crate) async fn encode_response(
    mut res: Response,
    method: Method,
    info: &ResponseInfo,
    framing: Framing,
) -> Option<Vec<u8>> {
    let has_type = res.header("content-type").is_some();
    let bodiless = framing == Framing::Empty;
    match info.declared_length.filter(|_| bodiless) {
        Some(length) => res.set_body(empty_body(Framing::Length(length))),
        None => res.set_body(empty_body(framing)),
    }
    if !has_type {
        res.remove_header("content-type");
    }
    let mut head = encode_head(async_h1::server::Encoder::new(res, method)).await?;
    if info.status == 204 || (bodiless && info.declared_length.is_none()) {
        remove_line(&mut head, b"content-length: 0\r\n");
    }
    Some(head)
}

/// Encodes an error response of the gate, with its body.
pub(crate) async fn encode_refusal(
    mut res: Response,
    method: Method,
    close: bool,
) -> Option<Vec<u8>> {
    if close {
        res.insert_header("connection", "close");
    }
    let body = res.take_body().into_bytes().await.ok()?;
    res.set_body(empty_body(Framing::Length(body.len() as u64)));
    let mut bytes = encode_head(async_h1::server::Encoder::new(res, method)).await?;
    if method != Method::Head {
        bytes.extend_from_slice(&body);
    }
    Some(bytes)
}

fn empty_body(framing: Framing) -> Body {
    let len = framing.len().and_then(|len| usize::try_from(len).ok());
    Body::from_reader(io::empty(), len)
}

/// Reads from an encoder up to the end of the head.
async fn encode_head<E>(mut encoder: E) -> Option<Vec<u8>>
where
    E: AsyncRead + Unpin,
{
    let mut out = Vec::new();
    let mut filled = 0;
    while !out[..filled].ends_with(b"\r\n\r\n") {
        out.resize(filled + ENCODE_BYTES, 0);
        let read = poll_fn(|cx| Pin::new(&mut encoder).poll_read(cx, &mut out[filled..])).await;
        filled += read.ok().filter(|count| *count > 0)?;
    }
    out.truncate(filled);
    Some(out)
}

fn remove_line(bytes: &mut Vec<u8>, line: &[u8]) {
    if let Some(at) = bytes.windows(line.len()).position(|window| window == line) {
        bytes.drain(at..at + line.len());
    }
}
