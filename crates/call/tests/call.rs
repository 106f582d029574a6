//! The state machine of a single request.

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
fn a_non_idempotent_request_starts_no_second_attempt_while_the_first_may_have_run() {
    let now = Time::ZERO;
    let mut call = call(false);
    let first = call.start_attempt(now, target(1)).unwrap();
    assert_eq!(call.start_attempt(now, target(2)), None, "while the first is live");
    assert!(call.may_send(now, first));
    let failure = AttemptFailure::Silent;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: true });
    assert_eq!(decision.step, Step::Refuse(ErrorKind::ConnectionLost));
    assert_eq!(call.start_attempt(now, target(2)), None, "after the first may have run");
}

#[test]
fn may_send_is_false_at_the_deadline() {
    let mut call = call(true);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    assert!(!call.may_send(Time::from_millis(100), first));
    assert!(!call.may_have_run());
}

#[test]
fn a_cancelled_attempt_may_have_run_only_if_it_was_sent() {
    for sent in [false, true] {
        let mut call = call(false);
        let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
        if sent {
            call.may_send(Time::ZERO, first);
        }
        assert!(call.cancel_next_attempt().is_some());
        assert_eq!(call.may_have_run(), sent);
        assert!(!call.may_send(Time::ZERO, first), "a cancelled attempt must not be sent");
        let kind = call.resolve_error_kind(ErrorKind::GateOverloaded);
        let expected = if sent { ErrorKind::DeadlineUnknown } else { ErrorKind::GateOverloaded };
        assert_eq!(kind, expected);
    }
}

#[test]
fn an_unsent_attempt_is_retried_whatever_failure_is_reported() {
    let mut call = call(false);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    let failure = AttemptFailure::Lost;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: true });
    let reason = RetryReason::Failed(AttemptFailure::NotConnected);
    assert_eq!(decision.step, Step::Retry(reason));
}

#[test]
fn a_request_that_is_not_replayable_is_not_retried() {
    let mut call = call(true);
    let first = call.start_attempt(Time::ZERO, target(1)).unwrap();
    call.may_send(Time::ZERO, first);
    let failure = AttemptFailure::Lost;
    let decision = call.handle_event(Event::Failed { attempt: first, failure, replayable: false });
    assert_eq!(decision.step, Step::Refuse(ErrorKind::ConnectionLost));
}
