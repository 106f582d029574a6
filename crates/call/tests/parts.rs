//! Claims, quarantine and hot keys in bounded memory.

use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{
    ClaimTable, Claimant, Fingerprint, HotKeys, LossVerdict, Quarantine, SuspicionState,
};
use bay_time::Time;
use bay_types::{HostName, KeyHash, NodeId, ServiceName};
use bay_wire::ClaimVerdict;

fn fingerprint(digest: u64) -> Fingerprint {
    Fingerprint { service: ServiceName::new("jobs").unwrap(), digest }
}

fn target(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn node(number: u32) -> NodeId {
    NodeId::of(HostName::new(&format!("entry-{number}")).unwrap())
}

#[test]
fn copies_of_a_frequent_request_lost_at_two_targets_at_once_are_not_quarantined() {
    let now = Time::from_millis(50);
    for frequent in [false, true] {
        let mut quarantine = Quarantine::default();
        if frequent {
            quarantine.record_completion(now, fingerprint(1));
        }
        let first = quarantine.record_loss(now, fingerprint(1), target(1), false);
        assert_eq!(first, LossVerdict::Suspected);
        let second = quarantine.record_loss(now, fingerprint(1), target(2), false);
        let expected = if frequent { LossVerdict::Unchanged } else { LossVerdict::Quarantined };
        assert_eq!(second, expected);
    }
}

#[test]
fn what_a_banned_request_explains_brings_no_other_under_suspicion() {
    let now = Time::from_millis(50);
    let mut quarantine = Quarantine::default();
    quarantine.record_loss(now, fingerprint(1), target(1), false);
    quarantine.record_loss(now, fingerprint(2), target(1), false);
    quarantine.record_loss(now, fingerprint(3), target(2), false);
    assert_eq!(
        quarantine.record_loss(now, fingerprint(1), target(2), true),
        LossVerdict::Quarantined
    );
    quarantine.record_loss(now, fingerprint(4), target(2), false);
    for neighbour in [2, 3, 4] {
        assert_eq!(quarantine.suspicion_state(now, fingerprint(neighbour)), SuspicionState::Clear);
    }
}

#[test]
fn the_quarantine_is_bounded() {
    let mut quarantine = Quarantine::default();
    for digest in 0..5_000 {
        let now = Time::from_millis(digest);
        quarantine.record_loss(now, fingerprint(digest), target(digest as u8), false);
        quarantine.record_remote_quarantine(
            now,
            fingerprint(10_000 + digest),
            Quarantine::DURATION,
        );
        quarantine.record_remote_run(now, fingerprint(digest), target(digest as u8));
    }
    assert!(quarantine.len() <= 2 * Quarantine::MAX_ENTRIES);
}

#[test]
fn claims_are_bounded_and_run_out() {
    let mut claims = ClaimTable::default();
    let hold = Duration::from_secs(1);
    for digest in 0..70_000 {
        let by = Claimant { gate: node(1), call: digest };
        claims.claim(Time::ZERO, digest, by, hold);
    }
    assert_eq!(claims.len(), ClaimTable::MAX_CLAIMS);
    let by = Claimant { gate: node(1), call: 1 };
    let refused = claims.claim(Time::ZERO, 1 << 40, by, hold);
    assert_ne!(refused, ClaimVerdict::Granted);
    assert_eq!(claims.claim(Time::from_millis(1_000), 1 << 40, by, hold), ClaimVerdict::Granted);
    assert_eq!(claims.len(), 1);
}

#[test]
fn one_gate_s_loss_or_arrival_leaves_a_home_of_each_key() {
    for digest in 0..500 {
        let all = ClaimTable::homes(digest, (0..9).map(node));
        for lost in 0..9 {
            let left = ClaimTable::homes(digest, (0..9).filter(|n| *n != lost).map(node));
            assert!(left.iter().any(|home| all.contains(home)));
        }
    }
}

#[test]
fn hot_keys_are_bounded_and_forgotten() {
    let mut keys = HotKeys::new(Time::ZERO, 1);
    for step in 0..100_000_u64 {
        let key = if step % 2 == 0 { KeyHash(7) } else { KeyHash(step) };
        keys.record(Time::from_nanos(step * 50_000), key);
    }
    let rates = keys.rates(Time::from_millis(5_000)).to_vec();
    assert!(rates.len() <= HotKeys::MAX_REPORTED);
    assert_eq!(rates[0].key, KeyHash(7));
    assert!((8_000.0..12_000.0).contains(&rates[0].rate), "{rates:?}");
    let total = keys.total_rate(Time::from_millis(5_000));
    assert!((18_000.0..22_000.0).contains(&total), "{total}");
    assert!(keys.rates(Time::from_millis(11_000)).is_empty());
}
