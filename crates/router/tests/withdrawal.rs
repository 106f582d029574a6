//! A withdrawn API key is used for a bounded time, whatever a router can reach.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bay_account::{AccountSpec, AccountTable, ApiKey};
use bay_router::{
    AttemptResult, Config, RequestFields, RequestState, RetryDecision, RouteKind, Router,
    RouterSettings, RoutingDecision, Vouch,
};
use bay_time::Time;
use bay_types::{AccountName, ErrorKind};
use test_case::test_case;

mod support;
use support::{at, config, picked, route, router, settings};

const KEY_WITHDRAWAL: Duration = Duration::from_secs(5);

/// A configuration with one account, `a`, that holds these keys.
fn accounts(version: u64, keys: &[&str]) -> Config {
    named_account(version, "a", keys)
}

fn named_account(version: u64, name: &str, keys: &[&str]) -> Config {
    let spec = AccountSpec {
        name: AccountName::new(name).unwrap(),
        identifier: name.to_owned(),
        keys: keys.iter().map(|key| ApiKey::new(key.as_bytes())).collect(),
        rank: None,
        quota: None,
    };
    let mut config = config(version);
    let mut open = route("shop", "/open/", RouteKind::Idempotent, &[("pool", 1)]);
    open.key_exempt = true;
    config.routes.push(open);
    config.accounts = Some(Arc::new(AccountTable::new(&[spec]).unwrap()));
    config
}

fn bounded(bound: Option<Duration>) -> RouterSettings {
    let mut settings = settings("h1");
    settings.bounds.key_withdrawal = bound;
    settings
}

/// A router with the key `k` and a bound, whose configuration was the newest at 10 s if it `has_proof`.
fn keyed_router(has_proof: bool) -> Router {
    let mut router = router(2, 0, 0);
    router.set_bounds(bounded(Some(KEY_WITHDRAWAL)).bounds);
    assert!(router.apply_config(accounts(2, &["k"])));
    if has_proof {
        router.record_config_read(at(10_000));
    }
    router
}

fn admit(router: &mut Router, now: Time, path: &str) -> Result<RequestState, ErrorKind> {
    let api_key = Some(ApiKey::new(b"k"));
    router.admit(now, "shop", path, &RequestFields { api_key, ..RequestFields::default() })
}

/// Guards against keys that a router uses although it is cut off or was suspended: the clock runs on in
/// both cases. Routes without keys are served, and requests are not refused while they are safe.
#[test]
fn a_router_without_a_recent_proof_refuses_keys_only() {
    let mut router = keyed_router(true);
    assert!(admit(&mut router, at(14_750), "/pool/").is_ok());
    assert_eq!(admit(&mut router, at(14_751), "/pool/").unwrap_err(), ErrorKind::KeysOutdated);
    assert!(admit(&mut router, at(14_751), "/open/").is_ok());
    let none = RequestFields::default();
    let missing = router.admit(at(14_751), "shop", "/pool/", &none).unwrap_err();
    assert_eq!(missing, ErrorKind::UnknownApiKey);
    router.record_config_read(at(14_800));
    assert!(admit(&mut router, at(15_000), "/pool/").is_ok());
}

/// Guards against keys of a stale list that a process has read at its start.
#[test]
fn a_router_that_has_just_started_refuses_keys_until_a_proof() {
    let mut router = keyed_router(false);
    assert!(router.awaits_first_key_proof());
    assert_eq!(admit(&mut router, at(100), "/pool/").unwrap_err(), ErrorKind::KeysOutdated);
    assert!(router.needs_config_read(at(100)));
    let stamp = router.request_vouch(at(200));
    assert!(!router.record_vouch(&Vouch { stamp, config_version: 3, age_ms: 20 }), "older here");
    assert!(router.record_vouch(&Vouch { stamp, config_version: 2, age_ms: 20 }));
    assert!(!router.awaits_first_key_proof());
    assert!(admit(&mut router, at(300), "/pool/").is_ok());
}

/// Guards against a further attempt on behalf of an account that lost the key, and against one that
/// reports as not run what may have run.
#[test_case(AttemptResult::Answered { status: 503, not_run: true }, ErrorKind::UnknownApiKey; "not run")]
#[test_case(AttemptResult::Lost(ErrorKind::ConnectionLost), ErrorKind::ConnectionLost; "may have run")]
fn a_request_is_not_retried_after_its_key_was_withdrawn(result: AttemptResult, error: ErrorKind) {
    let mut router = keyed_router(true);
    let mut request = admit(&mut router, at(10_000), "/pool/").unwrap();
    let server = picked(router.pick_server(at(10_000), &mut request));
    router.record_sent(at(10_000), &server, &mut request);
    assert!(router.apply_config(accounts(3, &["other"])));
    let elapsed = Duration::from_millis(5);
    let decision = router.handle_result(at(10_005), &mut request, &server, result, elapsed);
    assert_eq!(decision, RetryDecision::Retry);
    let decision = router.pick_server(at(10_010), &mut request);
    assert_eq!(decision, RoutingDecision::Refuse(error, None));
}

/// Guards against a request that waits for the owner of its key while its API key is withdrawn, moves to
/// another account, or is no longer proved.
#[test_case(Some(accounts(3, &["other"])), 10_015, ErrorKind::UnknownApiKey; "withdrawn")]
#[test_case(Some(named_account(3, "b", &["k"])), 10_015, ErrorKind::UnknownApiKey; "of another account")]
#[test_case(None, 14_760, ErrorKind::KeysOutdated; "without a proof")]
fn a_request_that_waits_for_an_owner_is_checked_again(
    config: Option<Config>,
    millis: u64,
    error: ErrorKind,
) {
    let mut router = keyed_router(true);
    let fields = RequestFields {
        api_key: Some(ApiKey::new(b"k")),
        key: Some(7),
        ..RequestFields::default()
    };
    let arrived_at = at(millis) - Duration::from_millis(15);
    let mut request = router.admit(arrived_at, "shop", "/keyed/", &fields).unwrap();
    let decision = router.pick_server(arrived_at, &mut request);
    assert!(matches!(decision, RoutingDecision::Wait(_)), "{decision:?}");
    if let Some(config) = config {
        assert!(router.apply_config(config));
    }
    let decision = router.pick_server(at(millis), &mut request);
    let RoutingDecision::Refuse(kind, after) = decision else {
        panic!("{decision:?}");
    };
    assert_eq!((kind, after.is_some()), (error, error.has_retry_after()));
}

/// Guards against a granter that lags, or answers late: each hop adds its time, and the router reads the
/// store itself before its keys go out of use.
#[test]
fn the_ages_of_all_hops_add_up() {
    let mut granter = keyed_router(true);
    let (mut relay, mut last) = (keyed_router(false), keyed_router(false));
    // The relay's clock is 50 s ahead, the last router's 5 s behind that of the granter.
    let stamp = relay.request_vouch(at(60_500));
    let vouch = granter.vouch(at(11_500), stamp).unwrap();
    assert!(relay.record_vouch(&vouch), "the answer was delayed by a second");
    assert_eq!(relay.key_proof_age(at(61_500)), Some(Duration::from_millis(2_500)));
    assert!(relay.needs_config_read(at(61_500)));
    let stamp = last.request_vouch(at(7_000));
    assert!(last.record_vouch(&relay.vouch(at(62_200), stamp).unwrap()));
    assert!(admit(&mut last, at(8_500), "/pool/").is_ok());
    assert_eq!(admit(&mut last, at(8_600), "/pool/").unwrap_err(), ErrorKind::KeysOutdated);
    granter.record_config_read(at(16_000));
    assert!(granter.vouch(at(20_751), 1).is_none(), "a router without a proof vouches for nothing");
}

/// Guards against an older build beside this one, which answers nothing: the router has to read the
/// store, and its reads alone are enough.
#[test]
fn a_router_that_nobody_vouches_for_reads_the_store() {
    let mut router = keyed_router(true);
    router.request_vouch(at(10_500));
    for millis in (11_000..40_000).step_by(1_000) {
        assert!(
            router.needs_config_read(at(millis)),
            "watches go on although the last one is recent"
        );
        router.record_config_read(at(millis - 500));
        assert!(admit(&mut router, at(millis), "/pool/").is_ok());
    }
    let stamp = router.request_vouch(at(40_000));
    assert!(router.record_vouch(&Vouch { stamp, config_version: 2, age_ms: 900 }));
    assert!(!router.needs_config_read(at(41_000)), "no reads while another router vouches");
}

/// Guards against an effect on deployments without the bound.
#[test]
fn without_the_bound_nothing_is_checked() {
    let mut router = keyed_router(false);
    router.set_bounds(bounded(None).bounds);
    let mut request = admit(&mut router, at(99_000), "/pool/").unwrap();
    assert!(router.apply_config(accounts(3, &["other"])));
    assert!(matches!(router.pick_server(at(99_000), &mut request), RoutingDecision::Send(_)));
    assert!(!router.needs_config_read(at(99_000)) && !router.awaits_first_key_proof());
    assert_eq!((router.vouch(at(99_000), 1), router.max_config_watch()), (None, None));
}

/// Guards against callers that are told to return after their time has run out, or all together.
#[test]
fn callers_refused_without_a_proof_return_in_time_and_spread() {
    let mut router = keyed_router(false);
    let mut waits = |deadline: Option<u64>| -> Vec<Duration> {
        let deadline = deadline.map(Duration::from_millis);
        (0..50).map(|_| router.keys_outdated_retry_after("shop", "/pool/", deadline)).collect()
    };
    // The route's timeout is 2 s.
    for (deadline, max) in [(None, 600), (Some(500), 150), (Some(60_000), 600)] {
        let waits = waits(deadline);
        assert!(waits.iter().all(|wait| *wait <= Duration::from_millis(max)), "{waits:?}");
        assert!(waits.iter().collect::<BTreeSet<_>>().len() > 40, "{waits:?}");
    }
}
