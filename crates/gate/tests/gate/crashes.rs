//! Requests that crash the targets which run them, among many that do not.

use std::net::SocketAddr;
use std::time::Duration;

use bay_call::{AttemptFailure, CallId};
use bay_conf::Method;
use bay_types::ErrorKind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

use crate::support::{Fleet, Head, Sent};

const MS: Duration = Duration::from_millis(1);

/// A request at a target.
#[derive(Debug, Clone)]
struct Flight {
    gate: usize,
    sent: Sent,
    path: String,
    steps: u32,
}

/// Gates whose targets crash on a marked request.
struct Site {
    fleet: Fleet,
    rng: SmallRng,
    flights: Vec<Flight>,
    paths: Vec<(usize, CallId, String)>,
    crashes: u32,
    refused: Vec<String>,
}

impl Site {
    fn new(gates: u8, servers: u8, seed: u64) -> Site {
        let fleet = Fleet::new(gates, "pooled", servers);
        let rng = SmallRng::seed_from_u64(seed);
        Site { fleet, rng, flights: vec![], paths: vec![], crashes: 0, refused: vec![] }
    }

    fn begin(&mut self, gate: usize, method: Method, path: &str) {
        let call = self.fleet.beds[gate].begin(&Head::new(method, path));
        self.paths.push((gate, call, path.to_owned()));
    }

    /// One millisecond: attempts arrive, some requests end, and a crash takes all at its target.
    fn step(&mut self) {
        self.fleet.deliver();
        for gate in 0..self.fleet.beds.len() {
            for sent in self.fleet.beds[gate].attempts() {
                assert!(self.fleet.beds[gate].may_send(sent));
                let begun =
                    |(at, call, _): &&(usize, CallId, String)| *at == gate && *call == sent.call;
                let path = self.paths.iter().find(begun).unwrap().2.clone();
                let steps = if path == "/poison" { 3 } else { self.rng.random_range(1..12) };
                self.flights.push(Flight { gate, sent, path, steps });
            }
        }
        let (due, rest) = std::mem::take(&mut self.flights)
            .into_iter()
            .map(|flight| Flight { steps: flight.steps - 1, ..flight })
            .partition(|flight| flight.steps == 0);
        self.flights = rest;
        for flight in due as Vec<Flight> {
            if flight.path == "/poison" {
                self.crash(flight.sent.to, flight);
            } else {
                self.fleet.beds[flight.gate].complete(flight.sent);
            }
        }
        self.fleet.pass(MS);
        self.look();
    }

    fn crash(&mut self, target: SocketAddr, first: Flight) {
        self.crashes += 1;
        let (mut lost, rest): (Vec<_>, _) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|flight| flight.sent.to == target);
        self.flights = rest;
        let place = self.rng.random_range(0..=lost.len());
        lost.insert(place, first);
        for flight in lost {
            self.fleet.beds[flight.gate].fail(flight.sent, AttemptFailure::Lost);
        }
    }

    fn look(&mut self) {
        for gate in 0..self.fleet.beds.len() {
            for (at, call, path) in &self.paths {
                let refusal = self.fleet.beds[gate].refusal(*call).filter(|_| *at == gate);
                if refusal == Some(ErrorKind::Quarantined) {
                    self.refused.push(path.clone());
                }
            }
            self.fleet.beds[gate].out.retain(|action| {
                matches!(
                    action,
                    bay_call::Action::StartAttempt { .. } | bay_call::Action::SendToPeer { .. }
                )
            });
        }
    }

    /// Runs neighbours at all gates, and a caller that sends the crashing request again.
    fn run(&mut self, poison: Method) {
        let gates = self.fleet.beds.len();
        for step in 0..600_usize {
            if step % 40 == 20 {
                self.begin(step / 40 % gates, poison, "/poison");
            }
            let gate = self.rng.random_range(0..gates);
            let path = match self.rng.random_range(0..4) {
                0 => String::from("/often"),
                _ => format!("/rare/{}", step % 150),
            };
            let method = if self.rng.random_ratio(1, 3) { Method::Post } else { Method::Get };
            self.begin(gate, method, &path);
            self.step();
        }
    }
}

#[test_case(Method::Post, 3, 6; "a post that its caller sends again")]
#[test_case(Method::Get, 3, 6; "a get that the gate sends again")]
#[test_case(Method::Post, 9, 4; "a post at many gates with few targets")]
#[test_case(Method::Get, 9, 4; "a get at many gates with few targets")]
fn a_crashing_request_is_refused_after_two_crashes_and_its_neighbours_are_not(
    poison: Method,
    gates: u8,
    servers: u8,
) {
    // Seeds 656, 812, 981 and 1547 once had a neighbour refused at many gates with few targets.
    for seed in (0..40).chain([656, 812, 981, 1547]) {
        let mut site = Site::new(gates, servers, seed);
        site.run(poison);
        assert!(site.crashes <= 2, "{} crashes, seed {seed}", site.crashes);
        assert!(site.refused.iter().any(|path| path == "/poison"), "seed {seed}");
        let neighbours: Vec<_> = site.refused.iter().filter(|path| *path != "/poison").collect();
        assert!(neighbours.is_empty(), "{neighbours:?}, seed {seed}");
    }
}

#[test]
fn a_single_owner_that_crashes_is_spared_too() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(1, "keyed", 2);
        let bed = &mut fleet.beds[0];
        bed.route(Some(1), 7);
        bed.begin(&Head::new(Method::Post, &format!("/jobs/{seed}")));
        let beside = bed.attempt();
        bed.may_send(beside);
        for _ in 0..2 {
            bed.begin(&Head::new(Method::Post, "/jobs/poison"));
            let sent = bed.attempt();
            bed.may_send(sent);
            bed.fail(sent, AttemptFailure::Lost);
        }
        let call = bed.begin(&Head::new(Method::Post, "/jobs/poison"));
        assert_eq!(bed.refusal(call), Some(ErrorKind::Quarantined));
        bed.complete(beside);
        bed.begin(&Head::new(Method::Post, &format!("/jobs/{seed}")));
        bed.attempt();
    }
}

#[test]
fn a_suspect_runs_on_a_new_connection_and_beside_no_other_suspect() {
    let mut fleet = Fleet::new(1, "keyed", 2);
    let bed = &mut fleet.beds[0];
    bed.route(Some(1), 7);
    let paths = ["/jobs/a", "/jobs/b"];
    for path in paths {
        bed.begin(&Head::new(Method::Post, path));
    }
    for sent in bed.attempts() {
        bed.may_send(sent);
        bed.fail(sent, AttemptFailure::Lost);
    }
    for path in paths {
        bed.begin(&Head::new(Method::Post, path));
    }
    let first = bed.attempt();
    assert!(first.fresh);
    bed.pass(MS * 200);
    assert!(bed.attempts().is_empty(), "the other waits");
    bed.complete(first);
    let second = bed.attempt();
    assert!(second.fresh);
    bed.complete(second);
    assert_eq!(bed.count("quarantine.cleared"), 2);
}

#[test]
fn a_quarantine_reaches_gates_that_missed_a_datagram() {
    let mut fleet = Fleet::new(2, "pooled", 4);
    fleet.loses_notices = true;
    for _ in 0..2 {
        fleet.beds[0].begin(&Head::new(Method::Post, "/poison"));
        fleet.deliver();
        let bed = &mut fleet.beds[0];
        let sent = bed.attempt();
        bed.may_send(sent);
        bed.fail(sent, AttemptFailure::Lost);
    }
    fleet.deliver();
    fleet.loses_notices = false;
    fleet.pass(MS * 150);
    let call = fleet.beds[1].begin(&Head::new(Method::Post, "/poison"));
    assert_eq!(fleet.beds[1].refusal(call), Some(ErrorKind::Quarantined));
}

#[test]
fn a_quarantine_ends() {
    let mut fleet = Fleet::new(2, "pooled", 4);
    for gate in [0, 1] {
        fleet.beds[gate].begin(&Head::new(Method::Post, "/poison"));
        fleet.deliver();
        let sent = fleet.beds[gate].attempt();
        fleet.beds[gate].may_send(sent);
        fleet.beds[gate].fail(sent, AttemptFailure::Lost);
        fleet.deliver();
    }
    for gate in [0, 1] {
        let call = fleet.beds[gate].begin(&Head::new(Method::Post, "/poison"));
        assert_eq!(fleet.beds[gate].refusal(call), Some(ErrorKind::Quarantined));
    }
    fleet.pass(Duration::from_secs(1));
    fleet.pass(Duration::from_secs(301));
    fleet.beds[0].begin(&Head::new(Method::Post, "/poison"));
    fleet.deliver();
    assert!(fleet.beds[0].attempt().fresh, "still under suspicion");
}
