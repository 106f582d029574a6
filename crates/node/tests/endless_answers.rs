//! Servers in trouble that send bytes without end, as a head or as a body.

mod platform;

use std::sync::atomic::Ordering;
use std::thread;

use bay_fakes::peak_resident_bytes;
use platform::{
    ENDLESS_CLOSED, FakeStore, RunningRouter, ServerBehavior, config, request_status, server_entry,
    start_router_with_memory, start_server,
};

/// Requests in flight at the same time.
const CONCURRENT: usize = 60;

/// Memory of the router's machine, in megabytes.
const MEMORY_MB: u64 = 96;

const SIGNED_HEAD: &str = "HTTP/1.1 200 X\r\nRequest-Id: q\r\nResponse-Signature: s\r\n";

/// Starts a router in front of a server with enough slots for all requests.
fn start(head: &'static str, rest: &'static str) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("5s", &[("/book/", "unsafe", "pool")])));
    let server = start_server("i-1", ServerBehavior::Endless(head, rest));
    store.write("servers/i-1", Some(server_entry("pool", server, CONCURRENT)));
    let router = start_router_with_memory("h1", address, &["hold-max=10s"], MEMORY_MB);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
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
        let callers = (0..CONCURRENT)
            .map(|_| thread::spawn(move || request_status(listen, "POST", "/book/x")));
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
        let bytes = peak_resident_bytes().unwrap();

        assert!(bytes < MEMORY_MB << 20, "{bytes} bytes of memory for {head:?}, {rest:?}");
    }
}
