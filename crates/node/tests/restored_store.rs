//! The store comes back from a copy that is some seconds old: revisions are given out again, and what was
//! written since is gone until its writers write it again.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, request_body, request_status, server_entry,
    start_router, start_server,
};
use serde_json::Value;

/// Time within which lapsed entries are back after the store's return, with a margin.
const GRACE: Duration = Duration::from_millis(2_500);

fn entry(id: &'static str) -> Value {
    server_entry("pool", start_server(id, ServerBehavior::Echo), 4)
}

/// Returns the name of the server that serves a request; empty if none does.
fn answering_server(router: &RunningRouter) -> String {
    let (status, body) = request_body(router.listen, "/read/x");
    let name = body.split(' ').next().unwrap_or_default().to_owned();
    if status == 200 { name } else { String::new() }
}

fn wait_for_server(router: &RunningRouter, id: &str) {
    while answering_server(router) != id {}
}

fn start() -> (FakeStore, Vec<RunningRouter>) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("200ms", &[("/read/", "safe", "pool")])));
    let routers: Vec<RunningRouter> =
        ["h1", "h2"].map(|host| start_router(host, address, &[])).into();
    (store, routers)
}

#[test]
fn routers_follow_a_store_that_gives_revisions_out_again() {
    let (store, routers) = start();
    store.write("servers/i-1", Some(entry("i-1")));
    routers.iter().for_each(|router| wait_for_server(router, "i-1"));
    let copy = store.copy();
    // Writes that are lost, so that the revisions of the copy lie far below those known.
    for _ in 0..50 {
        store.write("servers/i-9", Some(entry("i-9")));
        store.write("servers/i-9", None);
    }
    let second = entry("i-2");
    store.write("servers/i-2", Some(second.clone()));
    store.write("servers/i-1", None);
    routers.iter().for_each(|router| wait_for_server(router, "i-2"));
    store.restore(&copy);
    // The copy still has the first server, which has ended, and lacks the second one, which runs.
    let until = std::time::Instant::now() + GRACE / 2;
    while std::time::Instant::now() < until {
        for router in &routers {
            assert_ne!(answering_server(router), "i-1", "its removal was known");
        }
    }
    store.write("servers/i-2", Some(second));
    store.write("servers/i-1", None);
    thread::sleep(GRACE);
    for router in &routers {
        assert_eq!(answering_server(router), "i-2", "it was written again");
    }
    store.write("servers/i-3", Some(entry("i-3")));
    store.write("servers/i-2", None);
    routers.iter().for_each(|router| wait_for_server(router, "i-3"));
}

#[test]
fn a_zone_stays_out_although_the_copy_of_the_store_does_not_say_so() {
    let (store, routers) = start();
    store.write("servers/i-1", Some(entry("i-1")));
    routers.iter().for_each(|router| wait_for_server(router, "i-1"));
    let copy = store.copy();
    store.write("evacuations/a", Some(serde_json::json!({})));
    for router in &routers {
        while request_status(router.listen, "GET", "/read/x") == 200 {}
    }
    store.restore(&copy);
    let until = std::time::Instant::now() + GRACE;
    while std::time::Instant::now() < until {
        for router in &routers {
            assert_eq!(request_status(router.listen, "GET", "/read/x"), 503);
        }
    }
    store.write("evacuations/a", Some(serde_json::json!({})));
    store.write("evacuations/a", None);
    routers.iter().for_each(|router| wait_for_server(router, "i-1"));
}
