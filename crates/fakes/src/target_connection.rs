use std::io;
use std::time::Duration;

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// Size of a read, in bytes.
const READ_BYTES: usize = 32 * 1024;

/// Limit of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Connection from a gate, without an HTTP library, which would reject faulty responses.
#[derive(Debug)]
pub(crate) struct TargetConnection {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// Head of a request.
#[derive(Debug)]
pub(crate) struct TargetRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    headers: Vec<(String, String)>,
}

impl TargetRequest {
    /// Returns the first value of a header; `name` is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a header as a number, or `None` if it is missing or no number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// Returns the time left for the request, from its `bay-deadline-ms` header.
    pub(crate) fn deadline(&self) -> Option<Duration> {
        self.number("bay-deadline-ms").map(Duration::from_millis)
    }
}

impl TargetConnection {
    /// Wraps an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> TargetConnection {
        TargetConnection { stream, buf: Vec::new() }
    }

    /// Reads the head of a request; returns `None` if the gate has closed the connection.
    pub(crate) async fn read_head(&mut self) -> io::Result<Option<TargetRequest>> {
        loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..at + 4).collect();
                return parse_head(&head).map(Some);
            }
            if self.buf.len() > MAX_HEAD_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill_buf().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the whole body of a request.
    pub(crate) async fn read_body(&mut self, req: &TargetRequest) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if req.header("transfer-encoding").is_none() {
            self.read_exact(req.number("content-length").unwrap_or_default(), &mut body).await?;
            return Ok(body);
        }
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                self.read_exact(2, &mut Vec::new()).await?;
                return Ok(body);
            }
            self.read_exact(size, &mut body).await?;
            self.read_exact(2, &mut Vec::new()).await?;
        }
    }

    async fn read_chunk_size(&mut self) -> io::Result<u64> {
        loop {
            match httparse::parse_chunk_size(&self.buf) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.buf.drain(..used);
                    return Ok(size);
                }
                Ok(httparse::Status::Partial) => self.fill_buf_or_fail().await?,
                Err(_) => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    async fn read_exact(&mut self, count: u64, out: &mut Vec<u8>) -> io::Result<()> {
        let mut remaining = count as usize;
        loop {
            let part = remaining.min(self.buf.len());
            out.extend(self.buf.drain(..part));
            remaining -= part;
            if remaining == 0 {
                return Ok(());
            }
            self.fill_buf_or_fail().await?;
        }
    }

    /// Waits until the gate closes the connection; discards what it sends.
    pub(crate) async fn wait_closed(&mut self) {
        while matches!(self.fill_buf().await, Ok(1..)) {}
    }

    /// Writes all bytes to the gate.
    pub(crate) async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    async fn fill_buf_or_fail(&mut self) -> io::Result<()> {
        match self.fill_buf().await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    async fn fill_buf(&mut self) -> io::Result<usize> {
        let mut bytes = vec![0; READ_BYTES];
        let count = self.stream.read(&mut bytes).await?;
        self.buf.extend_from_slice(&bytes[..count]);
        Ok(count)
    }
}

fn parse_head(head: &[u8]) -> io::Result<TargetRequest> {
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
