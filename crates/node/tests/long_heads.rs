//! Heads that are longer than a connection's buffer, within the operator's limit and over it.

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, answer_to, config, request_status, server_entry,
    start_router, start_router_with_memory, start_scripted_server, start_server,
};
use test_case::test_case;

/// Limits of a head, in bytes.
const FIRST_LIMIT: usize = 16_384;
const RAISED_LIMIT: usize = 65_536;

fn write_config(store: &FakeStore, version: &str, limit: usize) {
    let mut config = config("2s", &[("/read/", "safe", "pool"), ("/book/", "unsafe", "pool")]);
    config["version"] = version.into();
    config["limits"]["max-header-bytes"] = limit.into();
    store.write("config/main", Some(config));
}

fn start(limit: usize, server: SocketAddr) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    write_config(&store, "r1", limit);
    store.write("servers/i-1", Some(server_entry("pool", server, 64)));
    let router = start_router("h1", address, &[]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
}

/// Returns a request whose head has this length, with fields of a length.
fn request(start_line: &str, id: &str, length: usize, field_length: usize) -> String {
    let end = "\r\n";
    let mut text = format!("{start_line} HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\n");
    while text.len() + end.len() < length {
        let rest = (length - text.len() - end.len()).min(field_length);
        let value = "n".repeat(rest.saturating_sub("x: \r\n".len()).max(1));
        text += &format!("x: {value}\r\n");
    }
    text + end
}

/// Reads an answer; returns its status, or `None` if the connection ends.
fn read_status(reader: &mut BufReader<TcpStream>) -> Option<u16> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut length = 0;
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line).ok()?;
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    Some(status)
}

/// Sends requests on one connection, each while the one before has no answer; returns the statuses.
fn exchange(router: &RunningRouter, requests: &[String]) -> Vec<Option<u16>> {
    let mut stream = TcpStream::connect(router.listen).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    for request in requests {
        stream.write_all(request.as_bytes()).unwrap();
        thread::sleep(Duration::from_millis(60));
    }
    let mut reader = BufReader::new(stream);
    requests.iter().map(|_| read_status(&mut reader)).collect()
}

fn short(id: &str) -> String {
    request("GET /read/x", id, 0, 0)
}

/// Guards against a lost answer: the connection was closed at a head longer than its buffer.
#[test_case(20_000, 20_000; "one long field")]
#[test_case(40_000, 60; "many fields")]
#[test_case(65_536, 8_000; "a head as long as the limit")]
fn a_head_within_the_limit_is_answered(length: usize, field_length: usize) {
    let (_store, router) = start(RAISED_LIMIT, start_server("i-1", ServerBehavior::Delayed));
    let long = request("GET /read/x", "b", length, field_length);
    assert_eq!(exchange(&router, std::slice::from_ref(&long)), [Some(200)], "first");
    assert_eq!(exchange(&router, &[short("a"), long.clone()]), [Some(200); 2], "behind another");
    let path = format!("GET /read/{}", "p".repeat(length - 2_000));
    let long_path = request(&path, "b", 0, 0);
    assert_eq!(exchange(&router, &[short("a"), long_path]), [Some(200); 2], "a long path");
    let head = request("POST /book/x", "b", length - 100, field_length);
    let head = head.trim_end_matches("\r\n");
    let with_body = format!("{head}\r\nContent-Length: 4\r\n\r\nbody");
    assert_eq!(exchange(&router, &[with_body, short("c")]), [Some(200); 2], "with a body");
}

/// Guards against a connection that ends without an answer: a head over the limit is refused, also one
/// that is longer than a connection's buffer.
#[test_case(FIRST_LIMIT, 30_000)]
#[test_case(RAISED_LIMIT, 70_000)]
#[test_case(RAISED_LIMIT, 600_000)]
fn a_head_over_the_limit_is_refused_behind_the_answers_before_it(limit: usize, length: usize) {
    let (_store, router) = start(limit, start_server("i-1", ServerBehavior::Delayed));
    let long = request("GET /read/x", "b", length, 900);
    assert_eq!(exchange(&router, std::slice::from_ref(&long)), [Some(431)], "first");
    assert_eq!(exchange(&router, &[short("a"), long]), [Some(200), Some(431)], "behind another");
}

#[test]
fn a_raised_limit_holds_for_open_connections() {
    let (store, router) = start(FIRST_LIMIT, start_server("i-1", ServerBehavior::Delayed));
    let mut stream = TcpStream::connect(router.listen).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    stream.write_all(short("a").as_bytes()).unwrap();
    assert_eq!(read_status(&mut reader), Some(200));
    write_config(&store, "r2", RAISED_LIMIT);
    let long = request("GET /read/x", "b", 20_000, 20_000);
    while exchange(&router, std::slice::from_ref(&long)) != [Some(200)] {}
    stream.write_all(short("c").as_bytes()).unwrap();
    stream.write_all(long.as_bytes()).unwrap();
    assert_eq!([read_status(&mut reader), read_status(&mut reader)], [Some(200); 2]);
}

/// Guards against a sound answer that is given up: the head was longer than a connection's buffer.
#[test]
fn an_answer_with_a_long_head_is_passed_on() {
    let server = start_scripted_server(|request, _| {
        let headers = "x-note: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".repeat(1_000);
        answer_to(request, 200, &format!("Response-Signature: s\r\n{headers}"), "body")
    });
    let (_store, router) = start(FIRST_LIMIT, server);
    assert_eq!(exchange(&router, &[short("a"), short("b")]), [Some(200); 2]);
}

/// Guards against memory without a bound: callers that send most of a long head, and then nothing.
#[test]
fn unfinished_long_heads_leave_memory_for_others() {
    const MEMORY_MB: u64 = 16;
    let (store, address) = FakeStore::start();
    write_config(&store, "r1", 200_000);
    let server = start_server("i-1", ServerBehavior::Echo);
    store.write("servers/i-1", Some(server_entry("pool", server, 64)));
    let router = start_router_with_memory("h1", address, &[], MEMORY_MB);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    let long = request("GET /read/x", "b", 190_000, 900);
    let callers: Vec<TcpStream> = (0..60)
        .map(|_| {
            let mut stream = TcpStream::connect(router.listen).unwrap();
            // The router may have refused the head before its end.
            let _ = stream.write_all(&long.as_bytes()[..180_000]);
            stream
        })
        .collect();
    assert_eq!(exchange(&router, &[short("a")]), [Some(200)]);
    // Usual buffers do not count against the limit of those that grow.
    let usual_buffers = 64 * 16 * 1024;
    let peak = router.metric("buffers_peak_bytes").unwrap();
    assert!(peak <= (MEMORY_MB << 20) / 4 + usual_buffers, "{peak} bytes");
    let refused = callers.into_iter().filter(|stream| {
        stream.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
        read_status(&mut BufReader::new(stream.try_clone().unwrap())) == Some(503)
    });
    assert!(refused.count() > 0, "some are refused at once");
}
