use std::time::Duration;

use bay_call::{Action, CallId, ClaimTable, Claimant, Counter};
use bay_time::Time;
use bay_types::{ErrorKind, NodeId};
use bay_wire::{ClaimVerdict, PeerMessage};

use crate::Gate;
use crate::bounds::{CLAIM_RESEND_DELAY, MAX_CLAIM_WAIT, MAX_DUPLICATE_RETRY_AFTER};
use crate::gate::call_key;
use crate::pending_call::{PendingClaim, Phase};

impl Gate {
    /// Claims the exclusive right to run a request with an idempotency key, at this gate and at the
    /// key's home gates.
    pub(crate) fn start_claim(
        &mut self,
        now: Time,
        id: CallId,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        let hold = self.calls[call_key(id)].call.deadline().since(now);
        let claimant = self.claimant(id);
        match self.claims.claim(now, digest, claimant, hold) {
            ClaimVerdict::Granted => self.claim_from_homes(now, id, digest, out),
            ClaimVerdict::Held { for_ms } => self.refuse_duplicate(now, id, for_ms, out),
        }
    }

    /// Sends the claim to the home gates, or places the request if this gate is the only home.
    fn claim_from_homes(&mut self, now: Time, id: CallId, digest: u64, out: &mut Vec<Action>) {
        if !self.gates_known {
            return self.refuse(now, id, ErrorKind::ClaimUnanswered, None, out);
        }
        let unanswered = self.remote_claim_homes(digest);
        if unanswered.iter().all(Option::is_none) {
            self.set_phase(id, Phase::Placing);
            return self.place(now, id, out);
        }
        let resend_at = Some(now + CLAIM_RESEND_DELAY);
        let claim = PendingClaim { unanswered, grants: 0, resend_at, until: now + MAX_CLAIM_WAIT };
        self.send_claim(now, id, digest, unanswered, out);
        self.start_waiting(now, id, Phase::Claiming(claim), out);
    }

    /// Sends a claim again, or stops waiting for the home gates that did not reply.
    pub(crate) fn handle_claim_timer(
        &mut self,
        now: Time,
        id: CallId,
        mut claim: PendingClaim,
        out: &mut Vec<Action>,
    ) {
        if now >= claim.until {
            return self.finish_claim(now, id, claim, out);
        }
        claim.resend_at = None;
        self.set_phase(id, Phase::Claiming(claim));
        if let Some(digest) = self.calls[call_key(id)].claim_digest {
            self.send_claim(now, id, digest, claim.unanswered, out);
        }
    }

    /// Handles another gate's reply to a claim.
    pub(crate) fn handle_claim_reply(
        &mut self,
        now: Time,
        from: NodeId,
        id: CallId,
        digest: u64,
        verdict: ClaimVerdict,
        out: &mut Vec<Action>,
    ) {
        let Some(pending) =
            self.calls.get(call_key(id)).filter(|call| call.claim_digest == Some(digest))
        else {
            return;
        };
        if let ClaimVerdict::Held { for_ms } = verdict {
            // A refusal that arrives after the wait still counts if nothing was sent.
            if !pending.call.may_have_run() {
                self.refuse_duplicate(now, id, for_ms, out);
            }
            return;
        }
        let Phase::Claiming(mut claim) = pending.phase else {
            return;
        };
        let Some(home) = claim.unanswered.iter_mut().find(|home| **home == Some(from)) else {
            return;
        };
        *home = None;
        claim.grants += 1;
        self.set_phase(id, Phase::Claiming(claim));
        if claim.unanswered.iter().all(Option::is_none) {
            self.finish_claim(now, id, claim, out);
        }
    }

    /// Sends the claims of all requests in flight to their home gates after the set of gates
    /// changed.
    pub(crate) fn resend_claims(&mut self, now: Time, out: &mut Vec<Action>) {
        let claimed: Vec<(CallId, u64)> = self
            .calls
            .iter()
            .filter_map(|(key, pending)| Some((crate::gate::call_id(key), pending.claim_digest?)))
            .collect();
        for (id, digest) in claimed {
            if matches!(self.calls[call_key(id)].phase, Phase::Claiming(_)) {
                self.claim_from_homes(now, id, digest, out);
                continue;
            }
            self.send_claim(now, id, digest, self.remote_claim_homes(digest), out);
        }
    }

    /// Releases the claim of a request that cannot be running at a target any more.
    ///
    /// The claim of a request that may still run expires with its deadline instead.
    pub(crate) fn release_claim(
        &mut self,
        now: Time,
        id: CallId,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        let claimant = self.claimant(id);
        self.claims.expire(now);
        self.claims.release(digest, claimant);
        for home in self.claim_homes(digest) {
            self.send_to_peer(home, PeerMessage::Release { digest, call: claimant.call }, out);
        }
    }

    /// Returns the id under which a request holds its claim.
    ///
    /// The seed makes it differ at each start of the process, so that a claim from before a restart
    /// is not mistaken for a current one.
    pub(crate) fn claimant(&self, id: CallId) -> Claimant {
        Claimant { gate: self.config.node, call: id.0 ^ self.config.seed }
    }

    /// Sends a message to another gate, if it is a known live gate.
    pub(crate) fn send_to_peer(&mut self, to: NodeId, message: PeerMessage, out: &mut Vec<Action>) {
        if to == self.config.node {
            return;
        }
        if let Some(gate) = self.gates.get(&to) {
            out.push(Action::SendToPeer { to: gate.address, message });
        }
    }

    /// Places a request whose claim another home gate has granted, or refuses it.
    ///
    /// The gate's own grant is not enough: a gate that is partitioned from the others cannot see
    /// their copies of the request.
    fn finish_claim(&mut self, now: Time, id: CallId, claim: PendingClaim, out: &mut Vec<Action>) {
        if claim.grants == 0 {
            return self.refuse(now, id, ErrorKind::ClaimUnanswered, None, out);
        }
        self.set_phase(id, Phase::Placing);
        self.place(now, id, out);
    }

    /// Refuses a request because another copy of it holds the claim.
    fn refuse_duplicate(&mut self, now: Time, id: CallId, for_ms: u64, out: &mut Vec<Action>) {
        let span = Duration::from_millis(for_ms).min(MAX_DUPLICATE_RETRY_AFTER);
        self.refuse(now, id, ErrorKind::DuplicateInFlight, Some(span), out);
    }

    /// Returns the home gates of a digest among the live gates and this one.
    fn claim_homes(&self, digest: u64) -> Vec<NodeId> {
        let this_gate = self.config.node;
        let others = self.gates.keys().copied().filter(|gate| *gate != this_gate);
        ClaimTable::homes(digest, others.chain([this_gate]))
    }

    /// Returns the home gates of a digest other than this gate.
    fn remote_claim_homes(&self, digest: u64) -> [Option<NodeId>; ClaimTable::HOMES] {
        let mut homes = [None; ClaimTable::HOMES];
        let others = self.claim_homes(digest).into_iter().filter(|home| *home != self.config.node);
        homes.iter_mut().zip(others).for_each(|(slot, home)| *slot = Some(home));
        homes
    }

    fn send_claim(
        &mut self,
        now: Time,
        id: CallId,
        digest: u64,
        homes: [Option<NodeId>; ClaimTable::HOMES],
        out: &mut Vec<Action>,
    ) {
        let hold = self.calls[call_key(id)].call.deadline().since(now);
        let hold_ms = hold.as_millis() as u64 + 1;
        let call = self.claimant(id).call;
        for home in homes.into_iter().flatten() {
            self.count(Counter::ClaimsSent);
            self.send_to_peer(home, PeerMessage::Claim { digest, call, hold_ms }, out);
        }
    }
}
