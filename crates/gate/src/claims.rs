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
    /// Asks for the sole right to run a request with an idempotency key.
    pub(crate) fn start_claim(
        &mut self,
        now: Time,
        id: CallId,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        let hold = self.calls[call_key(id)].call.deadline().since(now);
        let by = self.claimant(id);
        match self.claims.claim(now, digest, by, hold) {
            ClaimVerdict::Granted => self.claim_from_homes(now, id, digest, out),
            ClaimVerdict::Held { for_ms } => self.refuse_duplicate(now, id, for_ms, out),
        }
    }

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

    /// Sends a claim again, or goes on without the homes that did not answer.
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

    /// Takes another gate's answer to a claim.
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
            // An answer after the wait still counts as long as nothing was sent.
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

    /// Claims again what is in flight, after the gates have changed.
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

    /// Gives back the claim of a request that cannot be running at a target any more.
    ///
    /// Other claims run out with their request's deadline.
    pub(crate) fn release_claim(
        &mut self,
        now: Time,
        id: CallId,
        digest: u64,
        out: &mut Vec<Action>,
    ) {
        let by = self.claimant(id);
        self.claims.expire(now);
        self.claims.release(digest, by);
        for home in self.claim_homes(digest) {
            self.send_to_peer(home, PeerMessage::Release { digest, call: by.call }, out);
        }
    }

    /// This gate's name for a request towards other gates; it differs at each start of the
    /// process, so that an earlier start's claim is not taken for one of this.
    pub(crate) fn claimant(&self, id: CallId) -> Claimant {
        Claimant { gate: self.config.node, call: id.0 ^ self.config.seed }
    }

    /// Sends a message to another gate, if it is up.
    pub(crate) fn send_to_peer(&mut self, to: NodeId, message: PeerMessage, out: &mut Vec<Action>) {
        if to == self.config.node {
            return;
        }
        if let Some(gate) = self.gates.get(&to) {
            out.push(Action::SendToPeer { to: gate.address, message });
        }
    }

    /// Goes on with a request that some other home has granted.
    ///
    /// The gate's own grant is not enough: cut off from the others, it would not know of their
    /// copies.
    fn finish_claim(&mut self, now: Time, id: CallId, claim: PendingClaim, out: &mut Vec<Action>) {
        if claim.grants == 0 {
            return self.refuse(now, id, ErrorKind::ClaimUnanswered, None, out);
        }
        self.set_phase(id, Phase::Placing);
        self.place(now, id, out);
    }

    fn refuse_duplicate(&mut self, now: Time, id: CallId, for_ms: u64, out: &mut Vec<Action>) {
        let span = Duration::from_millis(for_ms).min(MAX_DUPLICATE_RETRY_AFTER);
        self.refuse(now, id, ErrorKind::DuplicateInFlight, Some(span), out);
    }

    fn claim_homes(&self, digest: u64) -> Vec<NodeId> {
        let me = self.config.node;
        let others = self.gates.keys().copied().filter(|gate| *gate != me);
        ClaimTable::homes(digest, others.chain([me]))
    }

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
