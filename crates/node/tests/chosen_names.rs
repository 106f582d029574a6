//! Names as operators, servers and the platform choose them: any length and any characters.

mod platform;

use std::thread;
use std::time::Duration;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, StoreFront, config, request_body, request_status,
    server_entry, start_router, start_router_in_zone, start_server,
};
use serde_json::{Value, json};
use test_case::test_case;

/// Requests by which a change has to be in force.
const MAX_TRIES: usize = 200;

/// Pause between two of them.
const TRY_INTERVAL: Duration = Duration::from_millis(50);

fn wait_until_ready(router: &RunningRouter) {
    let is_ready = || request_status(router.ready, "GET", "/api/ready") == 200;
    assert!(happens(is_ready), "the router does not become ready");
}

/// Returns whether a condition holds within [`MAX_TRIES`].
fn happens<F>(condition: F) -> bool
where
    F: Fn() -> bool,
{
    (0..MAX_TRIES).any(|_| {
        thread::sleep(TRY_INTERVAL);
        condition()
    })
}

/// Returns the identifier of the server that serves a request; empty if none does.
fn answering_server(router: &RunningRouter, path: &str) -> String {
    let (status, body) = request_body(router.listen, path);
    let name = body.split(&format!(" {path}")).next().unwrap_or_default();
    if status == 200 { name.to_owned() } else { String::new() }
}

/// Returns a later version of a configuration with one more service.
fn with_service(mut config: Value, version: &str, service: &str) -> Value {
    config["version"] = version.into();
    let rows = config["services"]["rows"].as_array_mut().unwrap();
    rows.push(json!([service, "/health", 150, "3s", 5.0, null]));
    config
}

/// Starts two routers that serve the route `/read/` at `i-1` of the service `pool`.
fn start_fleet() -> (FakeStore, [RunningRouter; 2]) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[("/read/", "safe", "pool")])));
    let server = start_server("i-1", ServerBehavior::Echo);
    store.write("servers/i-1", Some(server_entry("pool", server, 4)));
    let routers = ["h1", "h2"].map(|host| start_router(host, address, &[]));
    routers.iter().for_each(wait_until_ready);
    (store, routers)
}

/// Guards against a version of the configuration that never comes into force.
#[test_case("customer-notification-dispatcher-eu"; "35 letters")]
#[test_case(&"s".repeat(200); "200 letters")]
#[test_case("Mixed_Case.Service"; "capitals and an underscore")]
#[test_case("-dispatcher_"; "punctuation at both ends")]
#[test_case("Müller & Söhne/EU"; "spaces and a slash")]
#[test_case("x.00112233445566778899aabbccdd"; "the form of a digest")]
fn a_route_moves_to_a_service_with_any_name(service: &str) {
    let (store, routers) = start_fleet();
    let server = start_server("i-2", ServerBehavior::Echo);
    store.write("servers/i-2", Some(server_entry(service, server, 4)));
    let moved = config("2s", &[("/read/", "safe", service)]);
    store.write("config/main", Some(with_service(moved, "r2", service)));
    for router in &routers {
        assert!(happens(|| answering_server(router, "/read/x") == "i-2"));
    }
}

/// Guards against a service that holds back the routes to others.
#[test]
fn a_service_with_an_odd_name_holds_back_no_route_to_others() {
    let (store, routers) = start_fleet();
    let added = config("2s", &[("/read/", "safe", "pool"), ("/new/", "safe", "pool")]);
    store.write("config/main", Some(with_service(added, "r2", "Quite_Another-")));
    for router in &routers {
        assert!(happens(|| answering_server(router, "/new/x") == "i-1"));
    }
}

/// Guards against servers that no router uses because of their identifiers.
#[test_case("I_7F3A91C2"; "capitals and an underscore")]
#[test_case("server-0123456789abcdef0123456789abcdef0123456789abcdef0123456789"; "64 letters")]
#[test_case(&"i".repeat(2_000); "2000 letters")]
#[test_case("pool 7/east:1"; "a space and a slash")]
#[test_case("x.00112233445566778899aabbccdd"; "the form of a digest")]
fn a_server_with_any_identifier_serves_requests_and_holds_keys(id: &str) {
    let id: &'static str = id.to_owned().leak();
    let (store, address) = FakeStore::start();
    let routes = [("/read/", "safe", "pool"), ("/key/", "safe", "keyed")];
    store.write("config/main", Some(config("2s", &routes)));
    let keyed_id: &'static str = format!("{id}k").leak();
    for (id, service) in [(id, "pool"), (keyed_id, "keyed")] {
        let server = start_server(id, ServerBehavior::Echo);
        store.write(&format!("servers/{id}"), Some(server_entry(service, server, 4)));
    }
    let routers = ["h1", "h2"].map(|host| start_router(host, address, &[]));
    for router in &routers {
        wait_until_ready(router);
        assert!(happens(|| answering_server(router, "/read/x") == id));
        assert!(happens(|| answering_server(router, "/key/x") == keyed_id));
    }
}

/// Guards against a router that learns of such servers from the granter and can't name them to
/// themselves, or doesn't learn that they have left.
#[test]
fn a_router_without_the_store_learns_of_servers_with_odd_identifiers() {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[("/read/", "safe", "pool")])));
    let first = start_server("i-1", ServerBehavior::Echo);
    store.write("servers/i-1", Some(server_entry("pool", first, 4)));
    let granter = start_router("h1", address, &[]);
    wait_until_ready(&granter);
    let (front, address) = StoreFront::start(&store);
    let follower = start_router("h2", address, &[]);
    wait_until_ready(&follower);
    assert!(happens(|| store.object("bay-hosts/h2").is_some()));
    front.hold_kind("servers");
    let ids = ["Odd_1", "Odd_2"];
    for id in ids {
        let server = start_server(id, ServerBehavior::Echo);
        store.write(&format!("servers/{id}"), Some(server_entry("pool", server, 4)));
    }
    store.write("servers/i-1", None);
    assert!(happens(|| ids.contains(&answering_server(&follower, "/read/x").as_str())));
    store.write("servers/Odd_1", None);
    let is_only_second = || (0..10).all(|_| answering_server(&follower, "/read/x") == "Odd_2");
    assert!(happens(is_only_second));
    // A draining server gets nothing more.
    let third = start_server("i-3", ServerBehavior::Echo);
    store.write("servers/i-3", Some(server_entry("pool", third, 4)));
    let mut draining = store.object("servers/Odd_2").unwrap();
    draining["state"] = "draining".into();
    store.write("servers/Odd_2", Some(draining));
    assert!(happens(|| (0..10).all(|_| answering_server(&follower, "/read/x") == "i-3")));
}

/// Guards against a router that never becomes ready, and against zones that can't be taken out.
#[test]
fn hosts_and_zones_may_have_any_name() {
    const OUT: &str = "Availability_Zone with a name of more than forty letters";
    const IN: &str = "a-zone-with-another-name-of-more-than-forty-letters";
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(config("2s", &[("/read/", "safe", "pool")])));
    for (id, zone) in [("i-1", OUT), ("i-2", IN)] {
        let server = start_server(id, ServerBehavior::Echo);
        let mut entry = server_entry("pool", server, 4);
        entry["zone"] = zone.into();
        store.write(&format!("servers/{id}"), Some(entry));
    }
    let long_host = "Edge_".repeat(12);
    let routers = [("h1", OUT), (&*long_host, IN)]
        .map(|(host, zone)| start_router_in_zone(host, zone, address));
    routers.iter().for_each(wait_until_ready);
    store.write(&format!("evacuations/{OUT}"), Some(json!({})));
    for router in &routers {
        assert!(happens(|| (0..10).all(|_| answering_server(router, "/read/x") == "i-2")));
    }
    store.write("servers/i-2", None);
    assert!(happens(|| routers
        .iter()
        .all(|router| answering_server(router, "/read/x").is_empty())));
    store.write(&format!("evacuations/{OUT}"), None);
    for router in &routers {
        assert!(happens(|| answering_server(router, "/read/x") == "i-1"));
    }
}

/// Guards against a router that gives up more than what it can't use, or sends that elsewhere.
#[test]
fn what_a_router_cannot_use_costs_that_alone() {
    let (store, routers) = start_fleet();
    let server = start_server("i-2", ServerBehavior::Echo);
    store.write("servers/two\r\nlines", Some(server_entry("pool", server, 4)));
    store.write("servers/i-2", Some(server_entry("pool", server, 4)));
    let routes =
        [("/read/", "safe", "pool"), ("/read/odd/", "safe", "pool"), ("/", "safe", "pool")];
    let mut second = with_service(config("2s", &routes), "r2", "other");
    second["routes"]["rows"][1][4] = "two fortnights".into();
    second["services"]["rows"].as_array_mut().unwrap().push(json!(["short"]));
    store.write("servers/i-1", None);
    store.write("config/main", Some(second));
    for router in &routers {
        assert!(happens(|| answering_server(router, "/x") == "i-2"));
        assert_eq!(answering_server(router, "/read/x"), "i-2");
        assert_eq!(request_status(router.listen, "GET", "/read/odd/x"), 503);
    }
}
