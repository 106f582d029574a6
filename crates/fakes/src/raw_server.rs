use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Response of a server in trouble: any bytes, well formed or not.
#[derive(Debug, Clone, Copy)]
pub struct RawResponse {
    /// Bytes that are sent first.
    pub start: &'static [u8],
    /// Text that follows again and again.
    pub repeated: &'static str,
    /// Number of bytes of repeated text after which the connection is closed, rounded up.
    pub repeated_bytes: usize,
}

/// Repetitions that are written at once.
const PORTION: usize = 1 << 14;

/// Starts a server that sends a response to the request on each of its connections.
///
/// It runs on a thread of its own, so that a client that keeps all bytes can't slow it down.
///
/// # Errors
/// Returns an error if no port can be opened.
pub fn start_raw_server(response: RawResponse) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            // The client closes the connection of a response that it has given up.
            let _: io::Result<()> = send_response(stream, response);
        }
    });
    Ok(address)
}

fn send_response(mut stream: TcpStream, response: RawResponse) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    stream.write_all(response.start)?;
    let portion = response.repeated.repeat(PORTION);
    let mut sent = 0;
    while sent < response.repeated_bytes {
        stream.write_all(portion.as_bytes())?;
        sent += portion.len();
    }
    Ok(())
}
