use std::io;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Bytes read at once.
const READ_BYTES: usize = 32 * 1024;

/// Longest head of a request, in bytes.
const MAX_HEAD: usize = 64 * 1024;

/// A gate's connection to a target, with full control over what is answered.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// A request as the target sees it.
#[derive(Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    headers: Vec<(String, String)>,
}

impl TargetRequest {
    /// A header's value; the name is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// A header's value as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// The time that the request has.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        self.number("bay-deadline-ms").map(Duration::from_millis)
    }
}

impl TargetConnection {
    /// A connection that was accepted.
    pub(crate) fn new(stream: TcpStream) -> TargetConnection {
        TargetConnection { stream, buf: Vec::new() }
    }

    /// Reads a request's head; `None` means that the gate has closed the connection.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<TargetRequest>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..at + 4).collect();
                return parse(&head).map(Some);
            }
            if self.buf.len() > MAX_HEAD {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a request's whole body.
    pub(crate) async fn read_body(&mut self, req: &TargetRequest) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if req.header("transfer-encoding").is_none() {
            self.take(req.number("content-length").unwrap_or_default(), &mut body).await?;
            return Ok(body);
        }
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                self.take(2, &mut Vec::new()).await?;
                return Ok(body);
            }
            self.take(size, &mut body).await?;
            self.take(2, &mut Vec::new()).await?;
        }
    }

    async fn read_chunk_size(&mut self) -> io::Result<u64> {
        loop {
            match httparse::parse_chunk_size(&self.buf) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.buf.drain(..used);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) => self.fill_more().await?,
                Err(_) => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    async fn take(&mut self, count: u64, out: &mut Vec<u8>) -> io::Result<()> {
        let mut left = count as usize;
        loop {
            let part = left.min(self.buf.len());
            out.extend(self.buf.drain(..part));
            left -= part;
            if left == 0 {
                return Ok(());
            }
            self.fill_more().await?;
        }
    }

    /// Waits until the gate has closed the connection.
    pub(crate) async fn closed(&mut self) {
        while matches!(self.fill().await, Ok(1..)) {}
    }

    /// Writes to the gate.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn fill_more(&mut self) -> io::Result<()> {
        match self.fill().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = vec![0; READ_BYTES];
        let count = self.stream.read(&mut bytes).await?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn parse(head: &[u8]) -> io::Result<TargetRequest> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut headers = [httparse::EMPTY_HEADER; 128];
    let mut req = httparse::Request::new(&mut headers);
    req.parse(head).map_err(|_| invalid())?;
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = req.headers.iter().map(|h| (h.name.to_ascii_lowercase(), text(h.value)));
    Ok(TargetRequest {
        method: req.method.ok_or_else(invalid)?.to_owned(),
        path: req.path.ok_or_else(invalid)?.to_owned(),
        headers: headers.collect(),
    })
}
