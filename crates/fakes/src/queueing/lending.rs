use std::time::Duration;

use bay_load::{
    AttemptOutcome, LoadOutput, Observation, PickRequest, PickResult, Pool, PoolConfig, Purpose,
    TargetId, TargetLimits, TargetSpec,
};
use bay_time::Time;
use bay_types::{NodeId, ServiceName};
use bay_wire::{GateAddress, LoadMessage, PeerMessage, encode};
use rand::RngExt;

use super::network::Event;
use super::sim::{Request, Sim};
use super::{Policy, Site};

/// Retries of a request at most.
const MAX_RETRIES: u32 = 3;

impl Sim {
    pub(super) fn start_lending(&mut self) {
        if self.scenario.policy != Policy::Lending {
            return;
        }
        for gate in 0..self.scenario.site.gates {
            let pool = Pool::new(self.pool_config(gate), self.now);
            self.pools.push(pool);
            self.set_pool_gates(gate);
            self.set_pool_targets(gate);
        }
    }

    fn pool_config(&self, gate: usize) -> PoolConfig {
        let site = self.scenario.site;
        PoolConfig {
            node: Sim::node(gate),
            zone: Site::zone(site.zone_of(gate)),
            limits: TargetLimits {
                slots: Site::SLOTS,
                connections: site.connections,
                cold_slots: Site::COLD_SLOTS,
                warmup: Site::WARMUP,
            },
            retry_budget: 0.1,
            hedge_budget: 0.05,
            seed: self.scenario.seed ^ gate as u64,
        }
    }

    fn set_pool_gates(&mut self, gate: usize) {
        let site = self.scenario.site;
        let up = (0..site.gates).filter(|g| self.gate_up[*g]);
        let gates: Vec<GateAddress> = up
            .map(|g| GateAddress {
                node: Sim::node(g),
                zone: Site::zone(site.zone_of(g)),
                address: ([10, 1, 0, g as u8], 70).into(),
            })
            .collect();
        self.pools[gate].set_gates(self.now, &gates);
        self.after(gate);
    }

    pub(super) fn set_pool_targets(&mut self, gate: usize) {
        if self.pools.len() <= gate {
            return;
        }
        let targets = self.targets.iter().enumerate();
        let specs: Vec<TargetSpec> = targets
            .map(|(t, target)| TargetSpec {
                address: Site::address(t),
                zone: Site::zone(target.zone),
                in_service: target.in_service,
            })
            .collect();
        self.pools[gate].set_targets(self.now, &specs);
        self.after(gate);
    }

    pub(super) fn lending_begin(&mut self, request: usize) {
        self.requests[request].via = self.requests[request].gate;
        self.lending_pick(request, Purpose::First);
        self.after(self.requests[request].gate);
    }

    fn lending_pick(&mut self, request: usize, purpose: Purpose) {
        let gate = self.requests[request].gate;
        let exclude = self.tried(request);
        let deadline = self.deadline(request);
        let state = &self.requests[request];
        let wanted = PickRequest {
            exclude: &exclude,
            customer: Some(Sim::customer_name(state.customer)),
            purpose,
            ticket: state.ticket,
            ..PickRequest::new(deadline)
        };
        match self.pools[gate].pick(self.now, &wanted) {
            PickResult::Granted(permit) => {
                self.requests[request].ticket = None;
                let target = target_number(permit.address());
                let trial = permit.is_trial();
                self.send(request, target, Some(permit));
                if purpose == Purpose::Hedge {
                    self.report.hedges += 1;
                } else if let Some(after) = self.pools[gate].hedge_delay() {
                    let after = if trial { Duration::ZERO } else { after };
                    self.schedule.push(self.now + after, Event::HedgeDue { request });
                }
            }
            PickResult::Queued { ticket, until } => {
                self.requests[request].ticket = Some(ticket);
                self.schedule.push(until, Event::AskAgain { request });
            }
            PickResult::Refused { .. } if purpose == Purpose::Hedge => {
                if let Some(after) = self.pools[gate].hedge_delay() {
                    self.schedule.push(self.now + after / 4, Event::HedgeDue { request });
                }
            }
            PickResult::Refused { retry_after, .. } => self.refused(request, retry_after),
        }
    }

    fn tried(&self, request: usize) -> Vec<TargetId> {
        let attempts = self.requests[request].attempts.iter();
        attempts.filter_map(|a| self.attempts[*a].permit.as_ref().map(|p| p.target())).collect()
    }

    pub(super) fn ask_again(&mut self, request: usize) {
        if self.requests[request].ended || self.requests[request].ticket.is_none() {
            return;
        }
        self.lending_pick(request, Purpose::First);
        self.after(self.requests[request].gate);
    }

    pub(super) fn hedge(&mut self, request: usize) {
        let state = &self.requests[request];
        let running = state.attempts.iter().filter(|a| !self.attempts[**a].over).count();
        if state.ended || running != 1 {
            return;
        }
        self.lending_pick(request, Purpose::Hedge);
        self.after(self.requests[request].gate);
    }

    pub(super) fn lending_reply(&mut self, attempt: usize, seen: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let gate = self.requests[request].gate;
        self.end_attempt(attempt, seen);
        if seen == AttemptOutcome::Answered {
            for other in self.requests[request].attempts.clone() {
                if !self.attempts[other].over {
                    self.cancel(other);
                    self.end_attempt(other, AttemptOutcome::Cancelled);
                }
            }
            self.answered(request);
        } else if !self.requests[request].ended {
            self.retry(request);
        }
        self.after(gate);
    }

    fn retry(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        let running = self.requests[request].attempts.iter().any(|a| !self.attempts[*a].over);
        if running {
            return;
        }
        self.requests[request].tries += 1;
        let allowed = self.requests[request].tries <= MAX_RETRIES
            && self.pools[gate].try_spend_retry(self.now);
        if allowed {
            self.lending_pick(request, Purpose::Retry);
        } else {
            self.refused(request, Duration::from_secs(1));
        }
    }

    fn end_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Some(permit) = self.attempts[attempt].permit.take() else {
            return;
        };
        let gate = self.requests[self.attempts[attempt].request].gate;
        let latency = self.now.since(self.attempts[attempt].sent);
        let seen = Observation { latency, outcome, reported: None };
        let target = permit.target();
        drop(permit);
        self.pools[gate].observe(self.now, target, seen);
    }

    pub(super) fn deliver(&mut self, to: usize, from: NodeId, message: LoadMessage) {
        if !self.gate_up[to] {
            return;
        }
        let mut out = Vec::new();
        self.pools[to].handle_message(self.now, from, message, &mut out);
        self.send_messages(to, out);
        self.after(to);
    }

    pub(super) fn tick(&mut self, gate: usize) {
        if self.tick_at[gate] == Some(self.now) {
            self.tick_at[gate] = None;
            self.after(gate);
        }
    }

    /// Serves what waits at a gate, sends its messages and keeps its next deadline.
    fn after(&mut self, gate: usize) {
        if !self.gate_up[gate] {
            return;
        }
        let mut out = Vec::new();
        self.pools[gate].tick(self.now, &mut out);
        while let Some(ticket) = self.pools[gate].pop_ready(self.now) {
            // Waiting requests are among the latest of a gate.
            let waits = |r: &Request| r.gate == gate && r.ticket == Some(ticket) && !r.ended;
            if let Some(request) = self.requests.iter().rposition(waits) {
                self.lending_pick(request, Purpose::First);
            }
        }
        self.pools[gate].tick(self.now, &mut out);
        self.send_messages(gate, out);
        self.keep_deadline(gate);
    }

    fn keep_deadline(&mut self, gate: usize) {
        let Some(at) = self.pools[gate].next_deadline() else {
            return;
        };
        let at = at.max(self.now);
        if self.tick_at[gate].is_none_or(|set| set > at || set < self.now) {
            self.tick_at[gate] = Some(at);
            self.schedule.push(at, Event::Tick { gate });
        }
    }

    fn send_messages(&mut self, from: usize, out: Vec<LoadOutput>) {
        let service = ServiceName::new("jobs").expect("letters are a name");
        for output in out {
            let to = output.to.0 as usize - 1;
            let message = output.message;
            let datagram = PeerMessage::Load { service, message: message.clone() };
            self.count_message(encode(&datagram).map_or(0, |bytes| bytes.len()));
            if self.rng.random_bool(self.scenario.message_loss) {
                continue;
            }
            let at: Time = self.now + self.gate_delay(from, to);
            self.schedule.push(at, Event::Message { to, from: Sim::node(from), message });
        }
    }

    pub(super) fn loss_known(&mut self, _gate: usize) {
        for gate in 0..self.pools.len() {
            if self.gate_up[gate] {
                self.set_pool_gates(gate);
            }
        }
    }
}

fn target_number(address: std::net::SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}
