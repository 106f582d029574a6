//! Route lookup, configuration versions and weighted splits.

mod support;

use std::collections::HashMap;

use bay_router::{RequestFields, RouteKind, RouteMap, WeightedSplit};
use bay_types::ErrorKind;
use support::{at, config, route, router, service};

#[test]
fn the_longest_prefix_wins() {
    let mut config = config(1);
    config.routes.push(route("shop", "/pool/deep/", RouteKind::Once, &[("keyed", 1)]));
    let mut routes = RouteMap::new(&config);
    let find =
        |routes: &mut RouteMap, path: &str| routes.find("shop", path).and_then(|(_, name)| name);
    assert_eq!(find(&mut routes, "/pool/deep/x"), Some(service("keyed")));
    assert_eq!(find(&mut routes, "/pool/deeper"), Some(service("pool")));
    assert_eq!(find(&mut routes, "/pool"), None);
    assert!(routes.find("SHOP", "/pool/x").is_some());
    assert!(routes.find("other", "/pool/x").is_none());
}

#[test]
fn a_split_follows_its_weights_in_any_short_run() {
    let mut split =
        WeightedSplit::new(&[(service("x"), 90), (service("y"), 10), (service("z"), 0)]);
    let mut counts: HashMap<_, u32> = HashMap::new();
    for _ in 0..200 {
        *counts.entry(split.next_service().unwrap()).or_default() += 1;
    }
    assert_eq!(counts[&service("x")], 180);
    assert_eq!(counts[&service("y")], 20);
    assert!(!counts.contains_key(&service("z")));
}

#[test]
fn an_older_configuration_is_never_applied() {
    let mut router = router(1, 0, 0);
    let mut newer = config(5);
    newer.routes.remove(0);
    assert!(router.apply_config(newer));
    assert!(!router.apply_config(config(4)));
    assert!(!router.apply_config(config(5)));
    let refused = router.admit(at(1), "shop", "/pool/x", &RequestFields::default());
    assert_eq!(refused.unwrap_err(), ErrorKind::NoRoute);
}

#[test]
fn a_router_without_servers_or_configuration_refuses_as_not_ready() {
    let mut router = bay_router::Router::new(support::settings("h1"), 1);
    let refused = router.admit(at(1), "shop", "/pool/x", &RequestFields::default());
    assert_eq!(refused.unwrap_err(), ErrorKind::NotReady);
}
