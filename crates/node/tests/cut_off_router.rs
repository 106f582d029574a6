//! A router that has lost its links to the servers, while callers and other routers reach it.

mod platform;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, request_head, server_entry, start_router,
    start_server,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use test_case::test_case;

/// Requests by which the router has to find another way to the servers.
const MAX_FAILED: usize = 30;

/// How connections to a server that is cut off fail.
#[derive(Clone, Copy)]
enum Cut {
    /// They are refused.
    Refused,
    /// They are never established.
    Silent,
}

/// An address at which connections fail, and the sockets that make them fail.
struct DeadAddress {
    address: SocketAddr,
    _sockets: Vec<Socket>,
}

fn dead_address(cut: Cut) -> DeadAddress {
    let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let bound = new_socket();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    bound.bind(&any.into()).unwrap();
    let address = bound.local_addr().unwrap().as_socket().unwrap();
    let mut sockets = Vec::new();
    match cut {
        // A port that is bound but not listened on refuses connections.
        Cut::Refused => {}
        // A listener that never accepts drops connections once its queue is full.
        Cut::Silent => {
            bound.listen(0).unwrap();
            for _ in 0..4 {
                let filler = new_socket();
                filler.set_nonblocking(true).unwrap();
                // Connecting is in progress, or waits for room in the queue.
                let _ = filler.connect(&address.into());
                sockets.push(filler);
            }
        }
    }
    sockets.push(bound);
    DeadAddress { address, _sockets: sockets }
}

/// Starts a store in which the servers have these addresses.
fn start_store(servers: &[(&str, SocketAddr)]) -> (FakeStore, SocketAddr) {
    let (store, address) = FakeStore::start();
    let routes =
        [("/read/", "safe", "pool"), ("/book/", "unsafe", "pool"), ("/key/", "safe", "keyed")];
    store.write("config/main", Some(config("2s", &routes)));
    for (name, address) in servers {
        let service = if name.starts_with('k') { "keyed" } else { "pool" };
        store.write(&format!("servers/{name}"), Some(server_entry(service, *address, 4)));
    }
    (store, address)
}

fn wait_until_ready(router: &RunningRouter) {
    while status(router.ready, "GET", "/api/ready") != 200 {}
}

/// Sends a request and returns the status of its answer. A refused caller waits for as long as the
/// answer says.
fn status(address: SocketAddr, method: &str, path: &str) -> u16 {
    let head = request_head(address, method, path);
    let status = head[0].split(' ').nth(1).unwrap().parse().unwrap();
    let lines = head.iter();
    let retry_after = lines.filter_map(|line| line.strip_prefix("Retry-After: ")?.parse().ok());
    thread::sleep(retry_after.map(Duration::from_secs_f64).sum());
    status
}

/// The two routers have stores of their own, so that each knows the servers by other addresses: only
/// those of the second router answer.
#[test_case(Cut::Refused, "GET", "/read/x"; "refused, idempotent")]
#[test_case(Cut::Refused, "POST", "/book/x"; "refused, not idempotent")]
#[test_case(Cut::Refused, "GET", "/key/x"; "refused, only the owner runs the request")]
#[test_case(Cut::Silent, "GET", "/read/x"; "silent, idempotent")]
#[test_case(Cut::Silent, "POST", "/book/x"; "silent, not idempotent")]
#[test_case(Cut::Silent, "GET", "/key/x"; "silent, only the owner runs the request")]
fn a_router_cut_off_from_all_servers_serves_through_another_router(
    cut: Cut,
    method: &str,
    path: &str,
) {
    const SERVERS: [&str; 3] = ["a-1", "a-2", "k-1"];
    let live = SERVERS.map(|name| (name, start_server(name, ServerBehavior::Echo)));
    let (_live_store, live_store) = start_store(&live);
    // A second term, so that this router ignores the one that is cut off as a granter.
    let earlier = start_router("h0", live_store, &["grace=1s", "hold-max=10s"]);
    wait_until_ready(&earlier);
    while status(earlier.listen, "GET", "/key/x") != 200 {}
    earlier.stop.send_blocking(()).unwrap();
    assert!(earlier.stopped.recv().is_err(), "the channel closes when the stop is complete");
    let helper = start_router("h2", live_store, &["hold-max=10s"]);
    wait_until_ready(&helper);

    let dead = SERVERS.map(|name| (name, dead_address(cut)));
    let (store, address) =
        start_store(&dead.iter().map(|(name, dead)| (*name, dead.address)).collect::<Vec<_>>());
    let record = json!({"peer": helper.peer, "incarnation": 1, "zone": "a", "size": 1.0});
    store.write("bay-hosts/h2", Some(record));
    let router = start_router("h1", address, &["hold-max=10s"]);
    wait_until_ready(&router);
    let failed = (0..MAX_FAILED).take_while(|_| status(router.listen, method, path) != 200).count();
    assert!(failed < MAX_FAILED, "{failed} requests failed");
    for _ in 0..10 {
        assert_eq!(status(router.listen, method, path), 200);
    }
}
