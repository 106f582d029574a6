use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A message with its start line, headers in lower case and body.
pub struct Message {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` if the connection ends or breaks first.
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
        Some(Message { line: line.trim().to_owned(), headers, body })
    }

    /// The word of the start line at an index.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or_default()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Serves each connection to a new loopback address on a thread of its own.
pub fn listen<F>(serve: F) -> SocketAddr
where
    F: Fn(TcpStream) + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let address = listener.local_addr().expect("a bound address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}
