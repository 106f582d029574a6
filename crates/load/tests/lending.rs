//! Tests loans between the pools of several gates under lost homes, differing views, pauses and
//! message loss.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bay_load::{
    AttemptOutcome, LOAN_TERM, LoadOutput, Observation, Permit, PickRequest, PickResult, Pool,
    PoolConfig, Rejection, TargetLimits, TargetSpec,
};
use bay_time::Time;
use bay_types::{ErrorKind, NodeId, ZoneName};
use bay_wire::GateAddress;
use test_case::test_case;

const SLOTS: u32 = 4;
const CONNECTIONS: u32 = 50;
/// Time after which the loans of an earlier home have expired for a new one.
const LOANS_EXPIRED: Duration = Duration::from_secs(3);

fn zone() -> ZoneName {
    ZoneName::new("a").unwrap()
}

fn target(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number + 1))
}

/// The pools of several gates, which exchange messages without delay.
struct Gates {
    pools: Vec<Pool>,
    up: Vec<bool>,
    messages: VecDeque<(usize, LoadOutput)>,
    lose_messages: bool,
    now: Time,
}

impl Gates {
    fn new(gates: usize, targets: u16) -> Gates {
        let config = |gate: usize| PoolConfig {
            node: NodeId(gate as u64),
            zone: zone(),
            limits: TargetLimits {
                slots: SLOTS,
                connections: CONNECTIONS,
                cold_slots: 1,
                warmup: Duration::from_secs(1),
            },
            retry_budget: 0.1,
            hedge_budget: 0.05,
            seed: gate as u64,
        };
        let mut fleet = Gates {
            pools: (0..gates).map(|gate| Pool::new(config(gate), Time::ZERO)).collect(),
            up: vec![true; gates],
            messages: VecDeque::new(),
            lose_messages: false,
            now: Time::ZERO,
        };
        let specs: Vec<TargetSpec> = (0..targets)
            .map(|t| TargetSpec { address: target(t), zone: zone(), in_service: true })
            .collect();
        for gate in 0..gates {
            fleet.set_view(gate, &(0..gates).collect::<Vec<_>>());
            fleet.pools[gate].set_targets(Time::ZERO, &specs);
        }
        fleet.advance(LOANS_EXPIRED + Duration::from_secs(1));
        fleet
    }

    fn set_view(&mut self, gate: usize, view: &[usize]) {
        let address = |g: &usize| GateAddress {
            node: NodeId(*g as u64),
            zone: zone(),
            address: target(*g as u16),
        };
        let view: Vec<GateAddress> = view.iter().map(address).collect();
        self.pools[gate].set_gates(self.now, &view);
    }

    /// Advances the time, with a tick every five milliseconds.
    fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now += Duration::from_millis(5);
            self.tick();
        }
    }

    fn tick(&mut self) {
        for gate in 0..self.pools.len() {
            let mut out = Vec::new();
            if self.up[gate] {
                self.pools[gate].tick(self.now, &mut out);
            }
            self.messages.extend(out.into_iter().map(|output| (gate, output)));
        }
        while let Some((from, output)) = self.messages.pop_front() {
            let to = output.to.0 as usize;
            if self.lose_messages || !self.up[to] || !self.up[from] {
                continue;
            }
            let mut out = Vec::new();
            let from = NodeId(from as u64);
            self.pools[to].handle_message(self.now, from, output.message, &mut out);
            self.messages.extend(out.into_iter().map(|output| (to, output)));
        }
    }

    /// Picks one target at a gate repeatedly and returns all permits granted.
    fn pick_all(&mut self, gate: usize, address: SocketAddr) -> Vec<Permit> {
        let mut permits = Vec::new();
        for _ in 0..10 {
            let request = PickRequest { only: Some(address), ..PickRequest::new(Time::MAX) };
            match self.pools[gate].pick(self.now, &request) {
                PickResult::Granted(permit) => permits.push(permit),
                PickResult::Queued { ticket, .. } => {
                    self.tick();
                    let request = PickRequest { ticket: Some(ticket), ..request };
                    if let PickResult::Granted(permit) = self.pools[gate].pick(self.now, &request) {
                        permits.push(permit);
                    }
                    self.pools[gate].leave_queue(ticket);
                }
                PickResult::Refused { .. } => {}
            }
        }
        permits
    }

    /// Returns the home of a target, after the slots borrowed by the search are returned.
    fn home(&mut self, address: SocketAddr) -> usize {
        let home = self.find_home(address);
        self.advance(Duration::from_millis(100));
        home
    }

    /// Returns the gate that has free slots without borrowing.
    fn find_home(&mut self, address: SocketAddr) -> usize {
        let request = PickRequest { only: Some(address), ..PickRequest::new(Time::MAX) };
        for gate in 0..self.pools.len() {
            match self.pools[gate].pick(self.now, &request) {
                PickResult::Granted(_) => return gate,
                PickResult::Queued { ticket, .. } => self.pools[gate].leave_queue(ticket),
                PickResult::Refused { .. } => {}
            }
        }
        panic!("no gate has slots of {address}");
    }
}

#[test]
fn sum_of_permits_over_all_gates_is_limited_to_the_targets_slots() {
    let mut gates = Gates::new(9, 8);
    let mut permits = Vec::new();
    for gate in 0..9 {
        permits.extend(gates.pick_all(gate, target(0)));
    }
    assert_eq!(permits.len(), SLOTS as usize);
}

#[test]
fn slots_of_a_lost_gate_are_free_once_its_loans_expire() {
    let mut gates = Gates::new(3, 1);
    let home = gates.home(target(0));
    let lost = (home + 1) % 3;
    let permits = gates.pick_all(lost, target(0));
    assert_eq!(permits.len(), SLOTS as usize);
    gates.up[lost] = false;
    assert!(gates.pick_all(home, target(0)).is_empty());
    gates.advance(LOAN_TERM + Duration::from_millis(20));
    assert_eq!(gates.pick_all(home, target(0)).len(), SLOTS as usize);
}

#[test]
fn a_new_home_counts_slots_still_in_use_after_the_old_homes_loans_expire() {
    let mut gates = Gates::new(3, 1);
    let home = gates.home(target(0));
    let (user, other) = ((home + 1) % 3, (home + 2) % 3);
    let in_use = gates.pick_all(user, target(0));
    gates.up[home] = false;
    for gate in [user, other] {
        gates.set_view(gate, &[user, other]);
    }
    // The requests run longer than the loans of the lost home.
    assert!(!gates.pools.iter().all(|pool| pool.can_lend_all(gates.now)));
    gates.advance(LOANS_EXPIRED * 2);
    assert!(gates.pools.iter().all(|pool| pool.can_lend_all(gates.now)));
    assert!(gates.pick_all(user, target(0)).is_empty());
    assert!(gates.pick_all(other, target(0)).is_empty());
    drop(in_use);
    gates.advance(Duration::from_millis(50));
    assert_eq!(gates.pick_all(other, target(0)).len(), SLOTS as usize);
}

#[test_case(0; "at once")]
#[test_case(400; "a while later")]
#[test_case(900; "as late as views may differ")]
fn two_simultaneous_homes_keep_the_slot_limit(lag_ms: u64) {
    let mut gates = Gates::new(3, 1);
    let home = gates.home(target(0));
    let (first, second) = ((home + 1) % 3, (home + 2) % 3);
    // The other gates consider the home lost, while it still lends.
    gates.set_view(first, &[first, second]);
    gates.set_view(second, &[first, second]);
    let mut permits = gates.pick_all(home, target(0));
    gates.advance(Duration::from_millis(lag_ms));
    permits.extend(gates.pick_all(first, target(0)));
    permits.extend(gates.pick_all(second, target(0)));
    gates.set_view(home, &[first, second]);
    gates.advance(LOANS_EXPIRED * 2);
    permits.extend(gates.pick_all(first, target(0)));
    permits.extend(gates.pick_all(second, target(0)));
    assert_eq!(permits.len(), SLOTS as usize);
}

#[test]
fn a_paused_gate_does_not_use_loans_that_expired_during_the_pause() {
    let mut gates = Gates::new(2, 1);
    let home = gates.home(target(0));
    let paused = 1 - home;
    let permits = gates.pick_all(paused, target(0));
    drop(permits);
    // The gate stops with idle loans, and picks again before its first tick.
    gates.up[paused] = false;
    gates.advance(LOAN_TERM + Duration::from_millis(20));
    assert_eq!(gates.pick_all(home, target(0)).len(), SLOTS as usize);
    let request = PickRequest { only: Some(target(0)), ..PickRequest::new(Time::MAX) };
    assert!(!matches!(gates.pools[paused].pick(gates.now, &request), PickResult::Granted(_)));
}

#[test]
fn slots_of_lost_returns_are_freed_by_the_next_list_of_loans() {
    let mut gates = Gates::new(2, 1);
    let home = gates.home(target(0));
    let borrower = 1 - home;
    let permits = gates.pick_all(borrower, target(0));
    drop(permits);
    gates.lose_messages = true;
    gates.advance(Duration::from_millis(40));
    gates.lose_messages = false;
    gates.advance(Duration::from_millis(250));
    assert_eq!(gates.pick_all(home, target(0)).len(), SLOTS as usize);
}

#[test]
fn a_cold_target_is_limited_to_its_cold_slots_over_all_gates() {
    let mut gates = Gates::new(3, 1);
    let home = gates.home(target(0));
    let observer = (home + 1) % 3;
    let permit = gates.pick_all(observer, target(0)).pop().expect("a slot is free");
    let (id, latency) = (permit.target(), Duration::from_millis(1));
    drop(permit);
    let observation =
        Observation { latency, outcome: AttemptOutcome::Rejected(Rejection::Shed), reported: None };
    gates.pools[observer].observe(gates.now, id, observation);
    gates.tick();
    let permits: Vec<Permit> = (0..3).flat_map(|gate| gates.pick_all(gate, target(0))).collect();
    assert_eq!(permits.len(), 1);
    drop(permits);
    gates.advance(Duration::from_millis(1_100));
    assert_eq!(gates.pick_all(home, target(0)).len(), SLOTS as usize);
}

#[test]
fn sum_of_connection_caps_over_all_gates_is_within_the_targets_limit() {
    let mut gates = Gates::new(9, 1);
    let mut held = Vec::new();
    for gate in 0..9 {
        held.extend(gates.pick_all(gate, target(0)));
    }
    let id = held[0].target();
    let caps: u32 = gates.pools.iter().map(|pool| pool.connection_cap(id)).sum();
    assert!(caps <= CONNECTIONS, "{caps}");
}

#[test]
fn a_target_out_of_service_gets_no_requests_and_starts_cold_on_return() {
    let mut gates = Gates::new(2, 1);
    let spec = |in_service| [TargetSpec { address: target(0), zone: zone(), in_service }];
    for pool in &mut gates.pools {
        pool.set_targets(gates.now, &spec(false));
    }
    let request = PickRequest::new(Time::MAX);
    for pool in &mut gates.pools {
        let pick = pool.pick(gates.now, &request);
        assert!(matches!(pick, PickResult::Refused { kind: ErrorKind::NoTarget, .. }));
    }
    for pool in &mut gates.pools {
        pool.set_targets(gates.now, &spec(true));
    }
    let permits: Vec<Permit> = (0..2).flat_map(|gate| gates.pick_all(gate, target(0))).collect();
    assert_eq!(permits.len(), 1);
}
