use std::net::{Shutdown, SocketAddr};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// A connection of a caller to the gate, with the bytes that were read ahead.
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// A response as far as it was received. `head` is empty if no complete head arrived.
#[derive(Debug)]
pub struct Response {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the response was received to its end.
    pub is_complete: bool,
}

impl Response {
    /// Returns the HTTP status, or zero if there was no response.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Returns the value of a header.
    ///
    /// # Panics
    ///
    /// Panics if the header occurs more than once.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        let value = values.next().map(|(_, value)| value);
        assert!(values.next().is_none(), "{name} occurs twice in {}", self.head);
        value
    }

    /// Returns the body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

impl Caller {
    pub async fn connect(to: SocketAddr) -> Caller {
        Caller { stream: TcpStream::connect(to).await.unwrap(), buf: Vec::new() }
    }

    /// Clones the connection, to send while the original waits for a response.
    pub fn clone_connection(&self) -> Caller {
        Caller { stream: self.stream.clone(), buf: Vec::new() }
    }

    /// Sends bytes. Returns whether it succeeded; it fails after the gate closed the connection.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Closes the sending direction of the connection.
    pub fn close_write(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Reads the response to a request other than HEAD.
    pub async fn read_response(&mut self) -> Response {
        self.read_response_to("GET").await
    }

    /// Reads the response to a request with this method.
    pub async fn read_response_to(&mut self, method: &str) -> Response {
        let mut response = Response { head: String::new(), body: Vec::new(), is_complete: false };
        let Some(head) = self.read_until(b"\r\n\r\n").await else {
            return response;
        };
        response.head = String::from_utf8(head).unwrap();
        let bodiless = method == "HEAD" || matches!(response.status(), 100..200 | 204 | 304);
        response.is_complete = if bodiless {
            true
        } else if response.header("transfer-encoding") == Some("chunked") {
            self.read_chunks(&mut response.body).await
        } else {
            let length = response.header("content-length").unwrap().parse().unwrap();
            self.read_exact(length, &mut response.body).await
        };
        response
    }

    /// Waits for the gate to close the connection. Returns the bytes received before.
    pub async fn read_to_end(&mut self) -> Vec<u8> {
        while self.fill().await {}
        std::mem::take(&mut self.buf)
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let Some(line) = self.read_until(b"\r\n").await else { return false };
            let text = std::str::from_utf8(&line).unwrap().trim_end();
            let size = usize::from_str_radix(text, 16).unwrap();
            if !self.read_exact(size, body).await || self.read_until(b"\r\n").await.is_none() {
                return false;
            }
            if size == 0 {
                return true;
            }
        }
    }

    async fn read_until(&mut self, end: &[u8]) -> Option<Vec<u8>> {
        loop {
            if let Some(at) = self.buf.windows(end.len()).position(|window| window == end) {
                return Some(self.buf.drain(..at + end.len()).collect());
            }
            if !self.fill().await {
                return None;
            }
        }
    }

    async fn read_exact(&mut self, count: usize, out: &mut Vec<u8>) -> bool {
        while self.buf.len() < count {
            if !self.fill().await {
                out.append(&mut self.buf);
                return false;
            }
        }
        out.extend(self.buf.drain(..count));
        true
    }

    async fn fill(&mut self) -> bool {
        let mut bytes = vec![0; 64 * 1024];
        let count = self.stream.read(&mut bytes).await.unwrap_or_default();
        self.buf.extend_from_slice(&bytes[..count]);
        count > 0
    }
}
