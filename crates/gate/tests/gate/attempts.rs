//! Deadlines, retries, hedges and answers.

use std::time::Duration;

use bay_call::{Action, AttemptFailure, Event, NotRunReason};
use bay_conf::Method;
use bay_types::ErrorKind;
use test_case::test_case;

use crate::support::{Bed, Head};

const MS: Duration = Duration::from_millis(1);

#[test_case(Method::Post, AttemptFailure::Lost, Some(ErrorKind::ConnectionLost); "a post that was lost is unknown")]
#[test_case(Method::Post, AttemptFailure::Silent, Some(ErrorKind::ConnectionLost); "a post gone silent is unknown")]
#[test_case(Method::Post, AttemptFailure::NotConnected, None; "a post that was not sent goes on")]
#[test_case(Method::Get, AttemptFailure::Lost, None; "a get that was lost goes on")]
#[test_case(Method::Get, AttemptFailure::BadAnswer, None; "a get with a crossed answer goes on")]
fn failures(method: Method, failure: AttemptFailure, refused: Option<ErrorKind>) {
    let mut bed = Bed::with("pooled", 3);
    let call = bed.begin(&Head::new(method, "/"));
    let first = bed.attempt();
    if failure != AttemptFailure::NotConnected {
        assert!(bed.may_send(first));
    }
    bed.fail(first, failure);
    assert_eq!(bed.refusal(call), refused);
    if refused.is_none() {
        bed.pass(MS * 20);
        assert_ne!(bed.attempt().to, first.to);
    }
}

#[test]
fn once_it_may_have_run_no_later_answer_says_not_run() {
    let mut bed = Bed::with("pooled", 3);
    let call = bed.get("/");
    let first = bed.attempt();
    bed.may_send(first);
    bed.fail(first, AttemptFailure::Lost);
    bed.pass(MS * 20);
    let second = bed.attempt();
    bed.may_send(second);
    bed.answer(second, Some(NotRunReason::Shed));
    let third = bed.attempt();
    bed.pass(MS * 2_000);
    assert_eq!(bed.refusal(call), Some(ErrorKind::ConnectionLost));
    assert!(!bed.may_send(third), "sent after the answer");
}

#[test_case("50", 50; "the caller's deadline")]
#[test_case("60000", 2_000; "capped by the document's timeout")]
fn a_deadline_is_passed_on_and_kept(millis: &str, expected: u64) {
    let mut bed = Bed::with("pooled", 3);
    let call = bed.begin(&Head::new(Method::Post, "/").with("bay-deadline-ms", millis));
    let Some(Action::StartAttempt { time_left, .. }) = bed.out.last() else {
        panic!("{:?}", bed.out);
    };
    assert_eq!(*time_left, MS * expected as u32);
    let sent = bed.attempt();
    bed.may_send(sent);
    bed.pass(MS * (expected as u32 - 1));
    assert_eq!(bed.refusal(call), None);
    bed.pass(MS);
    assert_eq!(bed.refusal(call), Some(ErrorKind::DeadlineUnknown));
    assert!(bed.out.contains(&Action::CancelAttempt { call, attempt: sent.attempt }));
}

#[test_case("0", ErrorKind::DeadlineTooShort)]
#[test_case("soon", ErrorKind::BadRequest)]
fn a_bad_deadline_is_refused(millis: &str, kind: ErrorKind) {
    let mut bed = Bed::with("pooled", 3);
    let call = bed.begin(&Head::new(Method::Get, "/").with("bay-deadline-ms", millis));
    assert_eq!(bed.refusal(call), Some(kind));
}

#[test]
fn no_attempt_starts_that_cannot_end_in_time() {
    let mut bed = Bed::with("pooled", 3);
    bed.get("/");
    let sent = bed.attempt();
    bed.may_send(sent);
    bed.pass(MS * 40);
    bed.complete(sent);
    let call = bed.begin(&Head::new(Method::Get, "/").with("bay-deadline-ms", "20"));
    assert_eq!(bed.refusal(call), Some(ErrorKind::DeadlineTooShort));
    assert!(bed.attempts().is_empty());
}

#[test]
fn a_caller_that_hangs_up_cancels_every_attempt() {
    let mut bed = Bed::with("pooled", 3);
    bed.warm_up();
    let call = bed.get("/");
    bed.pass(MS * 500);
    let attempts = bed.attempts();
    assert_eq!(attempts.len(), 2, "a slow attempt is hedged");
    attempts.iter().for_each(|sent| assert!(bed.may_send(*sent)));
    bed.event(call, Event::CallerGone);
    for sent in attempts {
        assert!(bed.out.contains(&Action::CancelAttempt { call, attempt: sent.attempt }));
        assert!(!bed.may_send(sent));
    }
    assert_eq!(bed.gate.in_flight(), 0);
}

#[test]
fn a_hedge_runs_elsewhere_and_the_loser_is_cancelled() {
    let mut bed = Bed::with("pooled", 3);
    bed.warm_up();
    let call = bed.get("/");
    bed.pass(MS * 500);
    let attempts = bed.attempts();
    assert_ne!(attempts[0].to, attempts[1].to);
    attempts.iter().for_each(|sent| assert!(bed.may_send(*sent)));
    bed.answer(attempts[1], None);
    let forward = Action::Forward { call, attempt: attempts[1].attempt };
    assert_eq!(bed.out, [forward, Action::CancelAttempt { call, attempt: attempts[0].attempt }]);
    bed.answer(attempts[0], None);
    bed.event(call, Event::Completed { attempt: attempts[0].attempt });
    assert_eq!(bed.gate.in_flight(), 1, "the late answer ends nothing");
    bed.event(call, Event::Completed { attempt: attempts[1].attempt });
    assert_eq!(bed.gate.in_flight(), 0);
    assert_eq!(bed.count("hedge.won"), 1);
}

#[test]
fn requests_that_may_not_run_twice_are_not_hedged() {
    let mut bed = Bed::with("pooled", 3);
    bed.warm_up();
    let call = bed.post("/");
    bed.pass(MS * 1_500);
    assert_eq!(bed.attempts().len(), 1);
    assert_eq!(bed.refusal(call), None);
}

#[test]
fn an_answer_that_breaks_off_is_not_passed_on_as_whole() {
    let mut bed = Bed::with("pooled", 3);
    let call = bed.get("/");
    let sent = bed.attempt();
    bed.may_send(sent);
    bed.answer(sent, None);
    bed.fail(sent, AttemptFailure::Cut);
    assert_eq!(bed.out.last(), Some(&Action::Abort { call }));
}

#[test]
fn a_body_that_breaks_off_after_it_was_sent_is_unknown() {
    for (sends, kind) in [(false, ErrorKind::BodyTooLarge), (true, ErrorKind::RequestCut)] {
        let mut bed = Bed::with("pooled", 3);
        let call = bed.post("/");
        let sent = bed.attempt();
        if sends {
            bed.may_send(sent);
        }
        bed.event(call, Event::CallerFailed { kind: ErrorKind::BodyTooLarge });
        assert_eq!(bed.refusal(call), Some(kind));
        assert!(!bed.may_send(sent));
    }
}

#[test]
fn retries_stop_when_the_budget_is_spent() {
    let mut bed = Bed::with("pooled", 3);
    let mut denied = 0;
    for _ in 0..100 {
        let call = bed.get("/");
        while let Some(sent) = bed.attempts().pop() {
            bed.may_send(sent);
            bed.answer(sent, Some(NotRunReason::Shed));
        }
        denied += u32::from(bed.refusal(call) == Some(ErrorKind::ServiceOverloaded));
    }
    let mut counts = Vec::new();
    bed.gate.drain_counts(&mut counts);
    let total = |name: &str| {
        counts.iter().find(|count| count.name.as_str() == name).map_or(0, |count| count.count)
    };
    // The document allows one retry for each request, and the pool a few to start with.
    assert!(total("attempt.started") <= 215, "{}", total("attempt.started"));
    assert!(denied > 0 && total("retry.denied") > 0);
    assert!(total("retry.shed") > 0);
}
