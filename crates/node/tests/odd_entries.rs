//! An odd entry among those of the servers is passed over, by every router and by every way in.

mod platform;

use platform::{
    DEEPLY_NESTED, FakeStore, HUGE_NUMBER, NO_TEXT, RunningRouter, ServerBehavior, config,
    request_body, request_status, server_entry, start_router, start_server,
};
use serde_json::{Value, json};
use test_case::test_case;

/// Returns the entry of a server of `pool` with one other field.
fn odd_entry(field: &str, value: Value) -> Value {
    let address = "127.0.0.1:9".parse().unwrap();
    let mut entry = server_entry("pool", address, 4);
    entry[field] = value;
    entry
}

fn wait_until_ready(router: &RunningRouter) {
    while request_status(router.ready, "GET", "/api/ready") != 200 {}
}

#[test_case("more", json!(DEEPLY_NESTED); "a field that is not known is deeply nested")]
#[test_case("zone", json!(DEEPLY_NESTED); "a field is deeply nested")]
#[test_case("slots", json!(HUGE_NUMBER); "a number is too large for any type")]
#[test_case("slots", json!(u32::MAX); "a number is larger than any server can have")]
#[test_case("sequence", json!(u64::MAX); "the highest heartbeat")]
#[test_case("born", json!(u64::MAX); "the highest start time")]
#[test_case("warmup-left", json!("18000000000000000000s"); "a time of billions of years")]
#[test_case("address", json!("127.0.0.1:99999"); "a port out of range")]
#[test_case("address", json!("127.0.0.1:0"); "port zero")]
#[test_case("zone", json!(NO_TEXT); "bytes that are no text")]
fn an_odd_entry_keeps_no_router_from_following_the_others(field: &str, value: Value) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("200ms", &[("/read/", "safe", "pool")])));
    let first = start_server("i-1", ServerBehavior::Echo);
    store.write("servers/i-1", Some(server_entry("pool", first, 4)));
    // One entry is in the list at the start, and sorts last; the other one comes with a watch.
    store.write("servers/i-zz", Some(odd_entry(field, value.clone())));
    let routers = ["h1", "h2"].map(|host| start_router(host, address, &[]));
    routers.iter().for_each(wait_until_ready);
    store.write("servers/i-0", Some(odd_entry(field, value)));
    let second = start_server("i-2", ServerBehavior::Echo);
    store.write("servers/i-2", Some(server_entry("pool", second, 4)));
    store.write("servers/i-1", None);
    for router in &routers {
        // Only the second server can serve a request once the first one's removal is known.
        while answering_server(router) != "i-2" {}
        for _ in 0..10 {
            assert_eq!(answering_server(router), "i-2");
        }
    }
}

/// Returns the name of the server that serves a request; empty if none does.
fn answering_server(router: &RunningRouter) -> String {
    let (status, body) = request_body(router.listen, "/read/x");
    let name = body.split(' ').next().unwrap_or_default();
    if status == 200 { name.to_owned() } else { String::new() }
}
