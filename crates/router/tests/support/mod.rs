//! Settings, configurations and servers for tests.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{HoldTimes, KnownHolds, ProvenTable, RangeTable};
use bay_router::{
    CallerLimits, Config, PlatformBounds, RequestFields, RequestState, RouteKind, RouteSpec,
    Router, RouterSettings, RoutingDecision, ServerEntry, ServerState, ServiceSpec,
};
use bay_time::Time;
use bay_types::{HostName, Revision, ServerName, ServiceName, ZoneName};

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

pub fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

pub fn server(name: &str) -> ServerName {
    ServerName::new(name).unwrap()
}

/// Returns the table of a store that is never restored.
pub fn proven(table: RangeTable) -> ProvenTable {
    let times = HoldTimes::bounded_by(Duration::from_secs(10));
    KnownHolds::new(Time::ZERO, false).prove(Time::ZERO, Some(table), &times).unwrap()
}

pub fn settings(host: &str) -> RouterSettings {
    let address = |port| SocketAddr::from(([10, 0, 0, 1], port));
    RouterSettings {
        host: HostName::new(host).unwrap(),
        zone: zone("a"),
        listen: address(1),
        ready: address(2),
        peer: address(3),
        metrics: address(4),
        store: address(5),
        cores: 0.2,
        link_mbps: 1_000.0,
        memory_bytes: 256 << 20,
        descriptors: 4_096,
        is_first_start: false,
        server_heartbeat: Duration::from_secs(1),
        bounds: PlatformBounds { retry_ratio: 0.2, retry_extra: 50.0, ..PlatformBounds::default() },
        overload_control: false,
        learn_capacities: false,
    }
}

pub fn route(host: &str, prefix: &str, kind: RouteKind, parts: &[(&str, u32)]) -> RouteSpec {
    RouteSpec {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(200),
        max_attempts: 2,
        priority: 1,
        key_exempt: false,
        parts: parts.iter().map(|(name, weight)| (service(name), *weight)).collect(),
    }
}

pub fn spec(name: &str, keyed: bool) -> ServiceSpec {
    ServiceSpec {
        name: service(name),
        health_path: "/health".to_owned(),
        max_connections: 100,
        warm_up: Duration::from_secs(3),
        warm_up_rate: 5.0,
        keyed,
    }
}

pub fn config(version: u64) -> Config {
    Config {
        version,
        routes: vec![
            route("shop", "/pool/", RouteKind::Idempotent, &[("pool", 1)]),
            route("shop", "/once/", RouteKind::Once, &[("pool", 1)]),
            route("shop", "/keyed/", RouteKind::Idempotent, &[("keyed", 1)]),
        ],
        services: vec![spec("pool", false), spec("keyed", true)],
        accounts: None,
        limits: CallerLimits::default(),
    }
}

/// A ready server with four slots.
pub fn entry(service_name: &str, zone_name: &str, index: u8) -> ServerEntry {
    ServerEntry {
        service: service(service_name),
        address: SocketAddr::from(([10, 1, 0, index], 80)),
        zone: zone(zone_name),
        slots: 4,
        state: ServerState::Ready,
        warm_up_left: Duration::ZERO,
        started: 1,
        heartbeat: 1,
    }
}

/// A router in zone `a` with servers of `pool` in zones `a` and `b`, and of `keyed` in `a`.
pub fn router(pool_a: u8, pool_b: u8, keyed: u8) -> Router {
    router_with(settings("h1"), config(1), pool_a, pool_b, keyed)
}

/// Like [`router`], with settings and a configuration.
pub fn router_with(
    settings: RouterSettings,
    config: Config,
    pool_a: u8,
    pool_b: u8,
    keyed: u8,
) -> Router {
    let mut router = Router::new(settings, 7);
    router.apply_config(config);
    let mut entries = Vec::new();
    for index in 0..pool_a {
        entries.push((format!("a{index}"), entry("pool", "a", index)));
    }
    for index in 0..pool_b {
        entries.push((format!("b{index}"), entry("pool", "b", 50 + index)));
    }
    for index in 0..keyed {
        entries.push((format!("k{index}"), entry("keyed", "a", 100 + index)));
    }
    let entries = entries.into_iter().map(|(name, entry)| (server(&name), Revision(1), entry));
    router.replace_servers(at(0), Revision(1), entries.collect());
    router
}

/// Admits a request to the host `shop`.
pub fn admit(router: &mut Router, now: Time, path: &str, key: Option<u16>) -> RequestState {
    let fields = RequestFields { key, ..RequestFields::default() };
    router.admit(now, "shop", path, &fields).unwrap()
}

/// Returns the server of a decision to send.
pub fn picked(decision: RoutingDecision) -> bay_router::SelectedServer {
    match decision {
        RoutingDecision::Send(choice) => choice,
        other => panic!("expected a server, found {other:?}"),
    }
}
