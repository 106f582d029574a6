//! The store comes back from a copy that is some seconds old: revisions are given out again, and what was
//! written since is gone until its writers write it again.

mod platform;

use std::thread;
use std::time::Duration;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use platform::{
    FakeStore, RunningRouter, ServerBehavior, StoreFront, answer_to, config, request_body,
    request_status, server_entry, start_router, start_scripted_server, start_server,
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

/// Starts a server of keys that counts the grants and names itself in answers; returns its address.
fn start_owner(id: &'static str, grants: &Arc<AtomicUsize>) -> std::net::SocketAddr {
    let grants = Arc::clone(grants);
    start_scripted_server(move |request, _| {
        if request.request_line.contains("/api/grant") {
            grants.fetch_add(1, Ordering::SeqCst);
        }
        if request.request_line.contains("/api/") {
            return "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        answer_to(request, 200, "Response-Signature: s\r\n", id)
    })
}

fn start_with_keys() -> (FakeStore, std::net::SocketAddr) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("200ms", &[("/key/", "safe", "keyed")])));
    (store, address)
}

fn wait_for_owner(router: &RunningRouter, id: &str) {
    while request_body(router.listen, "/key/x") != (200, id.to_owned()) {}
}

/// Guards against two owners of a key: the table of the copy names the former one.
#[test]
fn the_granter_goes_on_with_the_owners_that_the_copy_of_the_store_does_not_name() {
    let (store, address) = start_with_keys();
    let grants: [Arc<AtomicUsize>; 2] = Default::default();
    let first = start_owner("i-1", &grants[0]);
    store.write("servers/i-1", Some(server_entry("keyed", first, 4)));
    let routers = ["h1", "h2"].map(|host| start_router(host, address, &["hold-max=10s"]));
    routers.iter().for_each(|router| wait_for_owner(router, "i-1"));
    let copy = store.copy();
    let second = server_entry("keyed", start_owner("i-2", &grants[1]), 4);
    let mut draining = server_entry("keyed", first, 4);
    draining["state"] = "draining".into();
    draining["sequence"] = 2.into();
    store.write("servers/i-2", Some(second.clone()));
    store.write("servers/i-1", Some(draining.clone()));
    routers.iter().for_each(|router| wait_for_owner(router, "i-2"));
    // The granter takes two changes of the table for the move.
    thread::sleep(Duration::from_secs(1));
    let before = grants[0].load(Ordering::SeqCst);
    store.restore(&copy);
    store.write("servers/i-2", Some(second));
    store.write("servers/i-1", Some(draining));
    let until = std::time::Instant::now() + 2 * GRACE;
    while std::time::Instant::now() < until {
        for router in &routers {
            assert_eq!(request_body(router.listen, "/key/x"), (200, "i-2".to_owned()));
        }
    }
    assert_eq!(grants[0].load(Ordering::SeqCst), before, "the former owner got a grant");
    let table = store.object("bay-ranges/keyed").unwrap().to_string();
    assert!(table.contains("i-2") && !table.contains("i-1"), "{table}");
}

/// Guards against two owners of a key: what the granter has ordered since the copy was made went with it.
#[test]
fn a_new_granter_waits_for_holds_that_the_copy_of_the_store_does_not_name() {
    let (store, address) = start_with_keys();
    let grants: Arc<AtomicUsize> = Arc::default();
    let owner = server_entry("keyed", start_owner("i-1", &grants), 4);
    store.write("servers/i-1", Some(owner));
    let first = start_router("h1", address, &["hold-max=10s", "grace=2s"]);
    wait_for_owner(&first, "i-1");
    let copy = store.copy();
    first.stop.send_blocking(()).unwrap();
    assert!(first.stopped.recv().is_err(), "the channel closes when the stop is complete");
    store.restore(&copy);
    let before = grants.load(Ordering::SeqCst);
    let second = start_router("h2", address, &["hold-max=10s"]);
    while request_status(second.ready, "GET", "/api/ready") != 200 {}
    // Holds last for 3.5 s by the clock of the server.
    thread::sleep(Duration::from_millis(3_700));
    assert_eq!(grants.load(Ordering::SeqCst), before, "a grant before unknown holds have expired");
    assert_eq!(request_status(second.listen, "GET", "/key/x"), 503);
    wait_for_owner(&second, "i-1");
}

/// Guards against requests to a server that is gone: only the granter took the entry, which the copy lacks,
/// for gone.
#[test]
fn all_routers_drop_a_server_whose_entry_does_not_come_back() {
    let (store, routers) = start();
    let copy = store.copy();
    store.write("servers/i-1", Some(entry("i-1")));
    routers.iter().for_each(|router| wait_for_server(router, "i-1"));
    wait_until_followed(&routers);
    store.restore(&copy);
    let until = std::time::Instant::now() + 3 * GRACE;
    while routers.iter().any(|router| answering_server(router) == "i-1") {
        assert!(std::time::Instant::now() < until, "its entry is still missing");
        thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a router without a server that all others use: it has read the list before the entry
/// came back, and then followed the granter, for which nothing had changed.
#[test]
fn a_router_that_starts_after_a_restoration_keeps_a_server_whose_entry_comes_back() {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("200ms", &[("/read/", "safe", "pool")])));
    let copy = store.copy();
    let entry = entry("i-1");
    store.write("servers/i-1", Some(entry.clone()));
    let (front, front_address) = StoreFront::start(&store);
    let first = ["h1", "h2"].map(|host| start_router(host, front_address, &[]));
    first.iter().for_each(|router| wait_for_server(router, "i-1"));
    wait_until_followed(&first);
    front.hold_kind("");
    thread::sleep(Duration::from_millis(1_500));
    store.restore(&copy);
    front.release();
    let late = start_router("h3", address, &[]);
    thread::sleep(Duration::from_millis(800));
    store.write("servers/i-1", Some(entry));
    wait_for_server(&late, "i-1");
    let until = std::time::Instant::now() + 3 * GRACE;
    while std::time::Instant::now() < until {
        assert_eq!(answering_server(&late), "i-1", "{:?}", until - std::time::Instant::now());
        thread::sleep(Duration::from_millis(50));
    }
}

/// Waits until routers get the servers from the granter, and none reads them itself.
fn wait_until_followed(routers: &[RunningRouter]) {
    for router in routers {
        while router.metric("routers_known") != Some(routers.len() as u64) {}
    }
    thread::sleep(Duration::from_secs(3));
}

#[test]
fn a_router_registers_again_if_the_copy_of_the_store_lacks_it() {
    let (store, routers) = start();
    store.write("servers/i-1", Some(entry("i-1")));
    routers.iter().for_each(|router| wait_for_server(router, "i-1"));
    let mut copy = store.copy();
    copy.remove("bay-hosts/h1");
    copy.remove("bay-hosts/h2");
    store.restore(&copy);
    while ["h1", "h2"].iter().any(|host| store.object(&format!("bay-hosts/{host}")).is_none()) {
        thread::sleep(Duration::from_millis(20));
    }
}
