//! Proofs of a configuration's age.

use std::time::Duration;

use bay_account::Freshness;
use bay_time::Time;

const BOUND: Duration = Duration::from_secs(5);

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against keys that are used for longer than a clock that runs 5% slow allows, and against
/// refusals while they are still safe.
#[test]
fn a_proof_holds_up_to_the_share_of_the_bound() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_proven(at(10_000), BOUND), "a new process has no proof");
    freshness.record_read(at(10_000));
    assert!(freshness.is_proven(at(14_750), BOUND));
    assert!(!freshness.is_proven(at(14_751), BOUND));
    freshness.record_read(at(9_000));
    assert_eq!(
        freshness.age(at(10_500)),
        Some(ms(500)),
        "an older read does not replace a newer one"
    );
}

/// Guards against an answer that counts from its arrival instead of the request.
#[test]
fn the_time_between_request_and_answer_counts_as_age() {
    let mut freshness = Freshness::default();
    freshness.record_request(at(20_000));
    assert!(freshness.record_vouch(at(20_000), ms(1_500), 3, 3));
    assert_eq!(freshness.age(at(21_000)), Some(ms(2_500)));
    assert!(!freshness.needs_own_read(at(20_800), BOUND));
    assert!(freshness.needs_own_read(at(20_900), BOUND));
}

/// Guards against a proof of a version that this router does not have.
#[test]
fn an_answer_for_a_newer_version_proves_nothing() {
    let mut freshness = Freshness::default();
    freshness.record_request(at(20_000));
    assert!(!freshness.record_vouch(at(20_000), ms(0), 4, 3));
    assert_eq!(freshness.age(at(20_000)), None);
    assert!(
        freshness.record_vouch(at(20_000), ms(0), 4, 5),
        "the newer one includes the older one"
    );
}

/// Guards against answers to an earlier process, duplicates, and times before the clock's origin, which
/// would be cut to a later time.
#[test]
fn an_answer_counts_only_for_a_request_of_this_process() {
    let mut freshness = Freshness::default();
    assert!(!freshness.record_vouch(at(20_000), ms(0), 3, 3));
    freshness.record_request(at(2_000));
    assert!(!freshness.record_vouch(at(2_000), ms(2_001), 3, 3));
    assert!(freshness.record_vouch(at(2_000), ms(100), 3, 3));
    assert!(!freshness.record_vouch(at(2_000), ms(0), 3, 3), "a duplicate");
    (0..100).for_each(|index| freshness.record_request(at(3_000 + index)));
    assert!(!freshness.record_vouch(at(3_000), ms(0), 3, 3), "given up");
    assert!(freshness.record_vouch(at(3_099), ms(0), 3, 3));
}
