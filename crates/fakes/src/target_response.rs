use std::fmt::Write;
use std::io;

use futures_lite::future;

use crate::ResponseFault;
use crate::target_connection::{TargetConnection, TargetRequest};

/// A response of a target.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    status: u64,
    headers: Vec<(&'static str, String)>,
    body: String,
    /// Whether the request method is HEAD, so that no body follows.
    is_to_head: bool,
    is_chunked: bool,
}

impl TargetResponse {
    /// Creates a response without headers.
    pub(crate) fn new(status: u64, body: String) -> TargetResponse {
        TargetResponse { status, headers: Vec::new(), body, is_to_head: false, is_chunked: false }
    }

    /// Creates the response to a request that ran, as its `fake-` headers ask.
    ///
    /// `received` is the length of the request body, `report` the value of the load report.
    pub(crate) fn for_run(
        req: &TargetRequest,
        received: usize,
        report: Option<String>,
    ) -> TargetResponse {
        let mut response =
            TargetResponse::new(req.number("fake-status").unwrap_or(200), String::new());
        response.body = match req.number("fake-answer-bytes") {
            Some(count) => "a".repeat(count as usize),
            None => format!("{} {} {received}\n", req.method, req.path),
        };
        response.is_to_head = req.method == "HEAD";
        response.is_chunked = req.header("fake-chunked").is_some();
        response.echo_request_id(req);
        if let Some(report) = report {
            response.headers.push(("bay-load", report));
        }
        response
    }

    /// Creates the response to a request that didn't run.
    pub(crate) fn for_rejection(req: &TargetRequest, reason: &str) -> TargetResponse {
        let mut response = TargetResponse::new(503, String::new());
        response.headers.push(("bay-outcome", String::from("not-run")));
        response.headers.push(("bay-reason", reason.to_owned()));
        response.is_to_head = req.method == "HEAD";
        response.echo_request_id(req);
        response
    }

    fn echo_request_id(&mut self, req: &TargetRequest) {
        if let Some(id) = req.header("bay-request") {
            self.headers.push(("bay-request", id.to_owned()));
        }
    }

    /// Encodes the whole response.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = self.encode_head(self.body.len());
        if !self.is_to_head && self.has_body() {
            text.push_str(&self.encode_body());
        }
        text.into_bytes()
    }

    fn has_body(&self) -> bool {
        self.status != 204 && self.status != 304
    }

    fn encode_head(&self, length: usize) -> String {
        let mut text = self.encode_head_start();
        match (self.has_body(), self.is_chunked) {
            (false, _) => text.push_str("\r\n"),
            (true, true) => text.push_str("transfer-encoding: chunked\r\n\r\n"),
            (true, false) => {
                // Writing to a string never fails.
                let _ = write!(text, "content-length: {length}\r\n\r\n");
            }
        }
        text
    }

    fn encode_head_start(&self) -> String {
        let mut text = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text
    }

    fn encode_body(&self) -> String {
        if !self.is_chunked {
            return self.body.clone();
        }
        let (first, second) = self.body.split_at(self.body.len() / 2);
        let chunk = |part: &str| match part.len() {
            0 => String::new(),
            len => format!("{len:x}\r\n{part}\r\n"),
        };
        format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
    }

    /// Writes the response with a fault; returns whether the connection can be reused.
    pub(crate) async fn write_faulty(
        mut self,
        connection: &mut TargetConnection,
        fault: ResponseFault,
    ) -> io::Result<bool> {
        let length = self.body.len();
        let half = self.body[..length / 2].to_owned();
        let text = match fault {
            ResponseFault::Truncated => format!("{}{half}", self.encode_head(length)),
            ResponseFault::CutChunks => {
                self.is_chunked = true;
                let whole = self.encode_body();
                format!("{}{}", self.encode_head(0), &whole[..whole.len() - 5])
            }
            ResponseFault::BadChunk => {
                self.is_chunked = true;
                format!("{}{:x}\r\n{half}\r\nzz\r\n", self.encode_head(0), half.len())
            }
            ResponseFault::OverLong => format!("{}{}more", self.encode_head(length), self.body),
            ResponseFault::Crossed => {
                self.headers.retain(|(name, _)| *name != "bay-request");
                self.headers.push(("bay-request", String::from("another-request")));
                String::from_utf8_lossy(&self.encode()).into_owned()
            }
            ResponseFault::Silent => future::pending().await,
            ResponseFault::SilentBody => {
                connection.write(self.encode_head(length).as_bytes()).await?;
                connection.write(half.as_bytes()).await?;
                future::pending().await
            }
            ResponseFault::Lengthless => format!("{}\r\n{}", self.encode_head_start(), self.body),
            ResponseFault::TwoLengths => {
                let lengths = format!("content-length: 1\r\ncontent-length: {length}\r\n\r\n");
                format!("{}{lengths}{}", self.encode_head_start(), self.body)
            }
            ResponseFault::NotAscii => {
                self.headers.push(("x-name", String::from("Tõnu")));
                String::from_utf8_lossy(&self.encode()).into_owned()
            }
            ResponseFault::Interim => {
                connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                connection.write(&self.encode()).await?;
                return Ok(true);
            }
            ResponseFault::Late => {
                connection.write(&self.encode()).await?;
                return Ok(true);
            }
            ResponseFault::Closed => return Ok(false),
        };
        connection.write(text.as_bytes()).await?;
        Ok(false)
    }
}
