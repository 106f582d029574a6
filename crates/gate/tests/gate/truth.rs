//! The truth of outcomes over any order of events.

use std::collections::HashMap;
use std::time::Duration;

use crate::support::{Bed, Head, Sent, address, document, service};
use bay_call::{Action, AttemptFailure, CallId, Event, NotRunReason};
use bay_conf::Method;
use bay_time::Time;
use bay_types::{ErrorKind, Outcome, Token};
use bay_wire::ItemKey;
use proptest::prelude::*;

/// One thing that happens; numbers pick among what is there.
#[derive(Debug, Clone, Copy)]
enum Act {
    Begin { idempotent: bool, copy: Option<u8> },
    Send(usize),
    Run(usize),
    RefuseToRun(usize),
    Answer(usize),
    Complete(usize),
    Fail(usize, u8, bool),
    CallerGone(usize),
    CallerFailed(usize),
    Pass(u16),
    Replace,
    Route(Option<u8>),
    Zone(u8, bool),
}

fn act() -> impl Strategy<Value = Act> {
    let pick = 0..8_usize;
    prop_oneof![
        4 => (any::<bool>(), prop::option::of(0..3_u8))
            .prop_map(|(idempotent, copy)| Act::Begin { idempotent, copy }),
        6 => pick.clone().prop_map(Act::Send),
        5 => pick.clone().prop_map(Act::Run),
        2 => pick.clone().prop_map(Act::RefuseToRun),
        3 => pick.clone().prop_map(Act::Answer),
        2 => pick.clone().prop_map(Act::Complete),
        4 => (pick.clone(), 0..5_u8, any::<bool>()).prop_map(|(n, how, r)| Act::Fail(n, how, r)),
        1 => pick.clone().prop_map(Act::CallerGone),
        1 => pick.prop_map(Act::CallerFailed),
        4 => (1..1_500_u16).prop_map(Act::Pass),
        1 => Just(Act::Replace),
        2 => prop::option::of(1..4_u8).prop_map(Act::Route),
        1 => (1..4_u8, any::<bool>()).prop_map(|(zone, out)| Act::Zone(zone, out)),
    ]
}

/// An attempt as its target sees it.
#[derive(Debug, Clone, Copy)]
struct Flight {
    sent: Sent,
    on_wire: bool,
    ran: bool,
    refused: bool,
    completed: bool,
}

/// The document's time for a request.
const TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Seen {
    deadline: Time,
    idempotent: bool,
    copy: Option<u8>,
    runs: u32,
    ended: bool,
    said_not_run: bool,
}

struct Model {
    kind: &'static str,
    /// The owner and the token, for a keyed service.
    owner: Option<u8>,
    token: u64,
    bed: Bed,
    flights: Vec<Flight>,
    calls: HashMap<CallId, Seen>,
}

impl Model {
    fn act(&mut self, act: Act) {
        match act {
            Act::Begin { idempotent, copy } => self.begin(idempotent, copy),
            Act::Send(n) => self.with_flight(n, |bed, flight| {
                flight.on_wire = flight.on_wire || bed.may_send(flight.sent);
            }),
            Act::Run(n) => self.run(n),
            Act::RefuseToRun(n) => self.with_flight(n, |bed, flight| {
                let keyed = flight.sent.token.is_some();
                let reason = if keyed { NotRunReason::NotOwner } else { NotRunReason::Shed };
                if flight.on_wire && !flight.ran {
                    flight.refused = true;
                    bed.answer(flight.sent, Some(reason));
                }
            }),
            Act::Answer(n) => self.with_flight(n, |bed, flight| {
                if flight.ran {
                    bed.answer(flight.sent, None);
                }
            }),
            Act::Complete(n) => self.with_flight(n, |bed, flight| {
                flight.completed |= flight.ran;
                bed.event(flight.sent.call, Event::Completed { attempt: flight.sent.attempt });
            }),
            Act::Fail(n, how, replayable) => self.with_flight(n, |bed, flight| {
                let failure = failure(how, flight.on_wire);
                let attempt = flight.sent.attempt;
                bed.event(flight.sent.call, Event::Failed { attempt, failure, replayable });
            }),
            Act::CallerGone(n) => {
                self.with_flight(n, |bed, flight| bed.event(flight.sent.call, Event::CallerGone));
            }
            Act::CallerFailed(n) => self.with_flight(n, |bed, flight| {
                let kind = ErrorKind::BodyTooLarge;
                bed.event(flight.sent.call, Event::CallerFailed { kind });
            }),
            Act::Pass(millis) => self.bed.pass(Duration::from_millis(millis.into())),
            Act::Replace => {
                let text = document(self.kind, 3).into_bytes();
                self.bed.apply(ItemKey::Document(service()), text);
            }
            Act::Route(owner) => {
                self.token += 1;
                self.owner = owner;
                self.bed.route(owner, self.token);
            }
            Act::Zone(zone, out) => {
                self.bed.set_zone(zone, if out { "out" } else { "in" });
            }
        }
        self.look();
    }

    fn begin(&mut self, idempotent: bool, copy: Option<u8>) {
        let method = if idempotent { Method::Get } else { Method::Post };
        let mut head = Head::new(method, "/jobs/1");
        if let Some(copy) = copy {
            head = head.with("idempotency-key", &copy.to_string());
        }
        let id = self.bed.begin(&head);
        let deadline = self.bed.now + TIMEOUT;
        let copy = copy.filter(|_| !idempotent);
        let seen = Seen { deadline, idempotent, copy, runs: 0, ended: false, said_not_run: false };
        self.calls.insert(id, seen);
    }

    /// The bytes arrive and the target runs the request, whatever the gate decided meanwhile.
    fn run(&mut self, n: usize) {
        let Some(index) = self.flights.len().checked_sub(1 + n) else {
            return;
        };
        let flight = &mut self.flights[index];
        if !flight.on_wire || flight.ran || flight.refused {
            return;
        }
        flight.ran = true;
        let call = flight.sent.call;
        let seen = self.calls.get_mut(&call).unwrap();
        seen.runs += 1;
        assert!(!seen.said_not_run, "ran after the caller was told not-run");
        assert!(seen.idempotent || seen.runs == 1, "a non-idempotent request ran twice");
    }

    /// No other copy of a request may be under way as one is sent.
    fn check_copies(&self, call: CallId) {
        let Some(copy) = self.calls.get(&call).and_then(|seen| seen.copy) else {
            return;
        };
        for flight in self.flights.iter().filter(|flight| flight.sent.call != call) {
            let other = &self.calls[&flight.sent.call];
            let open = flight.on_wire && !flight.refused && !flight.completed;
            let beside = other.copy == Some(copy) && open && self.bed.now < other.deadline;
            assert!(!beside, "a copy was sent beside another");
        }
    }

    fn with_flight<F>(&mut self, n: usize, act: F)
    where
        F: FnOnce(&mut Bed, &mut Flight),
    {
        if let Some(index) = self.flights.len().checked_sub(1 + n) {
            act(&mut self.bed, &mut self.flights[index]);
        }
    }

    fn look(&mut self) {
        for action in std::mem::take(&mut self.bed.out) {
            match action {
                Action::Refuse { call, kind, .. } => {
                    let seen = self.calls.get_mut(&call).unwrap();
                    assert!(!seen.ended, "answered twice");
                    seen.ended = true;
                    seen.said_not_run = kind.outcome() == Outcome::NotRun;
                    assert!(!seen.said_not_run || seen.runs == 0, "{kind} though it ran");
                }
                Action::Forward { call, attempt } => {
                    let seen = self.calls.get_mut(&call).unwrap();
                    assert!(!seen.ended, "answered twice");
                    seen.ended = true;
                    let ran = |flight: &&Flight| flight.sent.call == call && flight.ran;
                    assert!(self.flights.iter().filter(ran).any(|f| f.sent.attempt == attempt));
                }
                action @ Action::StartAttempt { .. } => {
                    let sent = crate::support::sent(action).unwrap();
                    assert!(!self.calls.get(&sent.call).is_some_and(|seen| seen.ended));
                    self.check_copies(sent.call);
                    if sent.token.is_some() {
                        assert_eq!(Some(sent.to), self.owner.map(address), "not to the owner");
                        assert_eq!(sent.token, Some(Token(self.token)));
                    }
                    self.flights.push(Flight {
                        sent,
                        on_wire: false,
                        ran: false,
                        refused: false,
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
        // A shell that is wrong about what was sent must not make the gate say not-run.
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
    fn a_not_run_is_true_and_non_idempotent_requests_run_once(
        keyed: bool,
        acts in prop::collection::vec(act(), 1..60),
    ) {
        let kind = if keyed { "keyed" } else { "pooled" };
        let mut model = Model {
            kind,
            owner: None,
            token: 0,
            bed: Bed::with(kind, 3),
            flights: Vec::new(),
            calls: HashMap::new(),
        };
        model.act(Act::Route(Some(1)));
        for act in acts {
            model.act(act);
        }
        // Late bytes arrive, and every request comes to an end.
        for n in 0..model.flights.len() {
            model.act(Act::Run(n));
        }
        model.act(Act::Pass(5_000));
        prop_assert_eq!(model.bed.gate.in_flight(), 0);
        for n in 0..model.flights.len() {
            model.act(Act::Run(n));
        }
    }
}
