//! Copies of a request with one idempotency key, at one gate and at several.

use std::time::Duration;

use bay_call::{AttemptFailure, CallId, Event};
use bay_conf::Method;
use bay_types::{ErrorKind, Outcome};
use bay_wire::{ItemKey, PeerMessage};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

use crate::support::{
    Cluster, GateHarness, Head, Sent, document, node, peer_address, peer_list, service,
};

const MS: Duration = Duration::from_millis(1);

fn copy() -> Head {
    Head::new(Method::Post, "/").with_header("idempotency-key", "k-1")
}

impl Cluster {
    fn copy(&mut self, gate: usize) -> CallId {
        let call = self.harnesses[gate].begin(&copy());
        self.deliver();
        call
    }
}

#[test]
fn a_copy_at_the_same_gate_is_refused_until_the_first_has_ended() {
    let mut harness = GateHarness::with_service("pooled", 3);
    harness.begin(&copy());
    let first = harness.expect_attempt();
    let second = harness.begin(&copy());
    assert_eq!(harness.refusal(second), Some(ErrorKind::DuplicateInFlight));
    assert_eq!(ErrorKind::DuplicateInFlight.outcome(), Outcome::Unknown);
    harness.complete(first);
    harness.begin(&copy());
    harness.expect_attempt();
}

#[test]
fn copies_at_other_gates_are_refused_until_the_first_has_ended() {
    let mut cluster = Cluster::new(9, "pooled", 3);
    cluster.copy(0);
    let first = cluster.harnesses[0].expect_attempt();
    for gate in 1..9 {
        let call = cluster.copy(gate);
        assert_eq!(cluster.harnesses[gate].refusal(call), Some(ErrorKind::DuplicateInFlight));
        assert!(cluster.harnesses[gate].drain_attempts().is_empty());
    }
    cluster.harnesses[0].complete(first);
    cluster.deliver();
    cluster.copy(5);
    cluster.harnesses[5].expect_attempt();
}

#[test_case(&[0, 1, 2, 3, 4, 5, 6, 7, 8]; "any one gate")]
fn losing_a_gate_lets_no_copy_run_while_the_first_is_in_flight(losses: &[usize]) {
    for lost in losses {
        let mut cluster = Cluster::new(9, "pooled", 3);
        cluster.copy(0);
        let first = cluster.harnesses[0].expect_attempt();
        assert!(cluster.harnesses[0].may_send(first));
        cluster.lost.push(*lost);
        // Before the loss is detected, after it, and after the gate restarted with an empty state.
        let others: Vec<u8> = (1..=9).filter(|n| usize::from(*n) != lost + 1).collect();
        for listed in [None, Some(others), Some((1..=9).collect())] {
            if let Some(listed) = listed {
                if listed.len() == 9 {
                    cluster.harnesses[*lost] = Cluster::new(9, "pooled", 3).harnesses.remove(*lost);
                    cluster.lost.clear();
                }
                cluster.set_gates(&listed);
            }
            let gate = (1..9).find(|gate| gate != lost).unwrap();
            let call = cluster.copy(gate);
            cluster.advance(MS * 100);
            let refused = cluster.harnesses[gate].refusal(call);
            assert_eq!(refused, Some(ErrorKind::DuplicateInFlight), "lost {lost}");
        }
    }
}

#[test]
fn a_copy_may_run_after_the_deadline_of_a_lost_gates_request() {
    let mut cluster = Cluster::new(3, "pooled", 3);
    cluster.copy(0);
    cluster.lost.push(0);
    cluster.set_gates(&[2, 3]);
    cluster.advance(MS * 2_100);
    cluster.copy(1);
    cluster.harnesses[1].expect_attempt();
}

#[test]
fn a_request_that_may_still_run_keeps_its_claim_until_its_deadline() {
    let mut cluster = Cluster::new(3, "pooled", 3);
    cluster.copy(0);
    let first = cluster.harnesses[0].expect_attempt();
    assert!(cluster.harnesses[0].may_send(first));
    cluster.harnesses[0].fail(first, AttemptFailure::Silent);
    cluster.deliver();
    let call = cluster.copy(1);
    assert_eq!(cluster.harnesses[1].refusal(call), Some(ErrorKind::DuplicateInFlight));
    cluster.advance(MS * 2_100);
    cluster.copy(2);
    cluster.harnesses[2].expect_attempt();
}

#[test]
fn a_caller_disconnect_keeps_the_claim_only_if_the_request_was_sent() {
    for sends in [false, true] {
        let mut cluster = Cluster::new(3, "pooled", 3);
        let call = cluster.copy(0);
        let first = cluster.harnesses[0].expect_attempt();
        if sends {
            assert!(cluster.harnesses[0].may_send(first));
        }
        cluster.harnesses[0].event(call, Event::CallerGone);
        cluster.deliver();
        let second = cluster.copy(1);
        let refused = cluster.harnesses[1].refusal(second) == Some(ErrorKind::DuplicateInFlight);
        assert_eq!(refused, sends);
    }
}

#[test]
fn copies_that_refuse_each_other_leave_no_claim_behind() {
    let mut cluster = Cluster::new(9, "pooled", 3);
    let calls = [cluster.harnesses[0].begin(&copy()), cluster.harnesses[1].begin(&copy())];
    cluster.deliver();
    let refused = (0..2).filter(|n| cluster.harnesses[*n].refusal(calls[*n]).is_some()).count();
    let running: Vec<_> = (0..2).flat_map(|n| cluster.harnesses[n].drain_attempts()).collect();
    assert!(running.len() <= 1);
    assert_eq!(refused + running.len(), 2);
    if running.is_empty() {
        cluster.copy(2);
        cluster.harnesses[2].expect_attempt();
    }
}

#[test]
fn an_isolated_gate_refuses_requests_that_need_a_claim() {
    for gate in 0..9 {
        let mut cluster = Cluster::new(9, "pooled", 3);
        cluster.lost = (0..9).filter(|other| *other != gate).collect();
        let call = cluster.copy(gate);
        cluster.advance(MS * 100);
        assert_eq!(cluster.harnesses[gate].refusal(call), Some(ErrorKind::ClaimUnanswered));
    }
}

#[test]
fn copies_on_both_sides_of_a_partition_do_not_both_run() {
    for gate in 1..9 {
        let mut cluster = Cluster::new(9, "pooled", 3);
        cluster.lost = vec![0];
        let cut_off = cluster.copy(0);
        cluster.copy(gate);
        cluster.advance(MS * 100);
        assert!(cluster.harnesses[0].drain_attempts().is_empty());
        assert_eq!(cluster.harnesses[0].refusal(cut_off), Some(ErrorKind::ClaimUnanswered));
    }
}

#[test]
fn a_gate_without_a_gate_list_refuses_requests_that_need_a_claim() {
    let mut harness = GateHarness::without_gate_list(1);
    let text = document("pooled", 3).into_bytes();
    harness.apply(ItemKey::Document(service()), text);
    let call = harness.begin(&copy());
    assert_eq!(harness.refusal(call), Some(ErrorKind::ClaimUnanswered));
}

/// A network between gates that delays each datagram by a few milliseconds at random.
struct Network {
    cluster: Cluster,
    rng: SmallRng,
    in_transit: Vec<(u64, usize, usize, PeerMessage)>,
    millis: u64,
}

impl Network {
    /// Advances by one millisecond: delivers the due datagrams and sends the new ones.
    fn step(&mut self) {
        self.millis += 1;
        let millis = self.millis;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= millis);
        self.in_transit = rest;
        for (_, from, to, message) in due {
            if !self.cluster.lost.contains(&from) && !self.cluster.lost.contains(&to) {
                let harness = &mut self.cluster.harnesses[to];
                harness.gate.handle_peer_message(
                    harness.now,
                    node(from as u8 + 1),
                    message,
                    &mut harness.out,
                );
            }
        }
        for from in 0..self.cluster.harnesses.len() {
            self.cluster.harnesses[from].advance(MS);
            for (to, message) in self.cluster.harnesses[from].drain_datagrams() {
                let to = (0..9).find(|n| peer_address(*n as u8 + 1) == to).unwrap();
                let at = self.millis + self.rng.random_range(1..8);
                self.in_transit.push((at, from, to, message));
            }
        }
    }
}

#[test]
fn copies_never_overlap_under_reordered_datagrams_and_the_loss_of_a_gate() {
    let mut runs = 0;
    for seed in 0..150 {
        let cluster = Cluster::new(5, "pooled", 3);
        let rng = SmallRng::seed_from_u64(seed);
        let mut net = Network { cluster, rng, in_transit: Vec::new(), millis: 0 };
        let lost_at = net.rng.random_range(0..400);
        // Attempts that may still run: gate, attempt, and the step of the request's deadline.
        let mut open: Vec<(usize, Sent, u64)> = Vec::new();
        for step in 0..1_000_u64 {
            if step == lost_at {
                net.cluster.lost.push(net.rng.random_range(0..5));
            }
            if step == lost_at + 100 {
                let up: Vec<u8> =
                    (1..=5).filter(|n| usize::from(*n) != net.cluster.lost[0] + 1).collect();
                for harness in &mut net.cluster.harnesses {
                    harness.gate.set_gates(harness.now, &peer_list(&up), &mut harness.out);
                }
            }
            let gate = net.rng.random_range(0..5);
            if !net.cluster.lost.contains(&gate) && net.rng.random_ratio(1, 10) {
                net.cluster.harnesses[gate].begin(&copy());
            }
            net.step();
            open.retain(|(.., until)| *until > step);
            for gate in (0..5).filter(|gate| !net.cluster.lost.contains(gate)).collect::<Vec<_>>() {
                for sent in net.cluster.harnesses[gate].drain_attempts() {
                    if net.cluster.harnesses[gate].may_send(sent) {
                        assert!(
                            open.is_empty(),
                            "a copy was sent while {open:?} may run, seed {seed}"
                        );
                        open.push((gate, sent, step + 2_000));
                        runs += 1;
                    }
                }
            }
            if let Some((gate, sent, _)) = open.first().copied()
                && !net.cluster.lost.contains(&gate)
                && net.rng.random_ratio(1, 20)
            {
                net.cluster.harnesses[gate].complete(sent);
                open.clear();
            }
        }
    }
    assert!(runs > 150, "{runs} runs");
}
