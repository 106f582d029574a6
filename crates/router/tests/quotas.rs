//! Quotas of client accounts.

use std::sync::Arc;
use std::time::Duration;

use bay_account::{AccountSpec, AccountTable, ApiKey, QuotaSpec};
use bay_router::{
    Config, PlatformBounds, QuotaBounds, RequestFields, RequestState, Router, RoutingDecision,
};
use bay_types::{AccountName, ErrorKind};

mod support;
use support::{at, config, router, settings};

const BOUNDS: QuotaBounds =
    QuotaBounds { window: Duration::from_secs(5), overshoot: 0.1, slack: 0.0 };

fn with_quota(version: u64, rate: f64) -> Config {
    let spec = AccountSpec {
        name: AccountName::new("a").unwrap(),
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
