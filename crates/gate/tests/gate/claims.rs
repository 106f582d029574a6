//! Copies of a request with one idempotency key, at one gate and at several.

use std::time::Duration;

use bay_call::{AttemptFailure, CallId, Event};
use bay_conf::Method;
use bay_types::{ErrorKind, Outcome};
use bay_wire::{ItemKey, PeerMessage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

use crate::support::{Bed, Fleet, Head, Sent, document, node, peer_address, peer_list, service};

const MS: Duration = Duration::from_millis(1);

fn copy() -> Head {
    Head::new(Method::Post, "/").with("idempotency-key", "k-1")
}

impl Fleet {
    fn copy(&mut self, gate: usize) -> CallId {
        let call = self.beds[gate].begin(&copy());
        self.deliver();
        call
    }
}

#[test]
fn a_copy_at_the_same_gate_is_refused_until_the_first_has_ended() {
    let mut bed = Bed::with("pooled", 3);
    bed.begin(&copy());
    let first = bed.attempt();
    let second = bed.begin(&copy());
    assert_eq!(bed.refusal(second), Some(ErrorKind::DuplicateInFlight));
    assert_eq!(ErrorKind::DuplicateInFlight.outcome(), Outcome::Unknown);
    bed.complete(first);
    bed.begin(&copy());
    bed.attempt();
}

#[test]
fn copies_at_other_gates_are_refused_until_the_first_has_ended() {
    let mut fleet = Fleet::new(9, "pooled", 3);
    fleet.copy(0);
    let first = fleet.beds[0].attempt();
    for gate in 1..9 {
        let call = fleet.copy(gate);
        assert_eq!(fleet.beds[gate].refusal(call), Some(ErrorKind::DuplicateInFlight));
        assert!(fleet.beds[gate].attempts().is_empty());
    }
    fleet.beds[0].complete(first);
    fleet.deliver();
    fleet.copy(5);
    fleet.beds[5].attempt();
}

#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8]; "any one gate")]
fn a_gate_s_loss_lets_no_copy_run_beside_the_first(losses: &[usize]) {
    for lost in losses {
        let mut fleet = Fleet::new(9, "pooled", 3);
        fleet.copy(0);
        let first = fleet.beds[0].attempt();
        assert!(fleet.beds[0].may_send(first));
        fleet.lost.push(*lost);
        // Before the loss is noticed, after it, and with the gate back without its memory.
        let others: Vec<u8> = (1..=9).filter(|n| usize::from(*n) != lost + 1).collect();
        for listed in [None, Some(others), Some((1..=9).collect())] {
            if let Some(listed) = listed {
                if listed.len() == 9 {
                    fleet.beds[*lost] = Fleet::new(9, "pooled", 3).beds.remove(*lost);
                    fleet.lost.clear();
                }
                fleet.set_gates(&listed);
            }
            let gate = (1..9).find(|gate| gate != lost).unwrap();
            let call = fleet.copy(gate);
            fleet.pass(MS * 100);
            let refused = fleet.beds[gate].refusal(call);
            assert_eq!(refused, Some(ErrorKind::DuplicateInFlight), "lost {lost}");
        }
    }
}

#[test]
fn a_copy_may_run_once_the_lost_gate_s_request_has_run_out() {
    let mut fleet = Fleet::new(3, "pooled", 3);
    fleet.copy(0);
    fleet.lost.push(0);
    fleet.set_gates(&[2, 3]);
    fleet.pass(MS * 2_100);
    fleet.copy(1);
    fleet.beds[1].attempt();
}

#[test]
fn a_request_that_may_still_run_keeps_its_claim_until_its_deadline() {
    let mut fleet = Fleet::new(3, "pooled", 3);
    fleet.copy(0);
    let first = fleet.beds[0].attempt();
    assert!(fleet.beds[0].may_send(first));
    fleet.beds[0].fail(first, AttemptFailure::Silent);
    fleet.deliver();
    let call = fleet.copy(1);
    assert_eq!(fleet.beds[1].refusal(call), Some(ErrorKind::DuplicateInFlight));
    fleet.pass(MS * 2_100);
    fleet.copy(2);
    fleet.beds[2].attempt();
}

#[test]
fn a_caller_that_hangs_up_leaves_the_claim_of_what_may_still_run() {
    for sends in [false, true] {
        let mut fleet = Fleet::new(3, "pooled", 3);
        let call = fleet.copy(0);
        let first = fleet.beds[0].attempt();
        if sends {
            assert!(fleet.beds[0].may_send(first));
        }
        fleet.beds[0].event(call, Event::CallerGone);
        fleet.deliver();
        let second = fleet.copy(1);
        let refused = fleet.beds[1].refusal(second) == Some(ErrorKind::DuplicateInFlight);
        assert_eq!(refused, sends);
    }
}

#[test]
fn copies_that_refuse_each_other_leave_no_claim_behind() {
    let mut fleet = Fleet::new(9, "pooled", 3);
    let calls = [fleet.beds[0].begin(&copy()), fleet.beds[1].begin(&copy())];
    fleet.deliver();
    let refused = (0..2).filter(|n| fleet.beds[*n].refusal(calls[*n]).is_some()).count();
    let running: Vec<_> = (0..2).flat_map(|n| fleet.beds[n].attempts()).collect();
    assert!(running.len() <= 1);
    assert_eq!(refused + running.len(), 2);
    if running.is_empty() {
        fleet.copy(2);
        fleet.beds[2].attempt();
    }
}

#[test]
fn a_gate_that_hears_no_other_refuses_what_it_cannot_claim() {
    for gate in 0..9 {
        let mut fleet = Fleet::new(9, "pooled", 3);
        fleet.lost = (0..9).filter(|other| *other != gate).collect();
        let call = fleet.copy(gate);
        fleet.pass(MS * 100);
        assert_eq!(fleet.beds[gate].refusal(call), Some(ErrorKind::ClaimUnanswered));
    }
}

#[test]
fn copies_on_both_sides_of_a_cut_do_not_both_run() {
    for gate in 1..9 {
        let mut fleet = Fleet::new(9, "pooled", 3);
        fleet.lost = vec![0];
        let cut_off = fleet.copy(0);
        fleet.copy(gate);
        fleet.pass(MS * 100);
        assert!(fleet.beds[0].attempts().is_empty());
        assert_eq!(fleet.beds[0].refusal(cut_off), Some(ErrorKind::ClaimUnanswered));
    }
}

#[test]
fn a_gate_that_does_not_know_the_others_yet_claims_nothing() {
    let mut bed = Bed::unlisted(1);
    let text = document("pooled", 3).into_bytes();
    bed.apply(ItemKey::Document(service()), text);
    let call = bed.begin(&copy());
    assert_eq!(bed.refusal(call), Some(ErrorKind::ClaimUnanswered));
}

/// Datagrams between three gates on their way, each for a few milliseconds.
struct Network {
    fleet: Fleet,
    rng: SmallRng,
    on_way: Vec<(u64, usize, usize, PeerMessage)>,
    millis: u64,
}

impl Network {
    /// One millisecond: datagrams that have come are taken, new ones set out.
    fn step(&mut self) {
        self.millis += 1;
        let millis = self.millis;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.on_way).into_iter().partition(|(at, ..)| *at <= millis);
        self.on_way = rest;
        for (_, from, to, message) in due {
            if !self.fleet.lost.contains(&from) && !self.fleet.lost.contains(&to) {
                let bed = &mut self.fleet.beds[to];
                bed.gate.handle_peer_message(bed.now, node(from as u8 + 1), message, &mut bed.out);
            }
        }
        for from in 0..self.fleet.beds.len() {
            self.fleet.beds[from].pass(MS);
            for (to, message) in self.fleet.beds[from].peers() {
                let to = (0..9).find(|n| peer_address(*n as u8 + 1) == to).unwrap();
                let at = self.millis + self.rng.random_range(1..8);
                self.on_way.push((at, from, to, message));
            }
        }
    }
}

#[test]
fn copies_never_run_beside_each_other_in_any_order_of_datagrams_with_one_gate_lost() {
    let mut runs = 0;
    for seed in 0..150 {
        let fleet = Fleet::new(5, "pooled", 3);
        let rng = SmallRng::seed_from_u64(seed);
        let mut net = Network { fleet, rng, on_way: Vec::new(), millis: 0 };
        let lost_at = net.rng.random_range(0..400);
        // What was sent and not answered yet: gate, attempt, and when its request runs out.
        let mut open: Vec<(usize, Sent, u64)> = Vec::new();
        for step in 0..1_000_u64 {
            if step == lost_at {
                net.fleet.lost.push(net.rng.random_range(0..5));
            }
            if step == lost_at + 100 {
                let up: Vec<u8> =
                    (1..=5).filter(|n| usize::from(*n) != net.fleet.lost[0] + 1).collect();
                for bed in &mut net.fleet.beds {
                    bed.gate.set_gates(bed.now, &peer_list(&up), &mut bed.out);
                }
            }
            let gate = net.rng.random_range(0..5);
            if !net.fleet.lost.contains(&gate) && net.rng.random_ratio(1, 10) {
                net.fleet.beds[gate].begin(&copy());
            }
            net.step();
            open.retain(|(.., until)| *until > step);
            for gate in (0..5).filter(|gate| !net.fleet.lost.contains(gate)).collect::<Vec<_>>() {
                for sent in net.fleet.beds[gate].attempts() {
                    if net.fleet.beds[gate].may_send(sent) {
                        assert!(open.is_empty(), "a copy beside {open:?}, seed {seed}");
                        open.push((gate, sent, step + 2_000));
                        runs += 1;
                    }
                }
            }
            if let Some((gate, sent, _)) = open.first().copied()
                && !net.fleet.lost.contains(&gate)
                && net.rng.random_ratio(1, 20)
            {
                net.fleet.beds[gate].complete(sent);
                open.clear();
            }
        }
    }
    assert!(runs > 150, "{runs} runs");
}
