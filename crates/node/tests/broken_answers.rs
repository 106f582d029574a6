//! Broken answers of servers and of the store never pass for sound ones.

mod platform;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, Request, RunningRouter, config, request_status, server_entry, start_router,
    start_scripted_server,
};
use test_case::test_case;

/// Number of orders or calls of the store after which a test has seen enough of them.
const ENOUGH_CALLS: usize = 4;

/// Starts a router in front of one server, which is also the only owner of keys.
fn start(server: SocketAddr) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    let routes =
        [("/read/", "safe", "pool"), ("/book/", "unsafe", "pool"), ("/load/", "download", "pool")];
    store.write("config/main", Some(config("1s", &routes)));
    for service in ["pool", "keyed"] {
        store.write(&format!("servers/i-{service}"), Some(server_entry(service, server, 4)));
    }
    let router = start_router("h1", address, &["hold-max=10s"]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
}

/// Sends a request; returns all bytes of the answer.
fn send(router: &RunningRouter, method: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(router.listen).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Returns an answer to a request or a call, well framed and signed, with this status.
fn answer_with_status(request: &Request, status: &str) -> String {
    let id = request.headers.get("request-id").map_or("", String::as_str);
    format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nStore-Era: 3\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Returns an answer to a request or a call, well framed and signed, with this line in its head.
fn answer_with_line(request: &Request, line: &str) -> String {
    let id = request.headers.get("request-id").map_or("", String::as_str);
    format!(
        "HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nStore-Era: 3\r\n{line}\r\n\
         Content-Length: 4\r\n\r\nbody"
    )
}

/// Calls that a stand-in has got.
#[derive(Clone, Default)]
struct CallCounts {
    /// Orders, or calls of the store.
    calls: Arc<AtomicUsize>,
    /// Calls and requests that were not the first on their connection.
    on_used_connections: Arc<AtomicUsize>,
}

impl CallCounts {
    fn record(&self, is_call: bool, index: usize) {
        self.calls.fetch_add(usize::from(is_call), Ordering::Relaxed);
        self.on_used_connections.fetch_add(usize::from(index > 0), Ordering::Relaxed);
    }

    /// Waits for some calls, and checks that each has come on a connection of its own.
    fn assert_none_on_used_connections(&self) {
        while self.calls.load(Ordering::Relaxed) < ENOUGH_CALLS {
            thread::sleep(Duration::from_millis(10));
        }
        assert_eq!(self.on_used_connections.load(Ordering::Relaxed), 0);
    }
}

fn is_order(request: &Request) -> bool {
    request.request_line.contains("/api/grant") || request.request_line.contains("/api/release")
}

/// Guards against statuses that are not HTTP's in what callers get.
#[test_case("000")]
#[test_case("099")]
#[test_case("600")]
#[test_case("999")]
#[test_case("20")]
#[test_case("2000")]
#[test_case("20x")]
#[test_case("+200")]
fn an_answer_with_an_invalid_status_is_not_passed_on(status: &'static str) {
    let server = start_scripted_server(|request, _| match is_order(request) {
        true => answer_with_status(request, "200"),
        false => answer_with_status(request, status),
    });
    let (_store, router) = start(server);
    for (method, path) in [("GET", "/read/x"), ("POST", "/book/x"), ("GET", "/load/x")] {
        let answer = send(&router, method, path);
        let is_error = ["502", "503", "504"].contains(&&answer[9..12]);
        assert!(is_error && !answer.contains("body"), "{method} {path}: {answer}");
    }
}

/// Guards against heads that two readers may read differently, also about where the body ends.
#[test_case("X Y: 1"; "a blank in a name")]
#[test_case("X\tY: 1"; "a tab in a name")]
#[test_case("X\u{1}: 1"; "a control byte in a name")]
#[test_case("X\0: 1"; "a zero byte in a name")]
#[test_case("X\u{7f}: 1"; "a delete byte in a name")]
#[test_case("X\u{fc}: 1"; "a byte beyond ASCII in a name")]
#[test_case("X(Y): 1"; "a separator in a name")]
#[test_case("X: 1\r\n Y: 2"; "a folded line")]
#[test_case(": 1"; "an empty name")]
#[test_case("X"; "no colon")]
#[test_case("X : 1"; "a blank before the colon")]
#[test_case("Content-Length : 2"; "a length with a blank before the colon")]
#[test_case("Transfer-Encoding : chunked"; "chunks with a blank before the colon")]
#[test_case(" Content-Length: 2"; "a length behind a blank")]
#[test_case("Content\u{1}-Length: 2"; "a length with a control byte in its name")]
#[test_case("X: \u{1}"; "a control byte in a value")]
#[test_case("X: \0"; "a zero byte in a value")]
#[test_case("X: a\rY: b"; "a lone carriage return in a value")]
fn an_answer_with_an_invalid_field_is_not_passed_on(line: &'static str) {
    let counts = CallCounts::default();
    let recorded = counts.clone();
    let server = start_scripted_server(move |request, index| {
        recorded.record(is_order(request), index);
        answer_with_line(request, line)
    });
    let (_store, router) = start(server);
    for (method, path) in [("GET", "/read/x"), ("POST", "/book/x"), ("GET", "/load/x")] {
        let answer = send(&router, method, path);
        let is_error = ["502", "503", "504"].contains(&&answer[9..12]);
        assert!(is_error && !answer.contains("body"), "{method} {path}: {answer}");
    }
    // A grant that counts as accepted is not sent again before most of the hold is over.
    counts.assert_none_on_used_connections();
}

/// Guards against a connection that is used on after an answer whose end can't be trusted.
#[test_case("000"; "below all classes")]
#[test_case("600"; "above all classes")]
fn a_connection_is_not_reused_after_an_invalid_status(status: &'static str) {
    let counts = CallCounts::default();
    let recorded = counts.clone();
    let server = start_scripted_server(move |request, index| {
        recorded.record(is_order(request), index);
        answer_with_status(request, status)
    });
    let _running = start(server);
    counts.assert_none_on_used_connections();

    let counts = CallCounts::default();
    let recorded = counts.clone();
    let store = start_scripted_server(move |request, index| {
        recorded.record(true, index);
        answer_with_status(request, status)
    });
    let _router = start_router("h2", store, &[]);
    counts.assert_none_on_used_connections();
}
