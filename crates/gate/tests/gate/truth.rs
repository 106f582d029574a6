//! Property tests of outcomes under arbitrary orders of events.

use std::collections::HashMap;
use std::time::Duration;

use crate::support::{GateHarness, Head, Sent, address, document, service};
use bay_call::{Action, AttemptFailure, CallId, Event, NotRunReason};
use bay_conf::Method;
use bay_time::Time;
use bay_types::{ErrorKind, Outcome, Token};
use bay_wire::ItemKey;
use proptest::prelude::*;

/// An operation on the model; indices select an attempt, counted back from the latest.
#[derive(Debug, Clone, Copy)]
enum Operation {
    Begin { idempotent: bool, copy: Option<u8> },
    Send(usize),
    Run(usize),
    Reject(usize),
    Answer(usize),
    Complete(usize),
    Fail(usize, u8, bool),
    CallerGone(usize),
    CallerFailed(usize),
    Advance(u16),
    ReplaceDocument,
    SetOwner(Option<u8>),
    SetZone(u8, bool),
}

fn operation() -> impl Strategy<Value = Operation> {
    let pick = 0..8_usize;
    prop_oneof![
        4 => (any::<bool>(), prop::option::of(0..3_u8))
            .prop_map(|(idempotent, copy)| Operation::Begin { idempotent, copy }),
        6 => pick.clone().prop_map(Operation::Send),
        5 => pick.clone().prop_map(Operation::Run),
        2 => pick.clone().prop_map(Operation::Reject),
        3 => pick.clone().prop_map(Operation::Answer),
        2 => pick.clone().prop_map(Operation::Complete),
        4 => (pick.clone(), 0..5_u8, any::<bool>())
            .prop_map(|(n, how, r)| Operation::Fail(n, how, r)),
        1 => pick.clone().prop_map(Operation::CallerGone),
        1 => pick.prop_map(Operation::CallerFailed),
        4 => (1..1_500_u16).prop_map(Operation::Advance),
        1 => Just(Operation::ReplaceDocument),
        2 => prop::option::of(1..4_u8).prop_map(Operation::SetOwner),
        1 => (1..4_u8, any::<bool>()).prop_map(|(zone, out)| Operation::SetZone(zone, out)),
    ]
}

/// The state of an attempt at its target.
#[derive(Debug, Clone, Copy)]
struct AttemptState {
    sent: Sent,
    on_wire: bool,
    ran: bool,
    rejected: bool,
    completed: bool,
}

/// The request timeout in the document.
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct CallState {
    deadline: Time,
    idempotent: bool,
    copy: Option<u8>,
    runs: u32,
    ended: bool,
    said_not_run: bool,
}

struct Model {
    kind: &'static str,
    /// The server that owns all slices of a keyed service, if any.
    owner: Option<u8>,
    token: u64,
    harness: GateHarness,
    attempts: Vec<AttemptState>,
    calls: HashMap<CallId, CallState>,
}

impl Model {
    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Begin { idempotent, copy } => self.begin(idempotent, copy),
            Operation::Send(n) => self.with_attempt(n, |harness, attempt_state| {
                attempt_state.on_wire =
                    attempt_state.on_wire || harness.may_send(attempt_state.sent);
            }),
            Operation::Run(n) => self.run(n),
            Operation::Reject(n) => self.with_attempt(n, |harness, attempt_state| {
                let keyed = attempt_state.sent.token.is_some();
                let reason = if keyed { NotRunReason::NotOwner } else { NotRunReason::Shed };
                if attempt_state.on_wire && !attempt_state.ran {
                    attempt_state.rejected = true;
                    harness.answer(attempt_state.sent, Some(reason));
                }
            }),
            Operation::Answer(n) => self.with_attempt(n, |harness, attempt_state| {
                if attempt_state.ran {
                    harness.answer(attempt_state.sent, None);
                }
            }),
            Operation::Complete(n) => self.with_attempt(n, |harness, attempt_state| {
                attempt_state.completed |= attempt_state.ran;
                harness.event(
                    attempt_state.sent.call,
                    Event::Completed { attempt: attempt_state.sent.attempt },
                );
            }),
            Operation::Fail(n, how, replayable) => {
                self.with_attempt(n, |harness, attempt_state| {
                    let failure = failure(how, attempt_state.on_wire);
                    let attempt = attempt_state.sent.attempt;
                    harness.event(
                        attempt_state.sent.call,
                        Event::Failed { attempt, failure, replayable },
                    );
                })
            }
            Operation::CallerGone(n) => {
                self.with_attempt(n, |harness, attempt_state| {
                    harness.event(attempt_state.sent.call, Event::CallerGone)
                });
            }
            Operation::CallerFailed(n) => self.with_attempt(n, |harness, attempt_state| {
                let kind = ErrorKind::BodyTooLarge;
                harness.event(attempt_state.sent.call, Event::CallerFailed { kind });
            }),
            Operation::Advance(millis) => {
                self.harness.advance(Duration::from_millis(millis.into()))
            }
            Operation::ReplaceDocument => {
                let text = document(self.kind, 3).into_bytes();
                self.harness.apply(ItemKey::Document(service()), text);
            }
            Operation::SetOwner(owner) => {
                self.token += 1;
                self.owner = owner;
                self.harness.assign_slices(owner, self.token);
            }
            Operation::SetZone(zone, out) => {
                self.harness.set_zone(zone, if out { "out" } else { "in" });
            }
        }
        self.check_actions();
    }

    fn begin(&mut self, idempotent: bool, copy: Option<u8>) {
        let method = if idempotent { Method::Get } else { Method::Post };
        let mut head = Head::new(method, "/jobs/1");
        if let Some(copy) = copy {
            head = head.with_header("idempotency-key", &copy.to_string());
        }
        let id = self.harness.begin(&head);
        let deadline = self.harness.now + TIMEOUT;
        let copy = copy.filter(|_| !idempotent);
        let state =
            CallState { deadline, idempotent, copy, runs: 0, ended: false, said_not_run: false };
        self.calls.insert(id, state);
    }

    /// Runs the request at the target, whatever the gate has decided since it was sent.
    fn run(&mut self, n: usize) {
        let Some(index) = self.attempts.len().checked_sub(1 + n) else {
            return;
        };
        let attempt_state = &mut self.attempts[index];
        if !attempt_state.on_wire || attempt_state.ran || attempt_state.rejected {
            return;
        }
        attempt_state.ran = true;
        let call = attempt_state.sent.call;
        let state = self.calls.get_mut(&call).unwrap();
        state.runs += 1;
        assert!(!state.said_not_run, "ran after it was answered not-run");
        assert!(state.idempotent || state.runs == 1, "a non-idempotent request ran twice");
    }

    /// Checks that no other copy of a request may be running when one is sent.
    fn check_copies(&self, call: CallId) {
        let Some(copy) = self.calls.get(&call).and_then(|state| state.copy) else {
            return;
        };
        for attempt_state in
            self.attempts.iter().filter(|attempt_state| attempt_state.sent.call != call)
        {
            let other = &self.calls[&attempt_state.sent.call];
            let open = attempt_state.on_wire && !attempt_state.rejected && !attempt_state.completed;
            let overlaps = other.copy == Some(copy) && open && self.harness.now < other.deadline;
            assert!(!overlaps, "a copy was sent while another may run");
        }
    }

    fn with_attempt<F>(&mut self, n: usize, f: F)
    where
        F: FnOnce(&mut GateHarness, &mut AttemptState),
    {
        if let Some(index) = self.attempts.len().checked_sub(1 + n) {
            f(&mut self.harness, &mut self.attempts[index]);
        }
    }

    fn check_actions(&mut self) {
        for action in std::mem::take(&mut self.harness.out) {
            match action {
                Action::Refuse { call, kind, .. } => {
                    let state = self.calls.get_mut(&call).unwrap();
                    assert!(!state.ended, "answered twice");
                    state.ended = true;
                    state.said_not_run = kind.outcome() == Outcome::NotRun;
                    assert!(
                        !state.said_not_run || state.runs == 0,
                        "{kind} answered although it ran"
                    );
                }
                Action::Forward { call, attempt } => {
                    let state = self.calls.get_mut(&call).unwrap();
                    assert!(!state.ended, "answered twice");
                    state.ended = true;
                    let ran = |attempt_state: &&AttemptState| {
                        attempt_state.sent.call == call && attempt_state.ran
                    };
                    assert!(self.attempts.iter().filter(ran).any(|f| f.sent.attempt == attempt));
                }
                action @ Action::StartAttempt { .. } => {
                    let sent = crate::support::sent(action).unwrap();
                    assert!(!self.calls.get(&sent.call).is_some_and(|state| state.ended));
                    self.check_copies(sent.call);
                    if sent.token.is_some() {
                        assert_eq!(
                            Some(sent.to),
                            self.owner.map(address),
                            "sent to a server that is not the owner"
                        );
                        assert_eq!(sent.token, Some(Token(self.token)));
                    }
                    self.attempts.push(AttemptState {
                        sent,
                        on_wire: false,
                        ran: false,
                        rejected: false,
                        completed: false,
                    });
                }
                _ => {}
            }
        }
    }
}

fn failure(how: u8, on_wire: bool) -> AttemptFailure {
    match how {
        // A shell that reports wrongly that nothing was sent must not lead to the answer not-run.
        0 => AttemptFailure::NotConnected,
        _ if !on_wire => AttemptFailure::NotConnected,
        1 => AttemptFailure::Lost,
        2 => AttemptFailure::Silent,
        3 => AttemptFailure::BadAnswer,
        _ => AttemptFailure::Cut,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn not_run_is_answered_only_if_nothing_ran_and_non_idempotent_requests_run_at_most_once(
        keyed: bool,
        operations in prop::collection::vec(operation(), 1..60),
    ) {
        let kind = if keyed { "keyed" } else { "pooled" };
        let mut model = Model {
            kind,
            owner: None,
            token: 0,
            harness: GateHarness::with_service(kind, 3),
            attempts: Vec::new(),
            calls: HashMap::new(),
        };
        model.apply(Operation::SetOwner(Some(1)));
        for operation in operations {
            model.apply(operation);
        }
        // Sent attempts still run late, and every request ends.
        for n in 0..model.attempts.len() {
            model.apply(Operation::Run(n));
        }
        model.apply(Operation::Advance(5_000));
        prop_assert_eq!(model.harness.gate.in_flight(), 0);
        for n in 0..model.attempts.len() {
            model.apply(Operation::Run(n));
        }
    }
}
