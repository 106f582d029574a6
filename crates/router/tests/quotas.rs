//! Quotas of client accounts.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bay_account::{AccountSpec, AccountTable, ApiKey, QuotaSpec};
use bay_router::{
    AttemptResult, Config, PlatformBounds, QuotaBounds, RequestFields, RequestState, Router,
    RoutingDecision,
};
use bay_types::{AccountName, ErrorKind, HostName};

mod support;
use support::{at, config, picked, router, settings};

const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(5), overshoot: 0.1, slack: 0.0 };

fn with_quota(version: u64, rate: f64) -> Config {
    let spec = AccountSpec {
        name: AccountName::new("a").unwrap(),
        identifier: "a".to_owned(),
        keys: vec![ApiKey::new(b"k")],
        rank: None,
        quota: Some(QuotaSpec { rate, burst: 0.0 }),
    };
    let mut config = config(version);
    config.accounts = Some(Arc::new(AccountTable::new(&[spec]).unwrap()));
    config
}

fn pick(router: &mut Router, millis: u64) -> (RequestState, RoutingDecision) {
    let fields = RequestFields { api_key: Some(ApiKey::new(b"k")), ..RequestFields::default() };
    let mut request = router.admit(at(millis), "shop", "/pool/", &fields).unwrap();
    let decision = router.pick_server(at(millis), &mut request);
    (request, decision)
}

fn is_over_quota(decision: &RoutingDecision) -> bool {
    matches!(decision, RoutingDecision::Refuse(ErrorKind::QuotaExceeded, Some(_)))
}

/// Guards against decisions that change although the platform sets no bounds on quotas.
#[test]
fn without_bounds_quotas_have_no_effect() {
    let mut with = router(1, 4, 0);
    let mut without = router(1, 4, 0);
    assert!(with.apply_config(with_quota(2, 1.0)));
    let mut unlimited = with_quota(2, 1.0);
    let specs: Vec<AccountSpec> = unlimited
        .accounts
        .iter()
        .flat_map(|table| table.iter())
        .map(|spec| AccountSpec { quota: None, ..AccountSpec::clone(spec) })
        .collect();
    unlimited.accounts = Some(Arc::new(AccountTable::new(&specs).unwrap()));
    assert!(without.apply_config(unlimited));
    for millis in 0..100 {
        assert_eq!(pick(&mut with, millis).1, pick(&mut without, millis).1);
    }
    assert!(!with.has_quotas());
    assert!(with.drain_account_usage(at(200), 1).is_none());
}

/// Guards against requests that count twice, or that count although they have not run.
#[test]
fn a_request_counts_once_and_is_refunded_if_it_has_not_run() {
    let mut router = router(1, 4, 0);
    assert!(router.apply_config(with_quota(2, 20.0)));
    assert!(router.set_bounds(PlatformBounds { quota: Some(BOUNDS), ..settings("edge-1").bounds }));
    let mut picked: Vec<(RequestState, RoutingDecision)> =
        (0..60).map(|_| pick(&mut router, 0)).collect();
    let refused = picked.iter().filter(|(_, decision)| is_over_quota(decision)).count();
    assert!((1..60).contains(&refused), "{refused}");
    let RoutingDecision::Refuse(_, Some(wait)) = picked[59].1 else {
        panic!("{:?}", picked[59].1);
    };
    assert!(wait <= Duration::from_millis(600), "{wait:?}");
    let first = &mut picked[0].0;
    // A second attempt does not count.
    assert!(!is_over_quota(&router.pick_server(at(1), first)));
    router.refund_quota(at(2), first, ErrorKind::ConnectionLost);
    assert!(is_over_quota(&pick(&mut router, 2).1));
    router.refund_quota(at(2), first, ErrorKind::ServiceOverloaded);
    assert!(!is_over_quota(&pick(&mut router, 2).1));
    assert!(is_over_quota(&pick(&mut router, 2).1));
    // A higher limit takes effect at once.
    assert!(router.apply_config(with_quota(3, 40.0)));
    assert!(!is_over_quota(&pick(&mut router, 3).1));
}

fn enforcing(rate: f64) -> Router {
    let mut router = router(1, 4, 0);
    assert!(router.apply_config(with_quota(2, rate)));
    assert!(router.set_bounds(PlatformBounds { quota: Some(BOUNDS), ..settings("edge-1").bounds }));
    router
}

/// Guards against callers that are refused at the same moment and told to return at the same moment.
#[test]
fn refused_callers_return_at_different_times_within_the_bound() {
    let mut router = enforcing(20.0);
    let refused = (0..200).filter_map(|_| match pick(&mut router, 0).1 {
        RoutingDecision::Refuse(ErrorKind::QuotaExceeded, after) => after,
        _ => None,
    });
    let waits: BTreeSet<Duration> = refused.collect();
    assert!(waits.len() > 50, "{} different times", waits.len());
    assert!(waits.last().is_some_and(|wait| *wait <= Duration::from_millis(600)), "{waits:?}");
}

/// Guards against a quota that takes effect between two attempts and reports a request that may have
/// run as not run.
#[test]
fn a_request_that_was_sent_before_the_quota_is_not_refused_for_it() {
    let mut router = router(1, 4, 0);
    assert!(router.apply_config(with_quota(2, 1.0)));
    let (mut request, decision) = pick(&mut router, 0);
    let server = picked(decision);
    router.record_sent(at(0), &server, &mut request);
    let lost = AttemptResult::Lost(ErrorKind::ConnectionLost);
    router.handle_result(at(5), &mut request, &server, lost, Duration::from_millis(5));
    assert!(router.set_bounds(PlatformBounds { quota: Some(BOUNDS), ..settings("edge-1").bounds }));
    while !is_over_quota(&pick(&mut router, 10).1) {}
    let decision = router.pick_server(at(10), &mut request);
    assert!(!is_over_quota(&decision), "{decision:?}");
}

/// Guards against a fleet that starts, or a router cut off after its start, in which each router takes
/// itself for one of three.
#[test]
fn a_router_without_shares_divides_the_limit_among_the_registered_routers() {
    let mut router = enforcing(200.0);
    let hosts = (0..74).map(|index| HostName::new(&format!("edge-{index}")).unwrap()).collect();
    router.set_hosts(at(0), hosts, 1);
    let admitted = (0..200).filter(|_| !is_over_quota(&pick(&mut router, 0).1)).count();
    assert!(admitted <= 1_100 / 74, "{admitted}");
}

/// Guards against an account that may use the larger limit of another one with the same id.
#[test]
fn accounts_with_the_same_id_have_the_lower_limit() {
    // Found by search: the names have the same 32-bit hash.
    let specs = ["account-7852", "account-12856"].map(|name| AccountSpec {
        name: AccountName::new(name).unwrap(),
        identifier: name.to_owned(),
        keys: vec![ApiKey::new(name.as_bytes())],
        rank: None,
        quota: Some(QuotaSpec {
            rate: if name == "account-7852" { 1.0 } else { 100.0 },
            burst: 0.0,
        }),
    });
    let mut config = config(2);
    config.accounts = Some(Arc::new(AccountTable::new(&specs).unwrap()));
    let mut router = enforcing(1.0);
    config.version = 3;
    assert!(router.apply_config(config));
    let (_, limits) = router.quota_limits().unwrap();
    assert_eq!(limits.len(), 1);
    assert!(limits[0].1.requests < 10.0, "{limits:?}");
}

/// Guards against the use of an account forgotten because a configuration in between has no quotas.
#[test]
fn a_configuration_without_quotas_does_not_reset_the_use() {
    let mut router = enforcing(20.0);
    while !is_over_quota(&pick(&mut router, 0).1) {}
    assert!(router.apply_config(config(3)));
    assert!(!router.has_quotas() && router.quota_state(at(5)).is_none());
    assert!(router.drain_account_usage(at(5), 1).is_none());
    assert!(router.apply_config(with_quota(4, 20.0)));
    assert!(is_over_quota(&pick(&mut router, 10).1));
}
