//! Tests target selection in a single pool.

use std::net::SocketAddr;
use std::time::Duration;

use bay_load::{PickRequest, PickResult, Pool, PoolConfig, TargetLimits, TargetSpec};
use bay_time::Time;
use bay_types::{ErrorKind, NodeId, ZoneName};

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn pool(targets: u16) -> Pool {
    let limits =
        TargetLimits { slots: 4, connections: 50, cold_slots: 4, warmup: Duration::from_secs(10) };
    let config = PoolConfig {
        node: NodeId(1),
        zone: zone("a"),
        limits,
        retry_budget: 0.1,
        hedge_budget: 0.05,
        seed: 1,
    };
    let specs: Vec<TargetSpec> = (1..=targets)
        .map(|port| TargetSpec { address: address(port), zone: zone("a"), in_service: true })
        .collect();
    let mut pool = Pool::new(config, Time::ZERO);
    pool.set_targets(Time::ZERO, &specs);
    pool
}

#[test]
fn dropping_a_permit_frees_its_slot() {
    let mut pool = pool(1);
    let request = PickRequest::new(Time::from_millis(1_000));
    let permits: Vec<PickResult> = (0..4).map(|_| pool.pick(Time::ZERO, &request)).collect();
    assert!(permits.iter().all(|pick| matches!(pick, PickResult::Granted(_))));
    let PickResult::Queued { ticket, .. } = pool.pick(Time::ZERO, &request) else {
        panic!("a request was let through above the target's slots");
    };
    drop(permits);
    let again = PickRequest { ticket: Some(ticket), ..request };
    assert_eq!(pool.pop_ready(Time::ZERO), Some(ticket));
    assert!(matches!(pool.pick(Time::ZERO, &again), PickResult::Granted(_)));
    assert!(matches!(pool.pick(Time::ZERO, &request), PickResult::Granted(_)));
}

#[test]
fn a_pool_without_targets_refuses_with_no_target() {
    let mut pool = pool(0);
    let pick = pool.pick(Time::ZERO, &PickRequest::new(Time::from_millis(1_000)));
    assert!(matches!(pick, PickResult::Refused { kind: ErrorKind::NoTarget, .. }));
}
