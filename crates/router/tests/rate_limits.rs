//! Rate limits that servers name in their answers.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bay_router::{
    Permit, PermitRequest, RateLimitNotice, RateLimiter, Router, RoutingDecision, SelectedServer,
};
use bay_time::Time;
use bay_types::{ErrorKind, HostName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{admit, at, picked, router, server};
use test_case::test_case;

/// Picks the only server of `pool` for a request, with a permit.
fn pick(router: &mut Router, now: Time) -> SelectedServer {
    let mut request = admit(router, now, "/pool/x", None);
    let granted = Permit::Granted(Duration::ZERO);
    router.record_permit(now, &mut request, server("a0"), granted);
    picked(router.pick_server(now, &mut request))
}

fn limit(router: &Router, now: Time) -> Option<f64> {
    router.directory().get(server("a0")).unwrap().rate_limit(now)
}

#[test]
fn a_limit_begins_and_ends_with_the_answers_that_name_it() {
    let mut router = router(1, 0, 0);
    let first = pick(&mut router, at(0));
    router.record_rate_limit(at(10), &first, Some(4.0));
    assert_eq!(limit(&router, at(10)), Some(4.0));
    let second = pick(&mut router, at(20));
    router.record_rate_limit(at(30), &second, None);
    assert_eq!(limit(&router, at(30)), None);
}

#[test]
fn an_answer_to_an_earlier_request_does_not_end_a_limit() {
    let mut router = router(1, 0, 0);
    let (early, late) = (pick(&mut router, at(0)), pick(&mut router, at(1)));
    router.record_rate_limit(at(10), &late, Some(4.0));
    router.record_rate_limit(at(11), &early, None);
    assert_eq!(limit(&router, at(11)), Some(4.0));
}

#[test]
fn a_limit_is_announced_when_it_begins_changes_and_ends_and_now_and_then() {
    let mut router = router(1, 0, 0);
    let mut answer = |now: u64, rate: Option<f64>| {
        let choice = pick(&mut router, at(now));
        router.record_rate_limit(at(now), &choice, rate);
        router.drain_rate_limits().iter().map(|notice| notice.per_second).collect::<Vec<_>>()
    };
    assert_eq!(answer(0, None), []);
    assert_eq!(answer(100, Some(4.0)), [Some(4.0)]);
    assert_eq!(answer(200, Some(4.1)), []);
    assert_eq!(answer(300, Some(8.0)), [Some(8.0)]);
    assert_eq!(answer(6_000, Some(8.0)), [Some(8.0)]);
    assert_eq!(answer(6_100, None), [None]);
}

#[test]
fn a_limit_that_another_router_has_learned_holds_here_unless_the_server_has_restarted() {
    let mut router = router(1, 0, 0);
    let notice = |started| RateLimitNotice { server: server("a0"), started, per_second: Some(4.0) };
    assert!(!router.apply_rate_limit(at(0), &notice(7)));
    assert_eq!(limit(&router, at(0)), None);
    assert!(router.apply_rate_limit(at(0), &notice(1)));
    assert_eq!(limit(&router, at(0)), Some(4.0));
    assert!(router.drain_rate_limits().is_empty());
}

#[test]
fn a_limit_that_nothing_confirms_ends() {
    let mut router = router(1, 0, 0);
    let choice = pick(&mut router, at(0));
    router.record_rate_limit(at(0), &choice, Some(4.0));
    assert_eq!(limit(&router, at(29_000)), Some(4.0));
    assert_eq!(limit(&router, at(0) + Duration::from_secs(31)), None);
}

/// A fleet of routers in front of one server that names a rate limit.
struct Fleet {
    hosts: Vec<HostName>,
    routers: Vec<Router>,
    /// Permits granted by each router.
    limiters: BTreeMap<HostName, RateLimiter>,
    /// Arrivals at the server, in milliseconds.
    arrivals: Vec<u64>,
    refused: usize,
}

impl Fleet {
    /// Latency objective of the routes in the tests' configuration, in milliseconds.
    const OBJECTIVE_MS: u64 = 200;

    fn new(size: usize, per_second: f64) -> Fleet {
        let hosts: Vec<HostName> =
            (0..size).map(|index| HostName::new(&format!("h{index}")).unwrap()).collect();
        let notice =
            RateLimitNotice { server: server("a0"), started: 1, per_second: Some(per_second) };
        let routers = hosts.iter().map(|_| {
            let mut router = router(1, 0, 0);
            router.set_hosts(at(0), hosts.clone(), size as u32);
            router.apply_rate_limit(at(0), &notice);
            router
        });
        let routers = routers.collect();
        Fleet { hosts, routers, limiters: BTreeMap::new(), arrivals: Vec::new(), refused: 0 }
    }

    /// Routes a request that arrives at a router; it reaches the server or is refused at once.
    fn serve(&mut self, now: u64, index: usize) {
        let router = &mut self.routers[index];
        let mut request = admit(router, at(now), "/pool/x", None);
        let permit = match router.pick_server(at(now), &mut request) {
            RoutingDecision::Acquire(permit) => permit,
            decision => return self.count_refusal(&decision),
        };
        let host = router.permit_host(at(now), permit.server);
        let answer = self.limiters.entry(host).or_default().acquire(at(now), &permit);
        let wait = match answer {
            Permit::Granted(wait) => wait.as_millis() as u64,
            Permit::Denied(_) => 0,
        };
        let router = &mut self.routers[index];
        router.record_permit(at(now + wait), &mut request, permit.server, answer);
        match router.pick_server(at(now + wait), &mut request) {
            RoutingDecision::Send(choice) => {
                assert!(wait <= Fleet::OBJECTIVE_MS, "sent after {wait} ms");
                router.record_sent(at(now + wait), &choice, &mut request);
                router.record_finished(&choice);
                let limit = router.directory().get(choice.server).unwrap().rate_limit(at(now));
                router.record_rate_limit(at(now + wait), &choice, limit);
                let notices = router.drain_rate_limits();
                for router in &mut self.routers {
                    notices.iter().for_each(|notice| {
                        router.apply_rate_limit(at(now + wait), notice);
                    });
                }
                self.arrivals.push(now + wait);
            }
            decision => self.count_refusal(&decision),
        }
    }

    fn count_refusal(&mut self, decision: &RoutingDecision) {
        let refusal = RoutingDecision::Refuse(ErrorKind::ServiceOverloaded, None);
        let is_refusal = matches!(decision, RoutingDecision::Refuse(kind, Some(_))
            if RoutingDecision::Refuse(*kind, None) == refusal);
        assert!(is_refusal, "{decision:?}");
        self.refused += 1;
    }

    /// Returns the most arrivals in any 4 s.
    fn busiest_window(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let until = |from: u64| arrivals.partition_point(|at| *at < from + 4_000);
        (0..arrivals.len()).map(|first| until(arrivals[first]) - first).max().unwrap_or(0)
    }
}

/// Requests come at several times the limit, at random routers. The server gets what it takes, no
/// more and little less.
#[test_case(8, 14.6, 50.0; "a small fleet")]
#[test_case(8, 1.8, 12.0; "a server in great need")]
#[test_case(195, 3.0, 40.0; "more routers than requests per second")]
#[test_case(8, 0.4, 10.0; "less than a request per second")]
fn a_server_gets_its_limit_from_all_routers_together(size: usize, limit: f64, demand: f64) {
    let mut fleet = Fleet::new(size, limit);
    let mut random = SmallRng::seed_from_u64(3);
    for now in 0..40_000 {
        if random.random_bool(demand / 1_000.0) {
            fleet.serve(now, random.random_range(0..size));
        }
    }
    let allowed = limit * 1.5 * 4.0 + 5.0;
    assert!(fleet.busiest_window() as f64 <= allowed, "{} in 4 s", fleet.busiest_window());
    let served = fleet.arrivals.len() as f64;
    assert!(served >= limit * 40.0 * 0.9, "{served} of {} in 40 s", limit * 40.0);
    assert!(fleet.refused > 0);
}

/// The router that grants the permits restarts every 5 s, and a third of the routers then ask another
/// one for as long as they take it for silent.
#[test_case(14.6, 50.0)]
#[test_case(1.8, 12.0)]
fn a_limit_holds_while_the_router_that_grants_permits_is_replaced(limit: f64, demand: f64) {
    let mut fleet = Fleet::new(9, limit);
    let mut random = SmallRng::seed_from_u64(4);
    for now in 0..40_000 {
        if now % 5_000 == 2_500 {
            let host = fleet.routers[0].permit_host(at(now), server("a0"));
            fleet.limiters.remove(&host);
            for router in fleet.routers.iter_mut().step_by(3) {
                router.record_silent_host(at(now), host);
            }
        }
        if random.random_bool(demand / 1_000.0) {
            fleet.serve(now, random.random_range(0..fleet.hosts.len()));
        }
    }
    let allowed = limit * 1.5 * 4.0 + 5.0;
    assert!(fleet.busiest_window() as f64 <= allowed, "{} in 4 s", fleet.busiest_window());
}

/// After a loss of all routers each of them starts without knowing the others, and would grant permits
/// of its own.
#[test]
fn a_router_that_does_not_know_the_others_sends_nothing_to_a_limited_server() {
    let mut sent = 0;
    for _ in 0..80 {
        let mut router = router(1, 0, 0);
        let limited = RateLimitNotice { server: server("a0"), started: 1, per_second: Some(4.0) };
        router.apply_rate_limit(at(0), &limited);
        let mut request = admit(&mut router, at(1), "/pool/x", None);
        let decision = router.pick_server(at(1), &mut request);
        sent += usize::from(!matches!(decision, RoutingDecision::Refuse(..)));
    }
    assert_eq!(sent, 0);
}

/// A router that knows only itself.
fn lone_router(servers: u8) -> Router {
    let mut router = router(servers, 0, 0);
    router.set_hosts(at(0), vec![HostName::new("h1").unwrap()], 1);
    router
}

#[test]
fn a_request_without_room_at_one_server_goes_to_another() {
    let mut router = lone_router(2);
    let limited = RateLimitNotice { server: server("a0"), started: 1, per_second: Some(0.1) };
    router.apply_rate_limit(at(0), &limited);
    for now in 0..50 {
        let mut request = admit(&mut router, at(now), "/pool/x", None);
        let mut decision = router.pick_server(at(now), &mut request);
        if let RoutingDecision::Acquire(permit) = decision {
            let denied = Permit::Denied(Duration::from_secs(10));
            router.record_permit(at(now), &mut request, permit.server, denied);
            decision = router.pick_server(at(now), &mut request);
        }
        assert_eq!(picked(decision).server, server("a1"));
    }
}

#[test]
fn a_permit_is_used_for_one_attempt_only() {
    let mut router = lone_router(1);
    let limited = RateLimitNotice { server: server("a0"), started: 1, per_second: Some(4.0) };
    router.apply_rate_limit(at(0), &limited);
    let mut request = admit(&mut router, at(0), "/pool/x", None);
    let granted = Permit::Granted(Duration::ZERO);
    router.record_permit(at(0), &mut request, server("a0"), granted);
    let choice = picked(router.pick_server(at(0), &mut request));
    router.record_sent(at(0), &choice, &mut request);
    let next = router.pick_server(at(1), &mut request);
    assert!(matches!(next, RoutingDecision::Acquire(_)), "{next:?}");
}

#[test]
fn a_rate_that_is_no_positive_number_is_raised_to_the_lowest_one() {
    let mut limiter = RateLimiter::default();
    for per_second in [0.0, -1.0, f64::NAN] {
        let max_wait = Duration::from_secs(1);
        let request = PermitRequest { server: server("a0"), started: 1, per_second, max_wait };
        let permits = (0..10).map(|_| limiter.acquire(at(0), &request));
        let granted = permits.filter(|permit| matches!(permit, Permit::Granted(_))).count();
        assert!(granted <= 1);
    }
}
