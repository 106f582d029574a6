//! Direct paths to servers, and tunnels through other routers.

mod support;

use std::time::Duration;

use bay_router::{Router, ServerPath, ServerPaths, ServerSpread};
use bay_types::{HostName, ServerName};
use support::{admit, at, picked, router, server, zone};

fn host(name: &str) -> HostName {
    HostName::new(name).unwrap()
}

const MANY: ServerSpread = ServerSpread { servers: 10, zones: 3 };

/// Records failed connections to servers; their zones are named like them.
fn fail(paths: &mut ServerPaths, now: u64, names: &[&str]) -> bool {
    names.iter().any(|name| paths.record_failure(at(now), server(name), zone(name), MANY))
}

#[test]
fn a_router_that_reaches_none_of_several_servers_is_cut_off_until_it_reaches_one() {
    let mut paths = ServerPaths::default();
    assert!(!fail(&mut paths, 1, &["a", "b", "b"]));
    assert_eq!(paths.path(), ServerPath::Direct);
    assert!(fail(&mut paths, 2, &["c"]));
    assert!(!fail(&mut paths, 3, &["d"]), "the change is reported once");
    assert_eq!(paths.path(), ServerPath::Tunnel);
    assert!(paths.record_success(at(60_000), server("e")));
    assert!(!paths.record_success(at(60_001), server("e")));
    assert_eq!(paths.path(), ServerPath::Direct);
}

#[test]
fn failures_between_successes_or_long_apart_do_not_cut_a_router_off() {
    let mut paths = ServerPaths::default();
    fail(&mut paths, 1, &["a", "b"]);
    paths.record_success(at(2), server("c"));
    assert!(!fail(&mut paths, 3, &["d", "e"]));
    assert!(!fail(&mut paths, 2_000, &["f", "g"]));
}

/// A hunted day had thousands of useless tunnels to the servers of a zone that had ended.
#[test]
fn a_single_server_that_fails_is_not_tried_through_a_tunnel() {
    let mut paths = ServerPaths::default();
    fail(&mut paths, 1, &["a"]);
    assert_eq!(paths.path(), ServerPath::Direct);
}

#[test]
fn a_router_with_fewer_servers_is_cut_off_when_all_of_them_fail() {
    let mut paths = ServerPaths::default();
    let only = ServerSpread { servers: 1, zones: 1 };
    assert!(paths.record_failure(at(1), server("a"), zone("z"), only));
}

/// All routers would otherwise take themselves for cut off, and none would open tunnels for others.
#[test]
fn a_router_that_reaches_no_server_of_one_zone_is_not_cut_off() {
    let mut paths = ServerPaths::default();
    for name in ["a", "b", "c", "d"] {
        assert!(!paths.record_failure(at(1), server(name), zone("z"), MANY));
    }
    assert!(paths.record_failure(at(2), server("e"), zone("y"), MANY));
}

/// Sends a request to a server that does not answer.
fn leave_unanswered(router: &mut Router, now: u64) -> ServerName {
    let mut request = admit(router, at(now), "/pool/x", None);
    let choice = picked(router.pick_server(at(now), &mut request));
    router.record_sent(at(now), &choice, &mut request);
    choice.server
}

#[test]
fn servers_that_fall_silent_together_are_probed() {
    let mut router = router(6, 0, 0);
    assert_eq!(router.next_probe(at(0)), None);
    for now in 1..20 {
        leave_unanswered(&mut router, now);
    }
    assert_eq!(router.next_probe(at(300)), None, "answers may still come");
    assert!(router.next_probe(at(500)).is_some());
    assert_eq!(router.next_probe(at(510)), None, "probes have an interval");
    assert!(router.next_probe(at(700)).is_some());
}

#[test]
fn a_failed_connection_leads_to_a_probe_of_another_server() {
    let mut router = router(2, 0, 0);
    assert!(!router.record_direct_failure(at(1), server("a0")));
    assert_eq!(router.next_probe(at(2)), Some(server("a1")));
    router.record_direct_success(at(3), server("a1"));
    assert_eq!(router.next_probe(at(500)), None);
}

#[test]
fn tunnels_lead_through_routers_that_have_not_declined_a_moment_ago() {
    let mut router = router(1, 0, 0);
    assert_eq!(router.tunnel_host(at(0)), None);
    router.set_hosts(at(0), vec![host("h1"), host("h2"), host("h3")], 3);
    router.record_unavailable_host(at(0), host("h2"));
    for _ in 0..20 {
        assert_eq!(router.tunnel_host(at(1)), Some(host("h3")));
    }
    router.record_unavailable_host(at(1), host("h3"));
    assert_eq!(router.tunnel_host(at(2)), None);
    assert!(router.tunnel_host(at(2) + Duration::from_secs(2)).is_some());
}
