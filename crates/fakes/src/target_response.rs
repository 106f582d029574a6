use std::fmt::Write;
use std::io;

use futures_lite::future;

use crate::ResponseFault;
use crate::target_connection::{TargetConnection, TargetRequest};

/// An answer of a target.
#[derive(Debug)]
pub(crate) struct TargetResponse {
    status: u64,
    headers: Vec<(&'static str, String)>,
    body: String,
    to_head: bool,
    chunked: bool,
}

impl TargetResponse {
    /// An answer with nothing but a body.
    pub(crate) fn plain(status: u64, body: String) -> TargetResponse {
        TargetResponse { status, headers: Vec::new(), body, to_head: false, chunked: false }
    }

    /// The answer to a request that was run.
    pub(crate) fn done(
        req: &TargetRequest,
        received: usize,
        report: Option<String>,
    ) -> TargetResponse {
        let mut answer =
            TargetResponse::plain(req.number("fake-status").unwrap_or(200), String::new());
        answer.body = match req.number("fake-answer-bytes") {
            Some(count) => "a".repeat(count as usize),
            None => format!("{} {} {received}\n", req.method, req.path),
        };
        answer.to_head = req.method == "HEAD";
        answer.chunked = req.header("fake-chunked").is_some();
        answer.echo(req);
        if let Some(report) = report {
            answer.headers.push(("bay-load", report));
        }
        answer
    }

    /// The answer to a request that was not run.
    pub(crate) fn not_run(req: &TargetRequest, reason: &str) -> TargetResponse {
        let mut answer = TargetResponse::plain(503, String::new());
        answer.headers.push(("bay-outcome", String::from("not-run")));
        answer.headers.push(("bay-reason", reason.to_owned()));
        answer.to_head = req.method == "HEAD";
        answer.echo(req);
        answer
    }

    fn echo(&mut self, req: &TargetRequest) {
        if let Some(id) = req.header("bay-request") {
            self.headers.push(("bay-request", id.to_owned()));
        }
    }

    /// The answer's bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let mut text = self.head(self.body.len());
        if !self.to_head && self.has_body() {
            text.push_str(&self.encode_body());
        }
        text.into_bytes()
    }

    fn has_body(&self) -> bool {
        self.status != 204 && self.status != 304
    }

    fn head(&self, length: usize) -> String {
        let mut text = self.bare_head();
        match (self.has_body(), self.chunked) {
            (false, _) => text.push_str("\r\n"),
            (true, true) => text.push_str("transfer-encoding: chunked\r\n\r\n"),
            (true, false) => {
                // Writing to a string does not fail.
                let _ = write!(text, "content-length: {length}\r\n\r\n");
            }
        }
        text
    }

    fn bare_head(&self) -> String {
        let mut text = format!("HTTP/1.1 {} Answer\r\n", self.status);
        for (name, value) in &self.headers {
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text
    }

    fn encode_body(&self) -> String {
        if !self.chunked {
            return self.body.clone();
        }
        let (first, second) = self.body.split_at(self.body.len() / 2);
        let chunk = |part: &str| match part.len() {
            0 => String::new(),
            len => format!("{len:x}\r\n{part}\r\n"),
        };
        format!("{}{}0\r\n\r\n", chunk(first), chunk(second))
    }

    /// Writes the answer with a fault; returns whether the connection can be used again.
    pub(crate) async fn write_wrong(
        mut self,
        connection: &mut TargetConnection,
        fault: ResponseFault,
    ) -> io::Result<bool> {
        let length = self.body.len();
        let half = self.body[..length / 2].to_owned();
        let text = match fault {
            ResponseFault::Truncated => format!("{}{half}", self.head(length)),
            ResponseFault::CutChunks => {
                self.chunked = true;
                let whole = self.encode_body();
                format!("{}{}", self.head(0), &whole[..whole.len() - 5])
            }
            ResponseFault::BadChunk => {
                self.chunked = true;
                format!("{}{:x}\r\n{half}\r\nzz\r\n", self.head(0), half.len())
            }
            ResponseFault::OverLong => format!("{}{}more", self.head(length), self.body),
            ResponseFault::Crossed => {
                self.headers.retain(|(name, _)| *name != "bay-request");
                self.headers.push(("bay-request", String::from("another-request")));
                String::from_utf8_lossy(&self.encode()).into_owned()
            }
            ResponseFault::Silent => future::pending().await,
            ResponseFault::SilentBody => {
                connection.write(self.head(length).as_bytes()).await?;
                connection.write(half.as_bytes()).await?;
                future::pending().await
            }
            ResponseFault::Lengthless => format!("{}\r\n{}", self.bare_head(), self.body),
            ResponseFault::TwoLengths => {
                let lengths = format!("content-length: 1\r\ncontent-length: {length}\r\n\r\n");
                format!("{}{lengths}{}", self.bare_head(), self.body)
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
