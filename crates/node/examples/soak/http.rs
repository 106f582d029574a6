use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// An HTTP request or response. The names of its headers are in lower case.
pub struct Message {
    pub start_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message. Returns `None` if the connection closes or fails first. A message without
    /// `content-length` has no body.
    pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let mut headers = BTreeMap::new();
        loop {
            let mut header = String::new();
            if reader.read_line(&mut header).ok()? == 0 {
                return None;
            }
            let Some((name, value)) = header.trim().split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body).ok()?;
        Some(Message { start_line: line.trim().to_owned(), headers, body })
    }

    /// Returns the word of the start line at this index, or an empty string.
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Listens on a free loopback port and returns its address. Each connection gets its own thread.
pub fn start_listener<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}
