//! Routers report their counts by rank, and the granter sends them the shares to admit.

mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

use platform::{FakeStore, ServerBehavior, start_router_with_contracts, start_server};
use serde_json::json;

fn status(address: SocketAddr, path: &str) -> u16 {
    let mut stream = TcpStream::connect(address).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: shop\r\nRequest-Id: q\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Guards against reports or levels that are not sent, or not handled. With a load below the capacity,
/// all requests are admitted.
#[test]
fn levels_of_the_granter_reach_the_other_router() {
    let (store, address) = FakeStore::start();
    let config = json!({
        "version": "r1",
        "routes": {
            "columns": ["name", "host", "path-prefix", "route-type", "timeout", "target-latency",
                        "priority", "max-attempts", "service"],
            "rows": [["r1", "shop", "/urgent/", "safe", "5s", "2s", 0, 2, "pool"],
                     ["r2", "shop", "/other/", "safe", "5s", "2s", 2, 2, "pool"]],
        },
        "services": {
            "columns": ["name", "health-path", "max-conns", "warmup", "warmup-per-s", "sharded"],
            "rows": [["pool", "/health", 50, "3s", 5.0, null]],
        },
        "limits": {"max-header-bytes": 4096, "max-body-bytes": 100_000,
                   "header-timeout": "3s", "idle-timeout": "15s"},
    });
    store.write("config/main", Some(config));
    let server = start_server("i-1", ServerBehavior::Echo);
    let entry = json!({"service": "pool", "address": server, "zone": "a", "version": "v1",
                       "slots": 4, "state": "ready", "warmup-left": "0ms", "sequence": 1,
                       "born": 1});
    store.write("servers/i-1", Some(entry));
    let routers =
        ["h1", "h2"].map(|host| start_router_with_contracts(host, address, &["pressure"]));
    for router in &routers {
        while status(router.listen, "/urgent/x") != 200 {}
    }
    let applied = || routers.iter().any(|each| each.metric("overload_levels_applied") > Some(2));
    while !applied() {
        for router in &routers {
            assert_eq!(status(router.listen, "/urgent/x"), 200);
            assert_eq!(status(router.listen, "/other/x"), 200);
        }
    }
    for router in &routers {
        assert_eq!(router.metric("admitted_pool_rank2_permille"), Some(1_000));
    }
}
