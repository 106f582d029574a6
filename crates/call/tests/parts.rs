//! Claim table, quarantine and hot keys: their decisions and their memory bounds.

use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{
    ClaimTable, Claimant, Fingerprint, HotKeys, LossEffect, Quarantine, SuspicionState,
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
fn losses_at_two_targets_at_once_do_not_quarantine_a_request_that_completed_recently() {
    let now = Time::from_millis(50);
    for frequent in [false, true] {
        let mut quarantine = Quarantine::default();
        if frequent {
            quarantine.record_completion(now, fingerprint(1));
        }
        let first = quarantine.record_loss(now, fingerprint(1), target(1), false);
        assert_eq!(first, LossEffect::Suspected);
        let second = quarantine.record_loss(now, fingerprint(1), target(2), false);
        let expected = if frequent { LossEffect::Unchanged } else { LossEffect::Quarantined };
        assert_eq!(second, expected);
    }
}

#[test]
fn requests_lost_in_a_crash_of_a_quarantined_request_are_not_suspects() {
    let now = Time::from_millis(50);
    let mut quarantine = Quarantine::default();
    quarantine.record_loss(now, fingerprint(1), target(1), false);
    quarantine.record_loss(now, fingerprint(2), target(1), false);
    quarantine.record_loss(now, fingerprint(3), target(2), false);
    assert_eq!(
        quarantine.record_loss(now, fingerprint(1), target(2), true),
        LossEffect::Quarantined
    );
    quarantine.record_loss(now, fingerprint(4), target(2), false);
    for harmless in [2, 3, 4] {
        assert_eq!(quarantine.suspicion_state(now, fingerprint(harmless)), SuspicionState::Clear);
    }
}

#[test]
fn the_quarantine_keeps_a_bounded_number_of_fingerprints() {
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
fn the_claim_table_is_bounded_and_claims_expire() {
    let mut claims = ClaimTable::default();
    let hold = Duration::from_secs(1);
    for digest in 0..70_000 {
        let holder = Claimant { gate: node(1), call: digest };
        claims.claim(Time::ZERO, digest, holder, hold);
    }
    assert_eq!(claims.len(), ClaimTable::MAX_CLAIMS);
    let holder = Claimant { gate: node(1), call: 1 };
    let refused = claims.claim(Time::ZERO, 1 << 40, holder, hold);
    assert_ne!(refused, ClaimVerdict::Granted);
    assert_eq!(
        claims.claim(Time::from_millis(1_000), 1 << 40, holder, hold),
        ClaimVerdict::Granted
    );
    assert_eq!(claims.len(), 1);
}

#[test]
fn at_least_one_home_of_each_key_stays_when_a_gate_joins_or_leaves() {
    for digest in 0..500 {
        let all = ClaimTable::homes(digest, (0..9).map(node));
        for lost in 0..9 {
            let left = ClaimTable::homes(digest, (0..9).filter(|n| *n != lost).map(node));
            assert!(left.iter().any(|home| all.contains(home)));
        }
    }
}

#[test]
fn hot_keys_are_bounded_and_expire_after_their_window() {
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
