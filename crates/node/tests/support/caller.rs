use std::net::{Shutdown, SocketAddr};

use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};

/// A caller's connection.
pub struct Caller {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// An answer as far as it came.
#[derive(Debug)]
pub struct Received {
    pub head: String,
    pub body: Vec<u8>,
    /// Whether the answer's end was seen.
    pub complete: bool,
}

impl Received {
    /// The HTTP status; zero if there was no answer.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// The value of a header, which occurs at most once.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let mut values = lines.filter(|(found, _)| found.eq_ignore_ascii_case(name));
        let value = values.next().map(|(_, value)| value);
        assert!(values.next().is_none(), "{name} occurs twice in {}", self.head);
        value
    }

    /// The body as text.
    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

impl Caller {
    pub async fn connect(to: SocketAddr) -> Caller {
        Caller { stream: TcpStream::connect(to).await.unwrap(), buf: Vec::new() }
    }

    /// Another hold on the same connection, to send while an answer is awaited.
    pub fn second(&self) -> Caller {
        Caller { stream: self.stream.clone(), buf: Vec::new() }
    }

    /// Sends bytes; a gate that has closed the connection may take no more.
    pub async fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).await.is_ok()
    }

    /// Ends the direction to the gate.
    pub fn end(&self) {
        self.stream.shutdown(Shutdown::Write).unwrap();
    }

    /// Reads the answer to a request other than HEAD.
    pub async fn receive(&mut self) -> Received {
        self.receive_to("GET").await
    }

    /// Reads the answer to a request with this method.
    pub async fn receive_to(&mut self, method: &str) -> Received {
        let mut received = Received { head: String::new(), body: Vec::new(), complete: false };
        let Some(head) = self.read_until(b"\r\n\r\n").await else {
            return received;
        };
        received.head = String::from_utf8(head).unwrap();
        let bodiless = method == "HEAD" || matches!(received.status(), 100..200 | 204 | 304);
        received.complete = if bodiless {
            true
        } else if received.header("transfer-encoding") == Some("chunked") {
            self.read_chunks(&mut received.body).await
        } else {
            let length = received.header("content-length").unwrap().parse().unwrap();
            self.read_exact(length, &mut received.body).await
        };
        received
    }

    /// Waits for the gate to close the connection; returns what came before.
    pub async fn rest(&mut self) -> Vec<u8> {
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
