//! Answers that arrive while their request is still being sent.

mod platform;

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, config, read_head, request_status, server_entry, start_raw_server,
    start_router,
};
use serde_json::json;
use socket2::SockRef;
use test_case::test_case;

/// Length of a request's body, in bytes. It exceeds what the system buffers of a connection take.
const REQUEST_BYTES: usize = 24 << 20;

/// Address that refuses connections.
const UNREACHABLE: &str = "127.0.0.1:9";

/// Body of the answers.
const BODY: &[u8] = &[b'a'; 10_000];

/// Length of a part of an answer that is passed on while it is read, in bytes.
const LONG_BYTES: usize = 3 << 20;

/// Time after which the router waits for the server to read on.
const UPLOAD_PAUSE: Duration = Duration::from_millis(100);

/// How an answer says where its body ends, and whether it is sent up to there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sent {
    Lengthless,
    WithLength,
    InChunks,
    CutWithLength,
    CutInChunks,
}

/// How a server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It ends its sending side, and reads what still comes.
    Closed,
    /// It ends its sending side, and resets the connection after that.
    ClosedAndReset,
    /// It resets the connection right behind the answer.
    Reset,
}

impl Sent {
    fn encode(self) -> Vec<u8> {
        let framing = match self {
            Sent::Lengthless => String::new(),
            Sent::WithLength => format!("Content-Length: {}\r\n", BODY.len()),
            Sent::CutWithLength => format!("Content-Length: {}\r\n", BODY.len() + 1),
            Sent::InChunks | Sent::CutInChunks => "Transfer-Encoding: chunked\r\n".to_owned(),
        };
        let head =
            format!("HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n{framing}\r\n");
        let chunk_size = format!("{:x}\r\n", BODY.len());
        let (before, after) = match self {
            Sent::InChunks => (chunk_size.as_str(), "\r\n0\r\n\r\n"),
            Sent::CutInChunks => (chunk_size.as_str(), "\r\n"),
            _ => ("", ""),
        };
        [head.as_bytes(), before.as_bytes(), BODY, after.as_bytes()].concat()
    }
}

/// Starts a server that answers each request before it has read its body.
fn start_server(sent: Sent, end: End) -> SocketAddr {
    start_raw_server(move |stream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if read_head(&mut reader).is_none() {
            return;
        }
        thread::sleep(UPLOAD_PAUSE);
        let _closed: std::io::Result<()> = (&mut &stream).write_all(&sent.encode());
        if end != End::Reset {
            let _closed: std::io::Result<()> = stream.shutdown(Shutdown::Write);
        }
        if end == End::Closed {
            let _closed: std::io::Result<u64> = std::io::copy(&mut reader, &mut std::io::sink());
        } else {
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    })
}

/// A router, and what it needs to run.
struct Site {
    router: RunningRouter,
    _stores: Vec<FakeStore>,
    /// The router that opens tunnels.
    _helper: Option<RunningRouter>,
}

/// Starts a router in front of a server.
fn start(server: SocketAddr) -> Site {
    let (store, address) = start_store(server);
    let router = start_router("h1", address, &[]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    Site { router, _stores: vec![store], _helper: None }
}

/// Starts a router that reaches a server only through the tunnels of another. The routers have stores
/// of their own, so that each knows the server by another address.
fn start_behind_tunnel(server: SocketAddr) -> Site {
    let helper = start(server);
    let (store, address) = start_store(UNREACHABLE.parse().unwrap());
    let record = json!({"peer": helper.router.peer, "incarnation": 1, "zone": "a", "size": 1.0});
    store.write("bay-hosts/h1", Some(record));
    let router = start_router("h2", address, &[]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    // Connections that fail show that only a tunnel helps.
    while router.metric("tunnel_opened").is_none() {
        upload(&router, "/up/x");
    }
    let stores = helper._stores.into_iter().chain([store]).collect();
    Site { router, _stores: stores, _helper: Some(helper.router) }
}

fn start_store(server: SocketAddr) -> (FakeStore, SocketAddr) {
    let (store, address) = FakeStore::start();
    let routes = [("/up/", "upload", "pool"), ("/load/", "download", "pool")];
    let mut config = config("1s", &routes);
    config["limits"]["max-body-bytes"] = json!(REQUEST_BYTES);
    store.write("config/main", Some(config));
    for name in ["i-1", "i-2"] {
        store.write(&format!("servers/{name}"), Some(server_entry("pool", server, 4)));
    }
    (store, address)
}

/// Uploads a body; returns the connection on which the answer arrives.
fn start_upload(router: &RunningRouter, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(router.listen).unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nConnection: close\r\n\
         Content-Length: {REQUEST_BYTES}\r\n\r\n"
    );
    stream.write_all(&[head.into_bytes(), vec![b'b'; REQUEST_BYTES]].concat()).unwrap();
    stream
}

/// Uploads a body; returns the status and the body of the answer.
fn upload(router: &RunningRouter, path: &str) -> (u16, Vec<u8>) {
    let mut stream = start_upload(router, path);
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    let head_end = answer.windows(4).position(|part| part == b"\r\n\r\n").unwrap() + 4;
    let status = std::str::from_utf8(&answer[9..12]).unwrap().parse().unwrap();
    (status, answer.split_off(head_end))
}

fn assert_not_passed_on(router: &RunningRouter) {
    for path in ["/up/x", "/load/x", "/up/x", "/load/x"] {
        let (status, body) = upload(router, path);
        let is_error = (502..=504).contains(&status);
        assert!(is_error && !body.starts_with(BODY), "{status}, {} bytes, {path}", body.len());
    }
}

fn assert_passed_on(router: &RunningRouter) {
    for path in ["/up/x", "/load/x"] {
        let (status, body) = upload(router, path);
        assert!(status == 200 && body == BODY, "{status}, {} bytes, {path}", body.len());
    }
}

/// Guards against a part of an answer that passes for the whole: the write that a reset interrupts
/// must not hide the reset from the reader of the answer.
#[test_case(Sent::Lengthless; "without a length")]
#[test_case(Sent::CutWithLength; "with a length")]
#[test_case(Sent::CutInChunks; "in chunks")]
fn an_early_answer_cut_by_a_reset_is_not_passed_on(sent: Sent) {
    assert_not_passed_on(&start(start_server(sent, End::Reset)).router);
}

/// Guards against the same with an answer that is passed on while it is read.
#[test_case(&format!("Content-Length: {}\r\n\r\n", 2 * LONG_BYTES); "with a length")]
#[test_case(&format!("Transfer-Encoding: chunked\r\n\r\n{LONG_BYTES:x}\r\n"); "in chunks")]
fn a_streamed_early_answer_cut_by_a_reset_ends_early_for_its_caller(framing: &str) {
    let head = format!("HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n{framing}");
    let part = [head.as_bytes(), &[b'a'; LONG_BYTES], b"\r\n"].concat();
    let (streamed, is_streamed) = async_channel::bounded(1);
    let server = start_raw_server(move |stream| {
        if read_head(&mut BufReader::new(stream.try_clone().unwrap())).is_some() {
            let _closed: std::io::Result<()> = (&mut &stream).write_all(&part);
            is_streamed.recv_blocking().unwrap();
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
        }
    });
    let site = start(server);
    for _ in 0..4 {
        let mut stream = start_upload(&site.router, "/load/x");
        let mut answer = vec![0; LONG_BYTES / 2];
        stream.read_exact(&mut answer).unwrap();
        streamed.send_blocking(()).unwrap();
        stream.read_to_end(&mut answer).unwrap();
        assert!(answer.starts_with(b"HTTP/1.1 200 "));
        assert!(answer.len() < 2 * LONG_BYTES && !answer.ends_with(b"0\r\n\r\n"));
    }
}

#[test_case(Sent::Lengthless; "without a length")]
#[test_case(Sent::CutWithLength; "with a length")]
fn an_early_answer_cut_by_a_reset_is_not_passed_on_through_a_tunnel(sent: Sent) {
    assert_not_passed_on(&start_behind_tunnel(start_server(sent, End::Reset)).router);
}

#[test_case(Sent::Lengthless, End::Closed; "without a length, then closed")]
#[test_case(Sent::Lengthless, End::ClosedAndReset; "without a length, then closed and reset")]
#[test_case(Sent::WithLength, End::Closed; "with a length, then closed")]
#[test_case(Sent::WithLength, End::Reset; "with a length, then reset")]
#[test_case(Sent::InChunks, End::Closed; "in chunks, then closed")]
#[test_case(Sent::InChunks, End::Reset; "in chunks, then reset")]
fn a_whole_early_answer_is_passed_on(sent: Sent, end: End) {
    assert_passed_on(&start(start_server(sent, end)).router);
}

#[test_case(Sent::Lengthless, End::Closed; "without a length, then closed")]
#[test_case(Sent::Lengthless, End::ClosedAndReset; "without a length, then closed and reset")]
#[test_case(Sent::WithLength, End::Reset; "with a length, then reset")]
fn a_whole_early_answer_is_passed_on_through_a_tunnel(sent: Sent, end: End) {
    assert_passed_on(&start_behind_tunnel(start_server(sent, end)).router);
}
