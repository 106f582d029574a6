//! Deadlines, retries, hedges and answers.

use std::time::Duration;

use bay_call::{Action, AttemptFailure, Event, NotRunReason};
use bay_conf::Method;
use bay_types::ErrorKind;
use test_case::test_case;

use crate::support::{GateHarness, Head};

const MS: Duration = Duration::from_millis(1);

#[test_case(Method::Post, AttemptFailure::Lost, Some(ErrorKind::ConnectionLost); "a lost post is refused as unknown")]
#[test_case(Method::Post, AttemptFailure::Silent, Some(ErrorKind::ConnectionLost); "a post that timed out is refused as unknown")]
#[test_case(Method::Post, AttemptFailure::NotConnected, None; "an unsent post is retried")]
#[test_case(Method::Get, AttemptFailure::Lost, None; "a lost get is retried")]
#[test_case(Method::Get, AttemptFailure::BadAnswer, None; "a get with a bad answer is retried")]
fn a_failed_attempt_is_retried_only_if_the_request_may_run_again(
    method: Method,
    failure: AttemptFailure,
    refused: Option<ErrorKind>,
) {
    let mut harness = GateHarness::with_service("pooled", 3);
    let call = harness.begin(&Head::new(method, "/"));
    let first = harness.expect_attempt();
    if failure != AttemptFailure::NotConnected {
        assert!(harness.may_send(first));
    }
    harness.fail(first, failure);
    assert_eq!(harness.refusal(call), refused);
    if refused.is_none() {
        harness.advance(MS * 20);
        assert_ne!(harness.expect_attempt().to, first.to);
    }
}

#[test]
fn a_request_that_may_have_run_is_never_answered_not_run() {
    let mut harness = GateHarness::with_service("pooled", 3);
    let call = harness.get("/");
    let first = harness.expect_attempt();
    harness.may_send(first);
    harness.fail(first, AttemptFailure::Lost);
    harness.advance(MS * 20);
    let second = harness.expect_attempt();
    harness.may_send(second);
    harness.answer(second, Some(NotRunReason::Shed));
    let third = harness.expect_attempt();
    harness.advance(MS * 2_000);
    assert_eq!(harness.refusal(call), Some(ErrorKind::ConnectionLost));
    assert!(!harness.may_send(third), "an attempt must not be sent after the answer");
}

#[test_case("50", 50; "the caller's deadline")]
#[test_case("60000", 2_000; "capped by the document's timeout")]
fn a_deadline_is_sent_to_the_target_and_enforced(millis: &str, expected: u64) {
    let mut harness = GateHarness::with_service("pooled", 3);
    let call = harness.begin(&Head::new(Method::Post, "/").with_header("bay-deadline-ms", millis));
    let Some(Action::StartAttempt { time_left, .. }) = harness.out.last() else {
        panic!("{:?}", harness.out);
    };
    assert_eq!(*time_left, MS * expected as u32);
    let sent = harness.expect_attempt();
    harness.may_send(sent);
    harness.advance(MS * (expected as u32 - 1));
    assert_eq!(harness.refusal(call), None);
    harness.advance(MS);
    assert_eq!(harness.refusal(call), Some(ErrorKind::DeadlineUnknown));
    assert!(harness.out.contains(&Action::CancelAttempt { call, attempt: sent.attempt }));
}

#[test_case("0", ErrorKind::DeadlineTooShort)]
#[test_case("soon", ErrorKind::BadRequest)]
fn an_invalid_deadline_is_refused(millis: &str, kind: ErrorKind) {
    let mut harness = GateHarness::with_service("pooled", 3);
    let call = harness.begin(&Head::new(Method::Get, "/").with_header("bay-deadline-ms", millis));
    assert_eq!(harness.refusal(call), Some(kind));
}

#[test]
fn no_attempt_starts_if_less_time_is_left_than_the_minimum_latency() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.get("/");
    let sent = harness.expect_attempt();
    harness.may_send(sent);
    harness.advance(MS * 40);
    harness.complete(sent);
    let call = harness.begin(&Head::new(Method::Get, "/").with_header("bay-deadline-ms", "20"));
    assert_eq!(harness.refusal(call), Some(ErrorKind::DeadlineTooShort));
    assert!(harness.drain_attempts().is_empty());
}

#[test]
fn a_caller_disconnect_cancels_every_attempt() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.warm_up();
    let call = harness.get("/");
    harness.advance(MS * 500);
    let attempts = harness.drain_attempts();
    assert_eq!(attempts.len(), 2, "expected a hedge of the slow attempt");
    attempts.iter().for_each(|sent| assert!(harness.may_send(*sent)));
    harness.event(call, Event::CallerGone);
    for sent in attempts {
        assert!(harness.out.contains(&Action::CancelAttempt { call, attempt: sent.attempt }));
        assert!(!harness.may_send(sent));
    }
    assert_eq!(harness.gate.in_flight(), 0);
}

#[test]
fn a_hedge_runs_at_another_target_and_the_slower_attempt_is_cancelled() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.warm_up();
    let call = harness.get("/");
    harness.advance(MS * 500);
    let attempts = harness.drain_attempts();
    assert_ne!(attempts[0].to, attempts[1].to);
    attempts.iter().for_each(|sent| assert!(harness.may_send(*sent)));
    harness.answer(attempts[1], None);
    let forward = Action::Forward { call, attempt: attempts[1].attempt };
    assert_eq!(
        harness.out,
        [forward, Action::CancelAttempt { call, attempt: attempts[0].attempt }]
    );
    harness.answer(attempts[0], None);
    harness.event(call, Event::Completed { attempt: attempts[0].attempt });
    assert_eq!(harness.gate.in_flight(), 1, "the late answer must not end the request");
    harness.event(call, Event::Completed { attempt: attempts[1].attempt });
    assert_eq!(harness.gate.in_flight(), 0);
    assert_eq!(harness.drain_count("hedge.won"), 1);
}

#[test]
fn non_idempotent_requests_are_not_hedged() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.warm_up();
    let call = harness.post("/");
    harness.advance(MS * 1_500);
    assert_eq!(harness.drain_attempts().len(), 1);
    assert_eq!(harness.refusal(call), None);
}

#[test]
fn an_answer_that_breaks_off_aborts_the_connection_to_the_caller() {
    let mut harness = GateHarness::with_service("pooled", 3);
    let call = harness.get("/");
    let sent = harness.expect_attempt();
    harness.may_send(sent);
    harness.answer(sent, None);
    harness.fail(sent, AttemptFailure::Cut);
    assert_eq!(harness.out.last(), Some(&Action::Abort { call }));
}

#[test]
fn a_request_body_that_fails_after_sending_is_refused_as_unknown() {
    for (sends, kind) in [(false, ErrorKind::BodyTooLarge), (true, ErrorKind::RequestCut)] {
        let mut harness = GateHarness::with_service("pooled", 3);
        let call = harness.post("/");
        let sent = harness.expect_attempt();
        if sends {
            harness.may_send(sent);
        }
        harness.event(call, Event::CallerFailed { kind: ErrorKind::BodyTooLarge });
        assert_eq!(harness.refusal(call), Some(kind));
        assert!(!harness.may_send(sent));
    }
}

#[test]
fn retries_are_denied_when_the_retry_budget_is_spent() {
    let mut harness = GateHarness::with_service("pooled", 3);
    let mut denied = 0;
    for _ in 0..100 {
        let call = harness.get("/");
        while let Some(sent) = harness.drain_attempts().pop() {
            harness.may_send(sent);
            harness.answer(sent, Some(NotRunReason::Shed));
        }
        denied += u32::from(harness.refusal(call) == Some(ErrorKind::ServiceOverloaded));
    }
    let mut counts = Vec::new();
    harness.gate.drain_counts(&mut counts);
    let total = |name: &str| {
        counts.iter().find(|count| count.name.as_str() == name).map_or(0, |count| count.count)
    };
    // The document allows one retry per request; the budget starts with a small reserve.
    assert!(total("attempt.started") <= 215, "{}", total("attempt.started"));
    assert!(denied > 0 && total("retry.denied") > 0);
    assert!(total("retry.shed") > 0);
}
