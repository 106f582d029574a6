//! The state of one request by itself.

use std::net::SocketAddr;

use bay_call::{AttemptFailure, Call, Event, RetryReason, Step};
use bay_time::Time;
use bay_types::ErrorKind;

fn target(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn call(idempotent: bool) -> Call {
    Call::new(idempotent, Time::from_millis(100))
}

#[test]
fn a_second_attempt_never_starts_beside_or_after_one_that_may_have_run() {
    let now = Time::ZERO;
    let mut call = call(false);
    let first = call.start_attempt(now, target(1)).unwrap();
    assert_eq!(call.start_attempt(now, target(2)), None, "beside the first");
    assert!(call.may_send(now, first));
    let failure = AttemptFailure::Silent;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: true });
    assert_eq!(decision.step, Step::Refuse(ErrorKind::ConnectionLost));
    assert_eq!(call.start_attempt(now, target(2)), None, "after the first");
}

#[test]
fn nothing_is_sent_at_or_after_the_deadline() {
    let mut call = call(true);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    assert!(!call.may_send(Time::from_millis(100), first));
    assert!(!call.may_have_run());
}

#[test]
fn a_cancelled_attempt_that_was_sent_may_have_run() {
    for sent in [false, true] {
        let mut call = call(false);
        let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
        if sent {
            call.may_send(Time::ZERO, first);
        }
        assert!(call.cancel_next_attempt().is_some());
        assert_eq!(call.may_have_run(), sent);
        assert!(!call.may_send(Time::ZERO, first), "sent after it was cancelled");
        let kind = call.resolve_error_kind(ErrorKind::GateOverloaded);
        let expected = if sent { ErrorKind::DeadlineUnknown } else { ErrorKind::GateOverloaded };
        assert_eq!(kind, expected);
    }
}

#[test]
fn an_attempt_that_was_not_sent_did_not_run_however_it_failed() {
    let mut call = call(false);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    let failure = AttemptFailure::Lost;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: true });
    let reason = RetryReason::Failed(AttemptFailure::NotConnected);
    assert_eq!(decision.step, Step::Retry(reason));
}

#[test]
fn a_request_whose_body_is_gone_is_not_sent_again() {
    let mut call = call(true);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    call.may_send(Time::ZERO, first);
    let failure = AttemptFailure::Lost;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: false });
    assert_eq!(decision.step, Step::Refuse(ErrorKind::ConnectionLost));
}
