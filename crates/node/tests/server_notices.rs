//! What a server says of itself in an answer binds the router, whatever its entry in the store says.

mod platform;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    FakeStore, Request, RunningRouter, ServerBehavior, answer_to, config, request_head,
    request_status, server_entry, start_router, start_scripted_server, start_server,
};
use test_case::test_case;

const SIGNED: &str = "Response-Signature: s\r\n";

/// Starts a store with a service without keys and one with, and a router.
fn start(servers: &[(&str, &str, SocketAddr)]) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    let routes = [("/read/", "safe", "pool"), ("/key/", "safe", "keyed")];
    store.write("config/main", Some(config("200ms", &routes)));
    for (id, service, address) in servers {
        store.write(&format!("servers/{id}"), Some(server_entry(service, *address, 4)));
    }
    let router = start_router("h1", address, &["hold-max=10s", "drain=1s"]);
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
    (store, router)
}

fn is_order(request: &Request) -> bool {
    request.request_line.contains("/api/")
}

/// Answers an order, which names no request.
fn acknowledge() -> String {
    "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_owned()
}

/// Sends a request until it is served.
fn wait_until_served(router: &RunningRouter, path: &str) {
    while request_status(router.listen, "GET", path) != 200 {}
}

#[test_case("pool", "/read/x", false; "without keys")]
#[test_case("keyed", "/key/x", false; "with keys")]
#[test_case("pool", "/read/x", true; "beside another server")]
fn a_server_that_says_it_leaves_gets_no_more_requests(service: &str, path: &str, has_other: bool) {
    let arrivals = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&arrivals);
    let leaving = start_scripted_server(move |request, _| {
        if is_order(request) {
            return acknowledge();
        }
        counter.fetch_add(1, Ordering::SeqCst);
        answer_to(request, 200, &format!("{SIGNED}Server-Leaving: 1\r\n"), "leaving")
    });
    let (store, router) = start(&[("i-1", service, leaving)]);
    while arrivals.load(Ordering::SeqCst) == 0 {
        request_status(router.listen, "GET", path);
    }
    if has_other {
        let other = start_server("i-2", ServerBehavior::Echo);
        store.write("servers/i-2", Some(server_entry(service, other, 4)));
        wait_until_served(&router, path);
    }
    // The bound of the platform, `drain`.
    thread::sleep(Duration::from_secs(1));
    let before = arrivals.load(Ordering::SeqCst);
    let expected = if has_other { 200 } else { 503 };
    for _ in 0..40 {
        assert_eq!(request_status(router.listen, "GET", path), expected);
    }
    assert_eq!(arrivals.load(Ordering::SeqCst), before);
}

#[test_case("pool", "/read/x"; "without keys")]
#[test_case("keyed", "/key/x"; "with keys")]
fn a_server_that_asks_for_a_pause_is_left_alone_until_its_end(service: &str, path: &str) {
    const PAUSE: Duration = Duration::from_secs(3);
    let asked_at: Arc<Mutex<Option<Instant>>> = Arc::default();
    // Arrivals more than half a second after the server has asked and before the end of the pause.
    let early = Arc::new(AtomicUsize::new(0));
    let (shared, counter) = (Arc::clone(&asked_at), Arc::clone(&early));
    let server = start_scripted_server(move |request, _| {
        if is_order(request) {
            return acknowledge();
        }
        let age = shared.lock().unwrap().get_or_insert_with(Instant::now).elapsed();
        if age >= PAUSE {
            return answer_to(request, 200, SIGNED, "rested");
        }
        if age >= Duration::from_millis(500) {
            counter.fetch_add(1, Ordering::SeqCst);
        }
        let left = (PAUSE - age).as_secs_f64();
        answer_to(request, 503, &format!("Not-Executed: 1\r\nRetry-After: {left:.3}\r\n"), "")
    });
    let (_store, router) = start(&[("i-1", service, server)]);
    while asked_at.lock().unwrap().is_none() {
        request_status(router.listen, "GET", path);
    }
    let (listen, path) = (router.listen, path.to_owned());
    let callers: Vec<_> = (0..6)
        .map(|_| {
            let (path, asked_at) = (path.clone(), Arc::clone(&asked_at));
            thread::spawn(move || {
                while asked_at.lock().unwrap().unwrap().elapsed() < PAUSE {
                    let head = request_head(listen, "GET", &path);
                    if !head[0].contains("200") {
                        assert!(head[0].contains("503"), "{head:?}");
                        let names_time = |line: &String| line.starts_with("Retry-After:");
                        assert!(head.iter().any(names_time), "{head:?}");
                    }
                    thread::sleep(Duration::from_millis(10));
                }
            })
        })
        .collect();
    for caller in callers {
        caller.join().unwrap();
    }
    let early = early.load(Ordering::SeqCst);
    assert!(early <= 2, "{early} requests within the pause");
    wait_until_served(&router, &path);
}

/// A server has ended, and its address belongs to a server of another service, while its entry stays.
#[test_case("pool", "/read/x", 421; "without keys")]
#[test_case("keyed", "/key/x", 421; "with keys")]
#[test_case("keyed", "/key/x", 400; "with keys, and orders are taken for requests")]
fn no_request_is_sent_twice_to_an_address_of_another_server(
    service: &str,
    path: &str,
    order_status: u16,
) {
    let is_replaced = Arc::new(AtomicBool::new(false));
    let misdirected: Arc<Mutex<Vec<String>>> = Arc::default();
    let (replaced, shared) = (Arc::clone(&is_replaced), Arc::clone(&misdirected));
    let server = start_scripted_server(move |request, _| {
        if replaced.load(Ordering::SeqCst) {
            if is_order(request) {
                return format!(
                    "HTTP/1.1 {order_status} X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
            }
            shared.lock().unwrap().push(request.headers["request-id"].clone());
            return answer_to(request, 421, "Not-Executed: 1\r\n", "");
        }
        if is_order(request) {
            return acknowledge();
        }
        answer_to(request, 200, SIGNED, "own")
    });
    let (_store, router) = start(&[("i-1", service, server)]);
    wait_until_served(&router, path);
    is_replaced.store(true, Ordering::SeqCst);
    for index in 0..30 {
        let mut stream = TcpStream::connect(router.listen).unwrap();
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q{index}\r\nShard-Key: 77\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(stream), &mut line).unwrap();
        assert!(line.contains(" 503 "), "a refusal that says that it has not run: {line}");
    }
    let arrivals = misdirected.lock().unwrap();
    let mut ids = arrivals.clone();
    ids.dedup();
    assert_eq!(ids.len(), arrivals.len(), "a request came twice: {arrivals:?}");
    assert!(arrivals.len() <= 10, "{} of 30 requests came to another server", arrivals.len());
}
