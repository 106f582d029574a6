//! The side of a tunnel that other routers connect to.

mod platform;
mod process;

use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, read_head, request_status, server_entry,
    settings_json, start_raw_server, start_router, start_server,
};
use socket2::{Domain, SockRef, Socket, Type};
use test_case::test_case;

/// Encoded answers of a router.
const OPEN: u8 = 0;
const UNAVAILABLE: u8 = 1;
const UNKNOWN_SERVER: u8 = 2;
const SERVER_UNREACHABLE: u8 = 3;

/// Starts a router that knows the servers `i-1`, which may have no listener, and `i-3`.
fn start(has_listener: bool, behavior: ServerBehavior) -> (FakeStore, RunningRouter) {
    start_with_bounds(has_listener, behavior, &["grace=2s", "hold-max=10s"])
}

/// Like [`start`], with bounds of the platform.
fn start_with_bounds(
    has_listener: bool,
    behavior: ServerBehavior,
    bounds: &'static [&'static str],
) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[])));
    let server = match has_listener {
        true => start_server("i-1", behavior),
        false => "127.0.0.1:9".parse().unwrap(),
    };
    // With a second server, one that does not listen does not make the router cut off.
    for (name, address) in [("i-1", server), ("i-3", start_server("i-3", behavior))] {
        store.write(&format!("servers/{name}"), Some(server_entry("pool", address, 4)));
    }
    let router = start_router("h1", address, bounds);
    while !is_ready(&router) {}
    (store, router)
}

fn is_ready(router: &RunningRouter) -> bool {
    request_status(router.ready, "GET", "/api/ready") == 200
}

/// Asks for a tunnel to a server's process; returns the answer, if there is one.
fn request_tunnel(peer: SocketAddr, server: &str, started: u8) -> (TcpStream, Option<u8>) {
    let mut body = vec![server.len() as u8];
    body.extend_from_slice(server.as_bytes());
    body.push(started);
    let mut message = (body.len() as u16).to_be_bytes().to_vec();
    message.extend_from_slice(&body);
    send(peer, &message)
}

fn send(peer: SocketAddr, message: &[u8]) -> (TcpStream, Option<u8>) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(CLIENT_BUFFER_BYTES).unwrap();
    socket.connect(&peer.into()).unwrap();
    let mut stream = TcpStream::from(socket);
    stream.write_all(message).unwrap();
    let mut answer = [0; 1];
    let count = stream.read(&mut answer).unwrap_or(0);
    (stream, (count == 1).then_some(answer[0]))
}

const REQUEST: &[u8] = b"GET /x HTTP/1.1\r\nExpected-Instance: i-1\r\n\r\n";

#[test]
fn bytes_pass_in_both_directions_until_the_client_closes() {
    let (_store, router) = start(true, ServerBehavior::Echo);
    let (mut stream, answer) = request_tunnel(router.peer, "i-1", 1);
    assert_eq!(answer, Some(OPEN));
    for _ in 0..3 {
        stream.write_all(REQUEST).unwrap();
        let mut text = String::new();
        while !text.ends_with("i-1 /x 0") {
            let mut byte = [0; 1];
            stream.read_exact(&mut byte).unwrap();
            text.push(char::from(byte[0]));
        }
    }
}

#[test_case("i-2", 1, true, UNKNOWN_SERVER; "another server")]
#[test_case("i-1", 2, true, UNKNOWN_SERVER; "another process of the server")]
#[test_case("i-1", 1, false, SERVER_UNREACHABLE; "no listener")]
fn a_tunnel_that_cannot_be_opened_is_refused(
    server: &str,
    started: u8,
    has_listener: bool,
    expected: u8,
) {
    let (_store, router) = start(has_listener, ServerBehavior::Echo);
    let (mut stream, answer) = request_tunnel(router.peer, server, started);
    assert_eq!(answer, Some(expected));
    assert_eq!(stream.read(&mut [0; 1]).unwrap_or(0), 0, "the connection is closed");
}

#[test_case(&[0xff, 0xff]; "too long")]
#[test_case(&[0, 3, 9, 9, 9]; "not a request")]
fn a_malformed_request_for_a_tunnel_gets_no_answer(message: &[u8]) {
    let (_store, router) = start(true, ServerBehavior::Echo);
    assert_eq!(send(router.peer, message).1, None);
    assert_eq!(request_tunnel(router.peer, "i-1", 1).1, Some(OPEN), "the router serves others");
}

#[test]
fn a_planned_stop_finishes_the_requests_in_tunnels() {
    let (_store, router) = start(true, ServerBehavior::Delayed);
    let (mut stream, answer) = request_tunnel(router.peer, "i-1", 1);
    assert_eq!(answer, Some(OPEN));
    router.stop.send_blocking(()).unwrap();
    while is_ready(&router) {}
    let (_, answer) = request_tunnel(router.peer, "i-1", 1);
    assert_eq!(answer, Some(UNAVAILABLE), "a stopping router opens no more tunnels");
    stream.write_all(REQUEST).unwrap();
    let mut head = [0; 12];
    stream.read_exact(&mut head).unwrap();
    assert!(head.ends_with(b"200"));
}

/// Opens a tunnel to a server that the router does not know yet.
fn open_tunnel_to(store: &FakeStore, peer: SocketAddr, server: SocketAddr) -> TcpStream {
    store.write("servers/i-4", Some(server_entry("pool", server, 4)));
    let mut tunnel = request_tunnel(peer, "i-4", 1);
    while tunnel.1 == Some(UNKNOWN_SERVER) {
        tunnel = request_tunnel(peer, "i-4", 1);
    }
    assert_eq!(tunnel.1, Some(OPEN));
    tunnel.0
}

/// Guards against a stop that ends the process between two parts of an answer that another router gets
/// through it.
#[test]
fn a_planned_stop_completes_the_answers_in_tunnels() {
    let (store, router) = start_with_bounds(true, ServerBehavior::Echo, &["grace=6s"]);
    let mut stream = open_tunnel_to(&store, router.peer, start_slow_writer());
    router.stop.send_blocking(()).unwrap();
    while is_ready(&router) {}
    stream.write_all(REQUEST).unwrap();
    let mut text = String::new();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let _ends_with_the_tunnel = stream.read_to_string(&mut text);
    assert!(text.ends_with(&SLOW_PARTS.concat()), "{text}");
    assert!(router.stopped.recv().is_err(), "the channel closes when the stop is complete");
}

/// Parts of an answer, between which its server pauses.
const SLOW_PARTS: [&str; 3] = ["HTTP/1.1 200 X\r\nContent-Length: 8\r\n\r\n", "half", "half"];

/// Pause after each part. The last one follows when a router without other work would end.
const PART_INTERVAL: Duration = Duration::from_millis(1_300);

/// Time without a further part of an answer after which a test gives up.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that writes an answer in parts as soon as a connection is open, and closes it then.
fn start_slow_writer() -> SocketAddr {
    start_raw_server(|mut stream| {
        let _ = stream.read(&mut [0; 512]);
        for part in SLOW_PARTS {
            let _ = stream.write_all(part.as_bytes());
            thread::sleep(PART_INTERVAL);
        }
    })
}

/// How a server ends its connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It ends its sending side, and reads what still comes.
    Closed,
    /// It resets the connection right behind the answer.
    Reset,
    /// It keeps the connection open.
    Kept,
}

/// Length of an answer, in bytes. The system takes it whole from the server at once, but not for a client
/// that reads nothing.
const ANSWER_BYTES: usize = 48 * 1024;

/// Length of a client's buffer for what it has not read, in bytes.
const CLIENT_BUFFER_BYTES: usize = 4 * 1024;

/// Time after which the router waits for a server that does not read.
const UPLOAD_PAUSE: Duration = Duration::from_millis(300);

/// Starts a server that answers the head of each request, and ends the connection.
fn start_ending_server(end: End) -> SocketAddr {
    start_raw_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if read_head(&mut reader).is_none() {
            return;
        }
        thread::sleep(UPLOAD_PAUSE);
        let _closed: std::io::Result<()> = (&mut &stream).write_all(&[b'a'; ANSWER_BYTES]);
        match end {
            End::Closed => {
                let _closed: std::io::Result<()> = stream.shutdown(Shutdown::Write);
            }
            End::Reset => {
                return SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            End::Kept => {}
        }
        let _closed: std::io::Result<u64> = std::io::copy(&mut reader, &mut std::io::sink());
    })
}

/// Length of an upload that exceeds what the system buffers of both connections take, in bytes.
const UPLOAD_BYTES: usize = 24 << 20;

/// Sends a request through a tunnel, with bytes of a body behind it, and reads nothing for a while;
/// returns the number of bytes of the answer, and whether the connection was reset behind them.
fn exchange(mut stream: TcpStream, body_bytes: usize) -> (usize, bool) {
    let is_reset = |result: std::io::Result<()>| {
        result.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset)
    };
    let mut writer = stream.try_clone().unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(REQUEST).unwrap();
    // The system reports a reset once, to this thread or the other.
    let written = thread::spawn(move || is_reset(writer.write_all(&vec![b'b'; body_bytes])));
    thread::sleep(2 * UPLOAD_PAUSE);
    let mut answer = Vec::new();
    let has_failed = is_reset(stream.read_to_end(&mut answer).map(|_| ()));
    (answer.len(), written.join().unwrap() || has_failed)
}

/// Guards against a part of an answer without a length that passes for the whole at another router,
/// and against the loss of what came before the reset.
#[test]
fn a_reset_by_the_server_reaches_the_client_behind_all_bytes() {
    let (store, router) = start(true, ServerBehavior::Echo);
    let server = start_ending_server(End::Reset);
    let stream = open_tunnel_to(&store, router.peer, server);
    assert_eq!(exchange(stream, 0), (ANSWER_BYTES, true));
}

#[test]
fn a_close_by_the_server_reaches_the_client_behind_all_bytes() {
    let (store, router) = start(true, ServerBehavior::Echo);
    let server = start_ending_server(End::Closed);
    let stream = open_tunnel_to(&store, router.peer, server);
    assert_eq!(exchange(stream, 0), (ANSWER_BYTES, false));
}

/// Guards against the same when this router ends while the server is still at work.
#[test]
fn a_planned_stop_resets_tunnels_in_the_middle_of_an_answer() {
    let (store, router) = start_with_bounds(true, ServerBehavior::Echo, &["grace=6s"]);
    let server = start_ending_server(End::Kept);
    let stream = open_tunnel_to(&store, router.peer, server);
    router.stop.send_blocking(()).unwrap();
    assert_eq!(exchange(stream, 0), (ANSWER_BYTES, true));
}

/// Guards against the same when the process of this router ends without any warning.
#[test]
fn a_killed_router_resets_its_tunnels() {
    let (store, store_address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[])));
    let server = start_ending_server(End::Kept);
    let [listen, ready, peer] = [8080, 8081, 7540].map(|port| process::address(1, port));
    let settings = settings_json("h1", listen, ready, peer, store_address);
    let path = std::env::temp_dir().join(format!("bay-tunnels-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).unwrap();
    let mut killed = process::start_router(&path);
    while TcpStream::connect(ready).is_err() {
        thread::sleep(Duration::from_millis(10));
    }
    while request_status(ready, "GET", "/api/ready") != 200 {}
    let mut stream = open_tunnel_to(&store, peer, server);
    stream.write_all(REQUEST).unwrap();
    stream.read_exact(&mut [0; ANSWER_BYTES]).unwrap();
    killed.kill();
    let result = stream.read(&mut [0; 1]);
    assert!(result.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset));
    std::fs::remove_file(&path).unwrap();
}

/// Guards against early answers that are lost, or lose how they ended, when a server takes no more of
/// the request.
#[test_case(End::Closed, false; "closed")]
#[test_case(End::Reset, true; "reset")]
fn an_early_answer_to_an_upload_reaches_the_client_with_its_end(end: End, is_reset: bool) {
    let (store, router) = start(true, ServerBehavior::Echo);
    let server = start_ending_server(end);
    for _ in 0..4 {
        let stream = open_tunnel_to(&store, router.peer, server);
        assert_eq!(exchange(stream, UPLOAD_BYTES), (ANSWER_BYTES, is_reset));
    }
}
