//! Decisions of one router and one granter.

use std::collections::BTreeSet;
use std::time::Duration;

use bay_quota::{
    AccountId, AccountShare, AccountUsage, LocalQuota, QuotaLedger, QuotaLimit, QuotaShares,
    UsageEntry,
};
use bay_time::Time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const WINDOW: Duration = Duration::from_secs(5);
const ACCOUNT: AccountId = AccountId(7);

fn at(millis: u64) -> Time {
    Time::from_millis(100_000 + millis)
}

fn limit(rate: f64) -> QuotaLimit {
    QuotaLimit::new(rate, rate, WINDOW, 0.1, 20.0).unwrap()
}

fn router(rate: f64, routers: u32) -> LocalQuota {
    let mut quota = LocalQuota::new(1, 1, WINDOW, routers);
    quota.set_limits([(ACCOUNT, limit(rate))]);
    quota
}

fn shares(sequence: u32, share: Option<f64>) -> QuotaShares {
    let entry = |part: f64| AccountShare {
        account: ACCOUNT,
        share: (part * f64::from(AccountShare::ALL)) as u16,
        used: 100,
    };
    let entries = share.map(entry).into_iter().collect();
    QuotaShares { term: 1, sequence, routers: 784, valid_ms: 600, entries }
}

/// Guards against shares that are applied at random.
#[test]
fn a_share_is_applied_exactly() {
    let mut quota = router(1_000_000.0, 1);
    assert!(quota.apply_shares(at(0), &shares(1, Some(0.25))));
    assert!(!quota.apply_shares(at(0), &shares(1, None)));
    let admitted = (0..400).filter(|_| quota.admit(at(1), ACCOUNT).is_ok()).count();
    assert!((99..=101).contains(&admitted), "{admitted}");
}

/// Guards against routers without a granter that together exceed the limit.
#[test]
fn without_shares_the_sum_of_all_routers_is_within_the_limit() {
    let limit = limit(20.0);
    let routers = (0..74).map(|router| {
        let mut quota = LocalQuota::new(router, 1, WINDOW, 74);
        quota.set_limits([(ACCOUNT, limit)]);
        (0..1_000).filter(|_| quota.admit(at(0), ACCOUNT).is_ok()).count()
    });
    assert!((routers.sum::<usize>() as f64) < limit.bound);
}

/// Guards against requests refused in a calm fleet that starts, before its first shares.
#[test]
fn a_fleet_that_starts_may_use_most_of_the_limit() {
    let limit = limit(20.0);
    let routers = (0..74).map(|router| {
        let mut quota = LocalQuota::new(router, 1, WINDOW, 74);
        quota.set_limits([(ACCOUNT, limit)]);
        (0..1_000).filter(|_| quota.admit(at(0), ACCOUNT).is_ok()).count()
    });
    assert!(routers.sum::<usize>() as f64 > limit.requests * 0.7);
}

/// Guards against quota that is lost to requests that have not run.
#[test]
fn a_refunded_request_makes_room_for_another() {
    let mut quota = router(1.0, 1);
    let mut admitted = 0;
    while quota.admit(at(0), ACCOUNT).is_ok() {
        admitted += 1;
    }
    assert!(admitted > 0);
    let wait = quota.admit(at(0), ACCOUNT).unwrap_err();
    assert!(wait > Duration::from_secs(2) && wait < Duration::from_secs(8), "{wait:?}");
    quota.refund(at(10), ACCOUNT, at(0));
    assert_eq!(quota.admit(at(20), ACCOUNT), Ok(()));
    assert!(quota.admit(at(20), ACCOUNT).is_err());
    let usage = quota.drain_usage(at(30), 1);
    assert_eq!((usage.entries[0].admitted, usage.entries[0].refused), (admitted, 3));
    assert_eq!(quota.admit(at(5_200), ACCOUNT), Ok(()));
}

/// Guards against a new granter that grants shares before it knows the use of the last window.
#[test]
fn a_new_granter_waits_for_the_reports_of_the_window() {
    let mut ledger = QuotaLedger::new(at(0), 3, WINDOW);
    ledger.set_limits([(ACCOUNT, limit(20.0))]);
    ledger.set_routers(at(0), &BTreeSet::from([1, 2]));
    let mut first = router(20.0, 2);
    let mut used = 0;
    while first.admit(at(0), ACCOUNT).is_ok() {
        used += 1;
    }
    ledger.record_usage(at(100), &first.drain_usage(at(100), 3));
    assert!(ledger.shares(at(100)).is_none());
    let other = AccountUsage { router: 2, incarnation: 1, term: 3, sent_ms: 1, entries: vec![] };
    ledger.record_usage(at(100), &AccountUsage { term: 2, ..other.clone() });
    assert!(ledger.shares(at(100)).is_none());
    ledger.record_usage(at(100), &other);
    // A report that arrives twice counts once.
    ledger.record_usage(at(150), &first.drain_usage(at(100), 3));
    let shares = ledger.shares(at(150)).unwrap();
    assert!(shares.entries.is_empty() || shares.entries[0].used >= used);
}

/// Reports at the design size: 784 routers, 10,000 accounts and 1.6 M requests/s.
#[test]
fn reports_at_the_design_size_stay_within_the_budget() {
    let accounts: Vec<AccountId> =
        (0..10_000).map(|index| AccountId::new(&format!("account-{index}"))).collect();
    let mut quota = LocalQuota::new(1, 1, WINDOW, 784);
    quota.set_limits(accounts.iter().map(|id| (*id, limit(256.0))));
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut bytes, mut refused) = (0, 0);
    for report in 0..20 {
        assert!(quota.apply_shares(at(report * 300), &shares(report as u32 + 1, None)));
        for _ in 0..612 {
            let account = accounts[rng.random_range(0..accounts.len())];
            refused += u32::from(quota.admit(at(report * 300), account).is_err());
        }
        let usage = quota.drain_usage(at(report * 300), 1);
        assert!(usage.entries.len() <= LocalQuota::MAX_ENTRIES);
        bytes += postcard::to_stdvec(&usage).unwrap().len() + 1;
    }
    let per_second = bytes as f64 / 6.0;
    let entries =
        accounts[..100].iter().map(|id| AccountShare { account: *id, share: 9, used: 1_500 });
    let shares = QuotaShares { entries: entries.collect(), ..shares(1, None) };
    println!(
        "bytes of shares for 100 accounts: {}",
        postcard::to_stdvec(&shares).unwrap().len() + 1
    );
    println!("report bytes/s at a router: {per_second:.0}, refused {refused} of 12,240");
    assert!(per_second < 6_000.0, "{per_second}");
    assert!(refused < 122, "{refused}");
}

/// Guards against entries of which the history makes the regular reports long.
#[test]
fn only_the_first_reports_of_a_term_have_a_history() {
    let mut quota = router(1_000.0, 1);
    let mut entry = |millis, term| -> Option<UsageEntry> {
        assert!(quota.admit(at(millis), ACCOUNT).is_ok());
        quota.drain_usage(at(millis), term).entries.pop()
    };
    let lengths = [(0, 1), (300, 1), (600, 1), (900, 2)]
        .map(|(millis, term)| entry(millis, term).unwrap().history.iter().sum::<u32>());
    assert_eq!(lengths, [1, 2, 0, 4]);
}

/// Guards against the use of a router counted again with each report because the router is not
/// registered yet.
#[test]
fn the_use_of_a_router_that_is_not_registered_counts_once() {
    let mut ledger = QuotaLedger::new(at(0), 1, WINDOW);
    ledger.set_limits([(ACCOUNT, limit(20.0))]);
    let mut quota = router(20.0, 1);
    for report in 0..12 {
        assert!(quota.admit(at(report * 300), ACCOUNT).is_ok());
        ledger.record_usage(at(report * 300), &quota.drain_usage(at(report * 300), 1));
        ledger.set_routers(at(report * 300), &BTreeSet::new());
    }
    assert_eq!(ledger.shares(at(3_600)).unwrap().entries, []);
}

/// Guards against the use of an account forgotten by routers and granter when a configuration leaves the
/// account out and the next one has it again.
#[test]
fn an_account_that_returns_keeps_its_use() {
    let mut quota = router(20.0, 1);
    let mut ledger = QuotaLedger::new(at(0), 1, WINDOW);
    ledger.set_limits([(ACCOUNT, limit(20.0))]);
    ledger.set_routers(at(0), &BTreeSet::from([1]));
    let first = (0..1_000).filter(|_| quota.admit(at(0), ACCOUNT).is_ok()).count();
    assert!(first > 0);
    ledger.record_usage(at(100), &quota.drain_usage(at(100), 1));
    quota.set_limits([]);
    ledger.set_limits([]);
    quota.set_limits([(ACCOUNT, limit(20.0))]);
    ledger.set_limits([(ACCOUNT, limit(20.0))]);
    assert!(quota.admit(at(300), ACCOUNT).is_err());
    ledger.record_usage(at(300), &quota.drain_usage(at(300), 1));
    let shares = ledger.shares(at(300)).unwrap();
    let is_known = shares.entries.first().is_some_and(|entry| entry.used as usize >= first);
    assert!(is_known, "{shares:?}, {first} admitted");
}

/// Guards against totals that start again in the same process and are taken for refunds, which would
/// leave the granter with less than no use.
#[test]
fn totals_that_start_again_are_no_refunds() {
    let mut ledger = QuotaLedger::new(at(0), 1, WINDOW);
    ledger.set_limits([(ACCOUNT, limit(20.0))]);
    ledger.set_routers(at(0), &BTreeSet::from([1]));
    let mut report = |millis, admitted, in_window| {
        let entry =
            UsageEntry { account: ACCOUNT, admitted, refused: 0, in_window, history: vec![] };
        let entries = vec![entry];
        let sent_ms = millis;
        let usage = AccountUsage { router: 1, incarnation: 1, term: 1, sent_ms, entries };
        ledger.record_usage(at(millis), &usage);
    };
    report(100, 5_000, 10);
    report(20_000, 100, 100);
    let shares = ledger.shares(at(20_000)).unwrap();
    assert!(shares.entries.first().is_some_and(|entry| entry.used >= 100), "{shares:?}");
}

/// Guards against a refund of a request that these counts do not hold, which would make room for one
/// above the limit.
#[test]
fn a_refund_of_a_request_that_was_not_counted_makes_no_room() {
    let (mut quota, mut other) = (router(20.0, 1), router(20.0, 1));
    (0..50).for_each(|_| other.refund(at(10), ACCOUNT, at(0)));
    let room = (0..1_000).filter(|_| quota.admit(at(20), ACCOUNT).is_ok()).count();
    let after = (0..1_000).filter(|_| other.admit(at(20), ACCOUNT).is_ok()).count();
    assert_eq!(after, room);
    assert_eq!(other.drain_usage(at(30), 1).entries[0].admitted as usize, room);
}
