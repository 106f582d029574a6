//! Requests of client accounts.

use std::sync::Arc;

use bay_account::{AccountSpec, AccountTable, ApiKey};
use bay_router::{Config, RequestFields, RouteKind, Router};
use bay_types::{AccountName, ErrorKind};

mod support;
use support::{at, config, route, router};

fn accounts(version: u64, accounts: &[(&str, &str, Option<u32>)]) -> Config {
    let spec = |(name, key, rank): &(&str, &str, Option<u32>)| AccountSpec {
        name: AccountName::new(name).unwrap(),
        identifier: (*name).to_owned(),
        keys: vec![ApiKey::new(key.as_bytes())],
        rank: *rank,
        quota: None,
    };
    let specs: Vec<AccountSpec> = accounts.iter().map(spec).collect();
    let mut config = config(version);
    let mut open = route("shop", "/open/", RouteKind::Idempotent, &[("pool", 1)]);
    open.key_exempt = true;
    config.routes.push(open);
    config.accounts = Some(Arc::new(AccountTable::new(&specs).unwrap()));
    config
}

fn admit(router: &mut Router, path: &str, key: Option<&str>) -> Result<String, ErrorKind> {
    let api_key = key.map(|key| ApiKey::new(key.as_bytes()));
    let fields = RequestFields { api_key, ..RequestFields::default() };
    let request = router.admit(at(0), "shop", path, &fields)?;
    Ok(request.account.map_or_else(String::new, |(account, _)| account.name.to_string()))
}

/// Guards against requests that run without an account, or on behalf of another one.
#[test]
fn a_request_runs_on_behalf_of_the_account_that_holds_its_key() {
    let mut router = router(1, 0, 0);
    assert!(router.apply_config(accounts(2, &[("a", "k1", None), ("b", "k2", None)])));
    assert_eq!(admit(&mut router, "/pool/", Some("k2")), Ok("b".to_owned()));
    assert_eq!(admit(&mut router, "/pool/", Some("k3")), Err(ErrorKind::UnknownApiKey));
    assert_eq!(admit(&mut router, "/pool/", None), Err(ErrorKind::UnknownApiKey));
    assert_eq!(admit(&mut router, "/open/", None), Ok(String::new()));
    assert_eq!(admit(&mut router, "/none/", Some("k3")), Err(ErrorKind::NoRoute));
    assert!(router.apply_config(accounts(3, &[("a", "k2", None), ("b", "k1", None)])));
    assert_eq!(admit(&mut router, "/pool/", Some("k2")), Ok("a".to_owned()));
}

/// Guards against keys that are demanded where the configuration has no accounts.
#[test]
fn without_accounts_a_key_has_no_effect() {
    let mut router = router(1, 0, 0);
    assert_eq!(admit(&mut router, "/pool/", None), Ok(String::new()));
    assert_eq!(admit(&mut router, "/pool/", Some("k1")), Ok(String::new()));
}

#[test]
fn the_rank_of_an_account_takes_precedence_over_that_of_the_route() {
    let mut router = router(1, 0, 0);
    assert!(router.apply_config(accounts(2, &[("a", "k1", Some(0)), ("b", "k2", None)])));
    let mut rank = |key: &str| {
        let api_key = Some(ApiKey::new(key.as_bytes()));
        let fields = RequestFields { api_key, ..RequestFields::default() };
        router.admit(at(0), "shop", "/pool/", &fields).unwrap().rank()
    };
    assert_eq!((rank("k1"), rank("k2")), (0, 1));
}
