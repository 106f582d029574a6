//! Routers keep the quota of an account together.

mod platform;

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use platform::{
    FakeStore, RunningRouter, ServerBehavior, config, request_status, server_entry, start_router,
    start_server,
};
use serde_json::{Value, json};

const RATE: f64 = 10.0;
const BURST: f64 = 10.0;
/// Requests for a metric by which it has to have the expected value.
const MAX_TRIES: usize = 30;
/// Pause before each of them.
const TRY_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which the last shares before it are no longer recent.
const LONGER_THAN_VALIDITY: Duration = Duration::from_secs(1);
/// Length of the window, in seconds.
const WINDOW: f64 = 5.0;
const BOUNDS: &[&str] = &["quota-window=5s", "quota-overshoot=0.1", "quota-slack=20"];

/// Sends a request of the account; returns the status and the value of `Retry-After`.
fn request(address: SocketAddr) -> (u16, Option<String>) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /read/x HTTP/1.1\r\nHost: shop\r\nKey: k\r\n\r\n").unwrap();
    let lines = BufReader::new(stream).lines().map_while(Result::ok);
    let head: Vec<String> = lines.take_while(|line| !line.is_empty()).collect();
    let status = head[0].split(' ').nth(1).unwrap().parse().unwrap();
    let retry_after = head.iter().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case("retry-after").then(|| value.to_owned())
    });
    (status, retry_after)
}

/// A configuration in which the account has this rate, 0 for no quota.
fn quota_config(version: &str, rate: f64) -> Value {
    let mut config = config("200ms", &[("/read/", "safe", "pool")]);
    config["version"] = version.into();
    config["tenants"] = json!({
        "columns": ["name", "api-keys", "rate-per-s", "burst"],
        "rows": [["a", ["k"], rate, BURST]],
    });
    config
}

fn start_fleet(bounds: &'static [&'static str]) -> (FakeStore, Vec<RunningRouter>) {
    let (store, address) = FakeStore::start();
    store.write("config/main", Some(quota_config("r1", RATE)));
    let server = start_server("i-1", ServerBehavior::Echo);
    store.write("servers/i-1", Some(server_entry("pool", server, 4)));
    let routers: Vec<RunningRouter> =
        ["h1", "h2", "h3"].map(|host| start_router(host, address, bounds)).into();
    for router in &routers {
        while request_status(router.ready, "GET", "/api/ready") != 200 {}
    }
    (store, routers)
}

/// Guards against routers that each grant the quota, and against shares that do not arrive.
#[test]
fn routers_together_admit_no_more_than_the_quota() {
    let (_store, routers) = start_fleet(BOUNDS);
    for router in &routers {
        while router.metric("quota_recent_shares") != Some(1) {}
    }
    let started = Instant::now();
    let answers: Vec<_> =
        (0..150).flat_map(|_| &routers).map(|router| request(router.listen)).collect();
    let windows = (started.elapsed().as_secs_f64() / WINDOW).ceil();
    let served = answers.iter().filter(|(status, _)| *status == 200).count() as f64;
    let bound = ((RATE * WINDOW + BURST) * 1.1 + 20.0) * windows;
    assert!(served <= bound, "{served} served, {bound} allowed");
    assert!(served >= 10.0, "{served} served");
    let mut refused = answers.iter().filter(|(status, _)| *status != 200);
    assert!(refused.all(|(status, after)| *status == 429 && after.is_some()));
}

/// Guards against quotas that take effect although the platform sets no bounds on them.
#[test]
fn without_bounds_all_requests_are_admitted() {
    let (_store, routers) = start_fleet(&[]);
    assert!((0..150).all(|_| request(routers[0].listen).0 == 200));
    assert_eq!(routers[0].metric("quota_recent_shares"), None);
}

/// Guards against a granter that numbers its shares from the start after a configuration without quotas:
/// the routers would ignore them.
#[test]
fn shares_go_on_after_a_configuration_without_quotas() {
    let (store, routers) = start_fleet(BOUNDS);
    let await_shares = |expected| {
        for router in &routers {
            let mut tries = 0..MAX_TRIES;
            assert!(
                tries.any(|_| {
                    thread::sleep(TRY_INTERVAL);
                    router.metric("quota_recent_shares") == expected
                }),
                "no {expected:?}"
            );
        }
    };
    // Many shares of the term have been sent.
    (0..20).for_each(|_| {
        await_shares(Some(1));
    });
    store.write("config/main", Some(quota_config("r2", 0.0)));
    await_shares(None);
    thread::sleep(LONGER_THAN_VALIDITY);
    store.write("config/main", Some(quota_config("r3", RATE)));
    await_shares(Some(1));
}
