//! Answers that belong to no request, or break off, never pass for the answer to one.

mod platform;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use platform::{
    FakeStore, Request, RunningRouter, answer_to, config, request_status, server_entry,
    start_router, start_scripted_server,
};
use test_case::test_case;

const SIGNED: &str = "Response-Signature: s\r\n";

fn start(servers: &[(&str, SocketAddr)]) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    let routes = [
        ("/read/", "safe", "pool"),
        ("/book/", "unsafe", "pool"),
        ("/load/", "download", "pool"),
        ("/key/", "unsafe", "keyed"),
    ];
    store.write("config/main", Some(config("1s", &routes)));
    for (id, address) in servers {
        for service in ["pool", "keyed"] {
            let entry = server_entry(service, *address, 4);
            store.write(&format!("servers/{id}-{service}"), Some(entry));
        }
    }
    let router = start_router("h1", address, &["hold-max=10s"]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
}

/// Sends a request with an identifier; returns all bytes of the answer.
fn send(router: &RunningRouter, method: &str, path: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(router.listen).unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\nShard-Key: 77\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// A faulty server writes each refusal once more before the next answer on its connection.
#[test_case("/book/x", true; "refusals that name their request")]
#[test_case("/book/x", false; "refusals that name no request")]
#[test_case("/key/x", true; "refusals by the owner of a key")]
fn a_repeated_refusal_is_not_taken_for_that_of_the_next_request(path: &str, names_request: bool) {
    // Number of times that each request has run.
    let runs: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let refusal = move |request: &Request| match names_request {
        true => answer_to(request, 503, "Not-Executed: 1\r\n", ""),
        false => "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned(),
    };
    let servers = ["i-1", "i-2"].map(|id| {
        let runs = Arc::clone(&runs);
        let last_refusal: Arc<Mutex<String>> = Arc::default();
        let address = start_scripted_server(move |request, index| {
            if request.request_line.contains("/api/") {
                return "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_owned();
            }
            // Every other request on a connection is refused.
            if index % 2 == 0 {
                let refusal = refusal(request);
                *last_refusal.lock().unwrap() = refusal.clone();
                return refusal;
            }
            let id = request.headers["request-id"].clone();
            *runs.lock().unwrap().entry(id).or_default() += 1;
            let copy = std::mem::take(&mut *last_refusal.lock().unwrap());
            copy + &answer_to(request, 200, SIGNED, "done")
        });
        (id, address)
    });
    let (_store, router) = start(&servers);
    for index in 0..40 {
        let id = format!("q{index}");
        let answer = send(&router, "POST", path, &id);
        let runs = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        assert!(runs <= 1, "{id} has run {runs} times");
        assert!(!(answer.contains(" 503 ") && runs > 0), "{id} has run and was refused: {answer}");
    }
}

/// A server stops in the middle of its answer's head and closes the connection.
#[test]
fn a_head_that_breaks_off_never_becomes_a_success() {
    let whole = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Signature: s\r\n\
                 Content-Length: 4\r\nContent-Type: text/plain\r\n\r\n";
    let cut_at: Arc<Mutex<usize>> = Arc::default();
    let shared = Arc::clone(&cut_at);
    // `listen` of the stand-ins writes what it gets, then this server closes at the next request.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || {
                let mut reader = std::io::BufReader::new(stream.try_clone().unwrap());
                if platform::read_request(&mut reader).is_some() {
                    let cut = *shared.lock().unwrap();
                    let _closed: std::io::Result<()> =
                        (&mut &stream).write_all(&whole.as_bytes()[..cut]);
                }
            });
        }
    });
    let (_store, router) = start(&[("i-1", address)]);
    for cut in 0..whole.len() {
        *cut_at.lock().unwrap() = cut;
        for (method, path) in
            [("GET", "/read/x"), ("POST", "/book/x"), ("HEAD", "/read/x"), ("GET", "/load/x")]
        {
            let answer = send(&router, method, path, "q");
            assert!(!answer.starts_with("HTTP/1.1 2"), "cut at {cut}, {method} {path}: {answer}");
        }
    }
}
