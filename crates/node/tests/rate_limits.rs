//! Routers keep together to the rate limit that a server names in its answers.

mod platform;

use std::time::Instant;

use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, request_status, server_entry, start_router,
    start_server,
};
use test_case::test_case;

/// Limit named by [`ServerBehavior::RateLimited`], in requests per second.
const LIMIT: f64 = 2.0;

/// Span in which the platform counts a limited server's requests, in seconds.
const WINDOW_SECONDS: f64 = 4.0;

#[test_case("pool", "/read/x"; "any server runs the request")]
#[test_case("keyed", "/key/x"; "only the owner of the key runs the request")]
fn routers_together_send_no_more_than_the_limit_that_a_server_names(service: &str, path: &str) {
    let (store, address) = FakeStore::start();
    let routes = [("/read/", "safe", "pool"), ("/key/", "safe", "keyed")];
    store.write("config/main", Some(config("200ms", &routes)));
    let server = start_server("i-1", ServerBehavior::RateLimited);
    store.write("servers/i-1", Some(server_entry(service, server, 4)));
    let routers: Vec<RunningRouter> =
        ["h1", "h2", "h3"].map(|host| start_router(host, address, &["hold-max=10s"])).into();
    for router in &routers {
        while request_status(router.ready, "GET", "/api/ready") != 200 {}
        // Each router learns the limit from its first answer.
        while request_status(router.listen, "GET", path) != 200 {}
    }
    let started = Instant::now();
    let answers =
        (0..40).flat_map(|_| &routers).map(|router| request_status(router.listen, "GET", path));
    let served = answers.filter(|status| *status == 200).count() as f64;
    let seconds = started.elapsed().as_secs_f64().max(WINDOW_SECONDS);
    let allowed = LIMIT * 1.5 * seconds + 5.0;
    assert!(served <= allowed, "{served} requests in {seconds} s, {allowed} allowed");
    assert!(served >= 1.0, "a limited server still gets requests");
}
