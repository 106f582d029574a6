//! Runs the router over sockets against stand-ins for the platform's store and servers.

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use platform::{FakeStore, RunningRouter, ServerBehavior, start_router, start_server};
use serde_json::{Value, json};
use test_case::test_case;

fn server_entry(service: &str, address: SocketAddr) -> Value {
    json!({"service": service, "address": address, "zone": "a", "version": "v1", "slots": 4,
           "state": "ready", "warmup-left": "0ms", "sequence": 1, "born": 1})
}

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [
                ["r1", "shop", "/read/", "safe", "5s", "2s", 1, 2, "pool"],
                ["r2", "shop", "/book/", "unsafe", "5s", "2s", 1, 2, "pool"],
                ["r3", "shop", "/key/", "safe", "9s", "9s", 1, 2, "keyed"],
            ],
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "warmup", "warmup-per-s", "sharded"],
            "rows": [["pool", "/health", 50, "3s", 5.0, null],
                     ["keyed", "/health", 50, "3s", 5.0, true]],
        },
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 100_000,
                   "header-timeout": "3s", "idle-timeout": "15s"},
    })
}

/// Starts a router in front of these servers of the service `pool`. Waits until it is ready.
fn start(servers: &[(&'static str, ServerBehavior)]) -> (FakeStore, RunningRouter) {
    start_with_bounds(servers, &["hold-max=10s"])
}

/// Like [`start`], with bounds of the platform.
fn start_with_bounds(
    servers: &[(&'static str, ServerBehavior)],
    bounds: &'static [&'static str],
) -> (FakeStore, RunningRouter) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config()));
    for (id, behavior) in servers {
        let entry = server_entry("pool", start_server(id, *behavior));
        store.write(&format!("servers/{id}"), Some(entry));
    }
    let router = start_router("h1", address, bounds);
    while get(router.ready, "/api/ready").0 != 200 {}
    (store, router)
}

fn get(address: SocketAddr, path: &str) -> (u16, String) {
    exchange(address, &format!("GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n\r\n"))
}

fn post(address: SocketAddr, path: &str, body: &str) -> (u16, String) {
    let length = body.len();
    exchange(
        address,
        &format!(
            "POST {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nContent-Length: {length}\
             \r\n\r\n{body}"
        ),
    )
}

fn exchange(address: SocketAddr, request: &str) -> (u16, String) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    read_response(&mut BufReader::new(stream))
}

fn read_response(reader: &mut BufReader<TcpStream>) -> (u16, String) {
    let mut line = String::new();
    reader.read_line(&mut line).unwrap();
    let status = line.split(' ').nth(1).unwrap().parse().unwrap();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).unwrap();
        let Some((name, value)) = header.trim().split_once(':') else {
            break;
        };
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().unwrap();
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).unwrap();
    (status, String::from_utf8(body).unwrap())
}

#[test]
fn requests_reach_the_servers_of_their_route() {
    let (_store, router) = start(&[("i-1", ServerBehavior::Echo)]);
    assert_eq!(get(router.listen, "/read/x"), (200, "i-1 /read/x 0".to_owned()));
    assert_eq!(post(router.listen, "/book/y", "12345"), (200, "i-1 /book/y 5".to_owned()));
    assert_eq!(get(router.listen, "/nowhere/").0, 404);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (_store, router) = start(&[("i-1", ServerBehavior::Echo)]);
    let mut stream = TcpStream::connect(router.listen).unwrap();
    let requests: String = (0..5)
        .map(|index| {
            format!("GET /read/{index} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q{index}\r\n\r\n")
        })
        .collect();
    stream.write_all(requests.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for index in 0..5 {
        assert_eq!(read_response(&mut reader), (200, format!("i-1 /read/{index} 0")));
    }
}

#[test_case(ServerBehavior::Mismatched; "a response to another request comes first")]
#[test_case(ServerBehavior::UntilClose; "the body ends when the connection closes")]
fn complete_responses_are_delivered(behavior: ServerBehavior) {
    let (_store, router) = start(&[("i-1", behavior)]);
    assert_eq!(post(router.listen, "/book/x", "1"), (200, "i-1 /book/x 1".to_owned()));
}

#[test]
fn a_truncated_response_is_never_forwarded_as_complete() {
    let (_store, router) = start(&[("i-1", ServerBehavior::Truncated)]);
    assert_eq!(post(router.listen, "/book/x", "1").0, 502);
}

#[test]
fn a_request_that_a_server_did_not_run_is_retried_on_another_server() {
    let (_store, router) =
        start(&[("i-1", ServerBehavior::NotExecuted), ("i-2", ServerBehavior::Echo)]);
    for _ in 0..10 {
        assert_eq!(post(router.listen, "/book/x", "1"), (200, "i-2 /book/x 1".to_owned()));
    }
}

#[test]
fn keys_are_granted_and_their_requests_served() {
    let (store, router) = start(&[]);
    let entry = server_entry("keyed", start_server("i-9", ServerBehavior::Echo));
    store.write("servers/i-9", Some(entry));
    let request = "GET /key/x HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nShard-Key: 77\r\n\r\n";
    loop {
        let (status, body) = exchange(router.listen, request);
        if status == 200 {
            assert_eq!(body, "i-9 /key/x 0");
            break;
        }
        assert_eq!(status, 503, "requests for keys without an owner are refused as not run");
    }
}

#[test]
fn a_new_configuration_takes_effect_and_a_removed_server_gets_no_requests() {
    let (store, router) = start(&[("i-1", ServerBehavior::Echo), ("i-2", ServerBehavior::Echo)]);
    let mut changed = config();
    changed["version"] = json!("r2");
    changed["routes"]["rows"][0][2] = json!("/other/");
    store.write("config/main", Some(changed));
    while get(router.listen, "/other/x").0 == 404 {}
    assert_eq!(get(router.listen, "/read/x").0, 404);
    store.write("servers/i-1", None);
    let is_other_server = |response: (u16, String)| response.1.starts_with("i-2");
    let mut consecutive = 0;
    while consecutive < 20 {
        consecutive =
            if is_other_server(get(router.listen, "/other/x")) { consecutive + 1 } else { 0 };
    }
}

#[test]
fn bodies_that_are_too_long_are_refused_and_metrics_are_served() {
    let (_store, router) = start(&[("i-1", ServerBehavior::Echo)]);
    let head = "POST /book/x HTTP/1.1\r\nHost: shop\r\nContent-Length: 100001\r\n\r\n";
    assert_eq!(exchange(router.listen, head).0, 413);
    get(router.listen, "/read/x");
    let (status, text) = get(router.metrics, "/metrics");
    assert_eq!(status, 200);
    assert!(text.contains("request 1\n"), "{text}");
    assert!(text.contains("request_pool_answered_count 1\n"), "{text}");
}

#[test]
fn a_planned_stop_answers_every_request_that_was_read() {
    let (_store, router) = start(&[("i-1", ServerBehavior::Delayed)]);
    let reused = TcpStream::connect(router.listen).unwrap();
    let send_request = |stream: &TcpStream, id: &str| {
        let text = format!("POST /book/{id} HTTP/1.1\r\nHost: shop\r\nRequest-Id: {id}\r\n\r\n");
        (&mut &*stream).write_all(text.as_bytes()).unwrap();
    };
    send_request(&reused, "a");
    router.stop.send_blocking(()).unwrap();
    while get(router.ready, "/api/ready").0 == 200 {}
    // Until the load balancer notices, requests on new and on reused connections are served.
    assert_eq!(post(router.listen, "/book/new", "1"), (200, "i-1 /book/new 1".to_owned()));
    let mut reader = BufReader::new(reused);
    assert_eq!(read_response(&mut reader), (200, "i-1 /book/a 0".to_owned()));
    // The router closes the connection after the response, so the caller reconnects elsewhere.
    assert_eq!(reader.read(&mut [0; 1]).unwrap(), 0);
    let new_connection = TcpStream::connect(router.listen).unwrap();
    send_request(&new_connection, "b");
    assert_eq!(
        read_response(&mut BufReader::new(new_connection)),
        (200, "i-1 /book/b 0".to_owned())
    );
    assert!(router.stopped.recv().is_err(), "the channel closes when the stop is complete");
}

/// Guards against requests that a stopping router takes although it may have to give them up: a caller who
/// pipelines kept its connection busy up to the end of the grace period.
#[test]
fn a_planned_stop_ends_a_connection_on_which_requests_overlap() {
    let (_store, router) = start_with_bounds(&[("i-1", ServerBehavior::Delayed)], &["grace=4s"]);
    let stream = TcpStream::connect(router.listen).unwrap();
    let mut sender = stream.try_clone().unwrap();
    std::thread::spawn(move || {
        let request = "GET /read/a HTTP/1.1\r\nHost: shop\r\nRequest-Id: a\r\n\r\n";
        while sender.write_all(request.as_bytes()).is_ok() {
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    while !get(router.metrics, "/metrics").1.contains("attempt 1\n") {}
    router.stop.send_blocking(()).unwrap();
    let mut text = String::new();
    // The router closes the connection with requests unread, which may reset it.
    let _closed: std::io::Result<usize> = BufReader::new(stream).read_to_string(&mut text);
    assert!(text.contains("HTTP/1.1 200"), "{text}");
    assert!(!text.contains("HTTP/1.1 50"), "{text}");
    assert!(router.stopped.recv().is_err(), "the channel closes when the stop is complete");
}

/// A server that is full may never respond. The caller then gets an answer of the router before the
/// process ends, and it does not say that the request has not run.
#[test]
fn a_planned_stop_answers_a_request_whose_server_stays_silent() {
    let (_store, router) = start_with_bounds(&[("i-1", ServerBehavior::Silent)], &["grace=2s"]);
    let stream = TcpStream::connect(router.listen).unwrap();
    let request = "POST /book/a HTTP/1.1\r\nHost: shop\r\nRequest-Id: a\r\n\r\n";
    (&mut &stream).write_all(request.as_bytes()).unwrap();
    while !get(router.metrics, "/metrics").1.contains("attempt 1\n") {}
    router.stop.send_blocking(()).unwrap();
    let (status, body) = read_response(&mut BufReader::new(stream));
    assert_eq!((status, body.as_str()), (504, "deadline-unknown\n"));
    assert!(router.stopped.recv().is_err(), "the channel closes when the stop is complete");
}
