//! The rate limit of the log and the quantiles of latencies.

use std::time::Duration;

use bay_obs::{LatencyHistograms, LogRateLimiter};
use bay_time::Time;

#[test]
fn lines_beyond_the_limit_are_dropped_and_counted() {
    let mut limiter = LogRateLimiter::new(Time::ZERO);
    let mut written = 0;
    for millis in 0..10_000 {
        written += u32::from(limiter.admit(Time::from_millis(millis), false));
    }
    assert!(written <= 2_400, "{written} lines in ten seconds");
    assert_eq!(limiter.take_dropped_count(), Some(u64::from(10_000 - written)));
    assert_eq!(limiter.take_dropped_count(), None);
}

#[test]
fn warnings_are_written_while_other_lines_are_dropped() {
    let mut limiter = LogRateLimiter::new(Time::ZERO);
    while limiter.admit(Time::ZERO, false) {}
    assert!(limiter.admit(Time::ZERO, true));
}

#[test]
fn latencies_are_reported_by_quantile() {
    let mut latencies = LatencyHistograms::default();
    for millis in 1..=100 {
        latencies.record("request.x", Duration::from_millis(millis));
    }
    latencies.record("request.x", Duration::from_secs(10_000));
    let values = latencies.values();
    let value = |name: &str| values.iter().find(|(each, _)| each == name).map(|(_, value)| *value);
    assert_eq!(value("request.x.count"), Some(101));
    assert!(value("request.x.p50_ms").is_some_and(|median| (49..=52).contains(&median)));
    assert!(value("request.x.max_ms") >= Some(100_000));
}
