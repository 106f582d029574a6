//! Answers and datagrams that a router has not asked for.

mod platform;

use std::net::UdpSocket;

use bay_range::KeyLimit;
use bay_router::PeerMessage;
use bay_types::ServiceName;
use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, request_status, server_entry, start_router,
    start_server,
};

/// Starts a router in front of a server of a keyed service. Returns the status of the first request that
/// is served, on the connection on which the server was granted its keys.
fn start(behavior: ServerBehavior) -> (FakeStore, RunningRouter, u16) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[("/key/", "unsafe", "keyed")])));
    let entry = server_entry("keyed", start_server("k", behavior), 4);
    store.write("servers/k", Some(entry));
    let router = start_router("h1", address, &["hold-max=10s"]);
    loop {
        let status = request_status(router.listen, "POST", "/key/x");
        if status != 503 {
            return (store, router, status);
        }
    }
}

/// Guards against a caller that gets a late copy of the answer to an order, which names no request, on a
/// connection that is in use again.
#[test]
fn a_late_copy_of_an_acknowledgement_reaches_no_caller() {
    let (_store, _router, status) = start(ServerBehavior::RepeatsOrders);
    assert_eq!(status, 200);
}

/// Guards against a malformed message of another router that ends the process.
#[test]
fn a_limit_that_is_no_number_limits_nothing() {
    let (_store, router, _) = start(ServerBehavior::Echo);
    let service = ServiceName::new("keyed").unwrap();
    let message = PeerMessage::KeyLimits(service, vec![KeyLimit { key: 77, share: f32::NAN }]);
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&postcard::to_stdvec(&message).unwrap(), router.peer).unwrap();
    // The message and the request arrive on different sockets, in any order.
    for _ in 0..20 {
        assert_eq!(request_status(router.listen, "POST", "/key/x"), 200);
    }
}
