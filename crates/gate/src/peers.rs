use std::time::Duration;

use bay_call::{Action, CallId, Claimant, Counter};
use bay_time::Time;
use bay_types::NodeId;
use bay_wire::{GateAddress, PeerMessage};

use crate::Gate;
use crate::service::ServiceId;

impl Gate {
    /// Takes the list of the gates that are up; this gate may be among them.
    pub fn set_gates(&mut self, now: Time, gates: &[GateAddress], out: &mut Vec<Action>) {
        self.gates_known = true;
        let before: Vec<NodeId> = self.gates.keys().copied().collect();
        self.gates = gates.iter().map(|gate| (gate.node, *gate)).collect();
        let listed: Vec<GateAddress> = self.gates.values().copied().collect();
        for service in self.services.values_mut() {
            service.pool.set_gates(now, &listed);
        }
        if !before.iter().eq(self.gates.keys()) {
            self.reclaim(now, out);
        }
        self.touched.extend(self.services.keys());
        self.settle(now, out);
    }

    /// Takes a datagram of another gate.
    pub fn on_peer(
        &mut self,
        now: Time,
        from: NodeId,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        if !self.gates.contains_key(&from) || from == self.config.node {
            self.count(Counter::StrangePeers);
            return;
        }
        match message {
            PeerMessage::Load { service, message } => {
                let id = self.names.get(&service).copied();
                if let Some(service) = id.and_then(|id| self.services.get_mut(id)) {
                    let mut messages = Vec::new();
                    service.pool.handle_message(now, from, message, &mut messages);
                    self.touched.extend(id);
                    self.send_loads(id, messages, out);
                }
            }
            PeerMessage::Claim { digest, call, hold_ms } => {
                let by = Claimant { gate: from, call };
                let hold = Duration::from_millis(hold_ms);
                let verdict = self.claims.claim(now, digest, by, hold);
                self.send(from, PeerMessage::ClaimReply { digest, call, verdict }, out);
            }
            PeerMessage::ClaimReply { digest, call, verdict } => {
                let id = CallId(call ^ self.config.seed);
                self.claim_answered(now, from, id, digest, verdict, out);
            }
            PeerMessage::Release { digest, call } => {
                self.claims.release(digest, Claimant { gate: from, call });
            }
            PeerMessage::Quarantine { notices } => self.hear_notices(now, &notices),
        }
        self.settle(now, out);
    }

    /// Sends what a service's pool has to say to other gates.
    pub(crate) fn send_load_messages(&mut self, now: Time, id: ServiceId, out: &mut Vec<Action>) {
        let Some(service) = self.services.get_mut(id) else {
            return;
        };
        let mut messages = Vec::new();
        service.pool.tick(now, &mut messages);
        self.send_loads(Some(id), messages, out);
    }

    fn send_loads(
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
            self.send(to, PeerMessage::Load { service, message }, out);
        }
    }
}
