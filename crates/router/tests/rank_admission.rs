//! Requests of different ranks meet on a service.

mod support;

use std::time::Duration;

use bay_admission::{OverloadLevels, RankShare, RefusalReason, ServiceLevel};
use bay_range::{KeyLimit, KeyRange, OwnerId};
use bay_router::{
    AttemptResult, Config, LoadReport, OwnerMap, PeerMessage, RequestState, Router, RouterSettings,
    RoutingDecision, SelectedServer,
};
use bay_types::{ErrorKind, Term};
use support::{admit, at, config, router_with, server, service, settings};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const HOT_KEY: u16 = 7;

/// A configuration whose routes to a pool have the ranks 0 and 2, and those to a keyed service 0 and 1.
fn ranked_config() -> Config {
    let mut config = config(1);
    let mut urgent = config.routes[2].clone();
    urgent.prefix = "/keyed/urgent/".to_owned();
    config.routes.push(urgent);
    for (route, priority) in config.routes.iter_mut().zip([0, 2, 1, 0]) {
        route.priority = priority;
    }
    config.routes[1].objective = Duration::from_secs(2);
    config
}

fn ranked_router(overload_control: bool) -> Router {
    let settings = RouterSettings { overload_control, ..settings("h1") };
    own_keys(router_with(settings, ranked_config(), 4, 4, 1))
}

/// Gives all keys to the only keyed server.
fn own_keys(mut router: Router) -> Router {
    let owner = OwnerId { server: server("k0"), started: 1 };
    let ranges = vec![(KeyRange::ALL, owner)];
    router.replace_owners(service("keyed"), OwnerMap { term: Term(1), sequence: 1, ranges });
    router
}

/// Plays requests of all routes on overloaded servers; returns a digest of all decisions.
fn play_decisions(router: &mut Router, limit: Option<KeyLimit>) -> u64 {
    let mut digest = 0;
    let mut add = |text: String| digest = xxh3_64_with_seed(text.as_bytes(), digest);
    let mut pending: Vec<(u64, RequestState, SelectedServer)> = Vec::new();
    for step in 0..4_000_u64 {
        let now = step * 2;
        if step % 100 == 0 {
            router.set_key_limits(at(now), service("keyed"), limit.into_iter().collect());
        }
        let (done, rest) = pending.into_iter().partition(|(end, ..)| *end <= now);
        pending = rest;
        for (end, mut request, selected) in done {
            let load =
                LoadReport { running: 4, waiting: (end % 7) as u32, slots: 4, slowdown: 1.0 };
            router.record_load(at(now), &selected, load);
            let result = AttemptResult::Answered { status: 200, not_run: end % 5 == 0 };
            let elapsed = at(now).since(selected.picked_at);
            router.record_finished(&selected);
            add(format!(
                "{:?}",
                router.handle_result(at(now), &mut request, &selected, result, elapsed)
            ));
        }
        let path = ["/pool/x", "/once/x", "/keyed/x", "/keyed/urgent/x"][(step % 4) as usize];
        let key = if step % 3 == 0 { HOT_KEY } else { step as u16 };
        let mut request = admit(router, at(now), path, Some(key));
        let decision = router.pick_server(at(now), &mut request);
        add(format!("{decision:?}"));
        if let RoutingDecision::Send(selected) = decision {
            router.record_sent(at(now), &selected, &mut request);
            pending.push((now + 60 + step * 37 % 200, request, selected));
        }
    }
    digest
}

/// Guards against a change of decisions for deployments without overload control.
#[test]
fn without_overload_control_all_decisions_are_those_of_before() {
    let limit = Some(KeyLimit { key: HOT_KEY, share: 0.3 });
    let digest = play_decisions(&mut ranked_router(false), limit);
    assert_eq!(digest, 8_477_632_536_202_556_537);
}

/// Guards against a change of decisions at services with one rank, also when their servers reject
/// requests.
#[test]
fn where_no_ranks_meet_overload_control_changes_no_decision() {
    let [off, on] = [false, true].map(|overload_control| {
        let settings = RouterSettings { overload_control, ..settings("h1") };
        let mut config = ranked_config();
        config.routes.iter_mut().for_each(|route| route.priority = 1);
        play_decisions(&mut own_keys(router_with(settings, config, 4, 4, 1)), None)
    });
    assert_eq!(off, on);
}

/// Returns how many of 1,000 requests for the hot key are admitted, by the position of their path. One
/// request arrives each 5 ms.
fn admitted(router: &mut Router, share: f32, paths: &[&str]) -> Vec<u32> {
    let mut admitted = vec![0; paths.len()];
    for step in 0..1_000_u64 {
        let now = at(step * 5);
        router.set_key_limits(now, service("keyed"), vec![KeyLimit { key: HOT_KEY, share }]);
        let position = step as usize % paths.len();
        let mut request = admit(router, now, paths[position], Some(HOT_KEY));
        let decision = router.pick_server(now, &mut request);
        admitted[position] += u32::from(matches!(decision, RoutingDecision::Send(_)));
    }
    admitted
}

/// Guards against the random draw, by which all routers together admit more than the owner can run.
#[test]
fn the_share_of_a_limited_key_is_exact() {
    let admitted = admitted(&mut ranked_router(true), 0.2, &["/keyed/x"]);
    assert!((199..=201).contains(&admitted[0]), "{admitted:?}");
}

/// Guards against less urgent requests that use up the share of a limited key.
#[test]
fn urgent_requests_for_a_limited_key_come_first() {
    let admitted = admitted(&mut ranked_router(true), 0.5, &["/keyed/urgent/x", "/keyed/x"]);
    assert!(admitted[0] > 420 && admitted[1] > 50, "{admitted:?}");
    assert!((495..=505).contains(&(admitted[0] + admitted[1])), "{admitted:?}");
}

fn levels(sequence: u64, shares: &[(u8, f32)]) -> OverloadLevels {
    let shares = shares.iter().map(|(rank, share)| RankShare { rank: *rank, share: *share });
    let level = ServiceLevel { service: service("pool"), shares: shares.collect() };
    OverloadLevels { term: Term(1), sequence, valid_ms: 1_000, services: vec![level] }
}

/// Returns how many of 100 requests are refused at a time, and checks how.
fn refused(router: &mut Router, now: u64, path: &str) -> u32 {
    let mut refused = 0;
    for _ in 0..100 {
        let mut request = admit(router, at(now), path, None);
        let left = request.time_left(at(now));
        match router.pick_server(at(now), &mut request) {
            RoutingDecision::Refuse(ErrorKind::ServiceOverloaded, Some(after)) => {
                assert!(after >= left.mul_f64(0.149) && after <= left.mul_f64(0.301), "{after:?}");
                refused += 1;
            }
            decision => assert!(matches!(decision, RoutingDecision::Send(_)), "{decision:?}"),
        }
    }
    refused
}

/// Guards against shares that are applied to the wrong rank, in the wrong order, or for ever.
#[test]
fn shares_of_the_granter_are_applied_until_they_expire() {
    let mut router = ranked_router(true);
    assert_eq!(refused(&mut router, 0, "/pool/x") + refused(&mut router, 0, "/once/x"), 0);
    assert!(router.apply_overload_levels(at(10), &levels(2, &[(0, 1.0), (2, 0.25)])));
    assert!(!router.apply_overload_levels(at(10), &levels(1, &[])), "older levels arrive late");
    assert_eq!(refused(&mut router, 500, "/pool/x"), 0);
    assert!((74..=76).contains(&refused(&mut router, 500, "/once/x")));
    // Without news of the granter, its own counts show no shortage.
    for now in (1_050..5_000).step_by(300) {
        refused(&mut router, now, "/pool/x");
        refused(&mut router, now, "/once/x");
        router.drain_overload_report(at(now));
    }
    assert_eq!(refused(&mut router, 5_000, "/once/x"), 0);
    let mut off = ranked_router(false);
    assert!(!off.apply_overload_levels(at(10), &levels(2, &[(2, 0.0)])));
    assert_eq!(refused(&mut off, 500, "/once/x"), 0);
}

/// Guards against a less urgent request, with an objective of 2 s, that makes the queue of a server so
/// long that no urgent one is admitted there.
#[test]
fn a_less_urgent_request_does_not_delay_urgent_ones() {
    for (with_urgent, expected) in [(false, 0), (true, 1)] {
        let mut router = ranked_router(true);
        if with_urgent {
            admit_and_pick(&mut router, "/pool/x");
        }
        for _ in 0..8 {
            // Each server is sent 16 requests, so that one more would take 50 ms x 4.25.
            while let RoutingDecision::Send(selected) = admit_and_pick(&mut router, "/once/x") {
                if selected.expected_ms > 210.0 {
                    break;
                }
                let mut request = admit(&mut router, at(0), "/once/x", None);
                router.record_sent(at(0), &selected, &mut request);
            }
        }
        let refused = router.overload_refusals().get(&(RefusalReason::Urgent, 2)).copied();
        assert_eq!(u64::min(refused.unwrap_or_default(), 1), expected);
    }
}

fn admit_and_pick(router: &mut Router, path: &str) -> RoutingDecision {
    let mut request = admit(router, at(0), path, None);
    router.pick_server(at(0), &mut request)
}

/// Guards against reports of routers without overload control, and of services with one rank, which
/// would cost bytes for nothing.
#[test]
fn a_router_reports_only_services_at_which_ranks_meet() {
    let mut router = ranked_router(true);
    refused(&mut router, 0, "/pool/x");
    assert_eq!(router.drain_overload_report(at(300)), None);
    refused(&mut router, 310, "/once/x");
    let report = router.drain_overload_report(at(600)).unwrap();
    assert_eq!(report.services.len(), 1);
    assert_eq!(report.services[0].ranks[1].offered, 100);
    let bytes = postcard::to_stdvec(&PeerMessage::OverloadReport(report)).unwrap();
    assert!(bytes.len() < 48, "{} bytes", bytes.len());
    let mut off = ranked_router(false);
    refused(&mut off, 0, "/pool/x");
    refused(&mut off, 0, "/once/x");
    assert_eq!(off.drain_overload_report(at(300)), None);
}
