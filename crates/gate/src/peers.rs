use std::time::Duration;

use bay_call::{Action, CallId, Claimant, Counter};
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{GateAddress, PeerMessage};

use crate::Gate;
use crate::service::ServiceId;

impl Gate {
    /// Replaces the list of live gates, which may include this gate.
    pub fn set_gates(&mut self, now: Time, gates: &[GateAddress], out: &mut Vec<Action>) {
        self.gates_known = true;
        let previous: Vec<NodeId> = self.gates.keys().copied().collect();
        self.gates = gates.iter().map(|gate| (gate.node, *gate)).collect();
        let listed: Vec<GateAddress> = self.gates.values().copied().collect();
        for service in self.services.values_mut() {
            service.pool.set_gates(now, &listed);
        }
        if !previous.iter().eq(self.gates.keys()) {
            self.resend_claims(now, out);
        }
        self.touched_services.extend(self.services.keys());
        self.run_pending_work(now, out);
    }

    /// Handles a datagram of another gate; one from an unknown host is only counted.
    pub fn handle_peer_message(
        &mut self,
        now: Time,
        from: NodeId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        if !self.gates.contains_key(&from) || from == self.config.node {
            self.count(Counter::UnknownPeers);
            return;
        }
        match message {
            PeerMessage::Load { service, message } => {
                let id = self.services_by_name.get(&service).copied();
                if let Some(service) = id.and_then(|id| self.services.get_mut(id)) {
                    let mut messages = Vec::new();
                    service.pool.handle_message(now, from, message, &mut messages);
                    self.touched_services.extend(id);
                    self.send_pool_messages(id, messages, out);
                }
            }
            PeerMessage::Claim { digest, call, hold_ms } => {
                let claimant = Claimant { gate: from, call };
                let hold = Duration::from_millis(hold_ms);
                let verdict = self.claims.claim(now, digest, claimant, hold);
                self.send_to_peer(from, PeerMessage::ClaimReply { digest, call, verdict }, out);
            }
            PeerMessage::ClaimReply { digest, call, verdict } => {
                let id = CallId(call ^ self.config.seed);
                self.handle_claim_reply(now, from, id, digest, verdict, out);
            }
            PeerMessage::Release { digest, call } => {
                self.claims.release(digest, Claimant { gate: from, call });
            }
            PeerMessage::Quarantine { notices } => self.apply_notices(now, &notices),
        }
        self.run_pending_work(now, out);
    }

    /// Ticks a service's pool and sends its due messages to other gates.
    pub(crate) fn tick_pool(&mut self, now: Time, id: ServiceId, out: &mut Vec<Action>) {
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        let mut messages = Vec::new();
        service.pool.tick(now, &mut messages);
        self.send_pool_messages(Some(id), messages, out);
    }

    /// Sends messages of a service's pool to the pools of the same service at other gates.
    fn send_pool_messages(
        &mut self,
        id: Option<ServiceId>,
        messages: Vec<bay_load::LoadOutput>,
        out: &mut Vec<Action>,
    ) {
        let Some(service) = id.and_then(|id| self.services.get(id)).map(|service| service.name)
        else {
            return;
        };
        for bay_load::LoadOutput { to, message } in messages {
            self.send_to_peer(to, PeerMessage::Load { service, message }, out);
        }
    }
}
