//! Routers keep together to the rate limit that a server names in its answers.

mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use platform::{FakeStore, RunningRouter, ServerBehavior, start_router, start_server};
use serde_json::{Value, json};
use test_case::test_case;

/// Limit named by [`ServerBehavior::RateLimited`], in requests per second.
const LIMIT: f64 = 2.0;

/// Span in which the platform counts a limited server's requests, in seconds.
const WINDOW_SECONDS: f64 = 4.0;

fn config() -> Value {
    json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [["r1", "shop", "/read/", "safe", "5s", "200ms", 1, 2, "pool"],
                     ["r2", "shop", "/key/", "safe", "5s", "200ms", 1, 2, "keyed"]],
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

fn status(address: SocketAddr, path: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    let request =
        format!("GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\nShard-Key: 77\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test_case("pool", "/read/x"; "any server runs the request")]
#[test_case("keyed", "/key/x"; "only the owner of the key runs the request")]
fn routers_together_send_no_more_than_the_limit_that_a_server_names(service: &str, path: &str) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config()));
    let server = start_server("i-1", ServerBehavior::RateLimited);
    let entry = json!({"service": service, "address": server, "zone": "a", "version": "v1",
                       "slots": 4, "state": "ready", "warmup-left": "0ms", "sequence": 1,
                       "born": 1});
    store.write("servers/i-1", Some(entry));
    let routers: Vec<RunningRouter> =
        ["h1", "h2", "h3"].map(|host| start_router(host, address, &["hold-max=10s"])).into();
    for router in &routers {
        while status(router.ready, "/api/ready") != 200 {}
        // Each router learns the limit from its first answer.
        while status(router.listen, path) != 200 {}
    }
    let started = Instant::now();
    let answers = (0..40).flat_map(|_| &routers).map(|router| status(router.listen, path));
    let served = answers.filter(|status| *status == 200).count() as f64;
    let seconds = started.elapsed().as_secs_f64().max(WINDOW_SECONDS);
    let allowed = LIMIT * 1.5 * seconds + 5.0;
    assert!(served <= allowed, "{served} requests in {seconds} s, {allowed} allowed");
    assert!(served >= 1.0, "a limited server still gets requests");
}
