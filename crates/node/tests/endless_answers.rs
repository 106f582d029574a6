//! Servers in trouble that send bytes without end, as a head or as a body.

mod platform;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;

use platform::{
    ENDLESS_CLOSED, FakeStore, RunningRouter, ServerBehavior, start_router_with_memory,
    start_server,
};
use serde_json::{Value, json};

/// Requests in flight at the same time.
const CONCURRENT: usize = 60;

/// Memory of the router's machine, in megabytes.
const MEMORY_MB: u64 = 96;

const SIGNED_HEAD: &str = "HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n";

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [["r1", "shop", "/book/", "unsafe", "5s", "5s", 1, 2, "pool"]],
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "warmup", "warmup-per-s", "sharded"],
            "rows": [["pool", "/health", 2 * CONCURRENT, "3s", 5.0, null]],
        },
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 100_000,
                   "header-timeout": "3s", "idle-timeout": "15s"},
    })
}

/// Starts a router in front of a server with enough slots for all requests.
fn start(head: &'static str, rest: &'static str) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config()));
    let server = start_server("i-1", ServerBehavior::Endless(head, rest));
    let entry = json!({"service": "pool", "address": server, "zone": "a", "version": "v1",
                       "slots": CONCURRENT, "state": "ready", "warmup-left": "0ms",
                       "sequence": 1, "born": 1});
    store.write("servers/i-1", Some(entry));
    let router = start_router_with_memory("h1", address, &["hold-max=10s"], MEMORY_MB);
    while status(router.ready, "GET /api/ready") != 200 {}
    (store, router)
}

fn status(address: SocketAddr, method_and_path: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!(
        "{method_and_path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Returns the most memory that this process has had resident, in bytes.
fn peak_memory() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1_024
}

/// One test, as memory is measured for the whole process.
#[test]
fn endless_answers_are_given_up_within_the_memory_of_the_machine() {
    let chunked = "HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n\
                   Transfer-Encoding: chunked\r\n\r\n";
    let until_close = "HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n\r\n";
    for (head, rest) in [
        (SIGNED_HEAD, "X-Filler: aaaaaaaaaaaaaaaa\r\n"),
        ("", "no answer at all "),
        ("", "\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (chunked, "4\r\nbody\r\n"),
        (until_close, "body "),
    ] {
        ENDLESS_CLOSED.store(0, Ordering::Relaxed);
        let (_store, router) = start(head, rest);
        let listen = router.listen;
        let callers =
            (0..CONCURRENT).map(|_| thread::spawn(move || status(listen, "POST /book/x")));
        let callers: Vec<_> = callers.collect();
        let (mut failed, mut refused) = (0, 0);
        for caller in callers {
            match caller.join().unwrap() {
                502 | 504 => failed += 1,
                503 => refused += 1,
                status => panic!("{status} for {head:?}, {rest:?}"),
            }
        }
        assert!(failed > 0 && failed + refused == CONCURRENT);
        while ENDLESS_CLOSED.load(Ordering::Relaxed) < failed as u64 {}
        let bytes = peak_memory();

        assert!(bytes < MEMORY_MB << 20, "{bytes} bytes of memory for {head:?}, {rest:?}");
    }
}
