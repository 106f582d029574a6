//! Servers and stores in trouble that answer the router's own calls with bytes without end.

mod platform;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use bay_fakes::peak_resident_bytes;
use platform::{
    FakeStore, answer_to, config, read_request, server_entry, start_raw_server,
    start_router_with_memory,
};

/// Memory of the router's machine, in megabytes.
const MEMORY_MB: u64 = 260;

/// Bytes after which an endless answer pauses for good, so that a router that keeps them all exceeds its
/// memory and not this machine's.
const SENT_BYTES: usize = 400 << 20;

/// Number of endless answers that a test waits for.
const ANSWERS: usize = 3;

/// Heads of endless answers, and what follows them again and again.
const ENDLESS: [(&str, &str); 5] = [
    ("HTTP/1.1 200 X\r\n\r\n", "body "),
    ("HTTP/1.1 200 X\r\nContent-Length: 9999999999\r\n\r\n", "body "),
    ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"),
    ("HTTP/1.1 200 X\r\n", "X-Filler: aaaaaaaaaaaaaaaa\r\n"),
    ("", "no answer at all "),
];

/// Starts a server, or a store, that answers some calls endlessly. `closed` counts how many of these
/// answers the router has given up.
fn start_endless<F>(
    (head, rest): (&'static str, &'static str),
    closed: &Arc<AtomicUsize>,
    answer: F,
) -> SocketAddr
where
    F: Fn(&platform::Request) -> Option<String> + Clone + Send + 'static,
{
    let closed = Arc::clone(closed);
    start_raw_server(move |stream: TcpStream| {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_request(&mut reader) {
            if let Some(answer) = answer(&request) {
                let _closed: std::io::Result<()> = (&stream).write_all(answer.as_bytes());
                continue;
            }
            let portion = rest.repeat((64 << 10) / rest.len());
            let mut result = (&stream).write_all(head.as_bytes());
            let mut sent = 0;
            while result.is_ok() && sent < SENT_BYTES {
                result = (&stream).write_all(portion.as_bytes());
                sent += portion.len();
            }
            // Ends when the router closes the connection.
            let _closed: std::io::Result<u64> = std::io::copy(&mut reader, &mut std::io::sink());
            closed.fetch_add(1, Ordering::Relaxed);
        }
    })
}

fn assert_given_up(closed: &AtomicUsize, case: &str) {
    while closed.load(Ordering::Relaxed) < ANSWERS {
        thread::sleep(Duration::from_millis(10));
    }
    let bytes = peak_resident_bytes().unwrap();
    assert!(bytes < MEMORY_MB << 20, "{bytes} bytes of memory for {case}");
}

/// One test, as memory is measured for the whole process.
#[test]
fn endless_answers_to_calls_are_given_up_within_the_memory_of_the_machine() {
    for endless in ENDLESS {
        let closed = Arc::default();
        let server = start_endless(endless, &closed, |request| {
            let is_grant = request.request_line.contains("/api/grant");
            (!is_grant).then(|| answer_to(request, 200, "", ""))
        });
        let (store, address) = FakeStore::start();
        store.write("config/main", Some(config("1s", &[])));
        store.write("servers/i-1", Some(server_entry("keyed", server, 4)));
        let _router = start_router_with_memory("h1", address, &["hold-max=10s"], MEMORY_MB);
        assert_given_up(&closed, &format!("grants: {endless:?}"));
        store.write("servers/i-1", None);
    }
    for endless in ENDLESS {
        let closed = Arc::default();
        let store = start_endless(endless, &closed, |_| None);
        let _router = start_router_with_memory("h1", store, &[], MEMORY_MB);
        assert_given_up(&closed, &format!("calls of the store: {endless:?}"));
    }
}
