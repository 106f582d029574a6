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

/// Limit of retries of a request.
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
            node: Sim::node_id(gate),
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
        let up = (0..site.gates).filter(|g| self.is_gate_up[*g]);
        let gates: Vec<GateAddress> = up
            .map(|g| GateAddress {
                node: Sim::node_id(g),
                zone: Site::zone(site.zone_of(g)),
                address: ([10, 1, 0, g as u8], 70).into(),
            })
            .collect();
        self.pools[gate].set_gates(self.now, &gates);
        self.update_pool(gate);
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
        self.update_pool(gate);
    }

    pub(super) fn lending_begin(&mut self, request: usize) {
        self.requests[request].serving_gate = self.requests[request].gate;
        self.lending_pick(request, Purpose::First);
        self.update_pool(self.requests[request].gate);
    }

    fn lending_pick(&mut self, request: usize, purpose: Purpose) {
        let gate = self.requests[request].gate;
        let exclude = self.tried_targets(request);
        let deadline = self.deadline(request);
        let state = &self.requests[request];
        let pick = PickRequest {
            exclude: &exclude,
            customer: Some(Sim::customer_name(state.customer)),
            purpose,
            ticket: state.ticket,
            ..PickRequest::new(deadline)
        };
        match self.pools[gate].pick(self.now, &pick) {
            PickResult::Granted(permit) => {
                self.requests[request].ticket = None;
                let target = target_index(permit.address());
                let is_trial = permit.is_trial();
                self.send_attempt(request, target, Some(permit));
                if purpose == Purpose::Hedge {
                    self.report.hedges += 1;
                } else if let Some(after) = self.pools[gate].hedge_delay() {
                    let after = if is_trial { Duration::ZERO } else { after };
                    self.schedule.push(self.now + after, Event::HedgeDue { request });
                }
            }
            PickResult::Queued { ticket, until } => {
                self.requests[request].ticket = Some(ticket);
                self.schedule.push(until, Event::PickAgain { request });
            }
            PickResult::Refused { .. } if purpose == Purpose::Hedge => {
                if let Some(after) = self.pools[gate].hedge_delay() {
                    self.schedule.push(self.now + after / 4, Event::HedgeDue { request });
                }
            }
            PickResult::Refused { retry_after, .. } => self.record_refusal(request, retry_after),
        }
    }

    fn tried_targets(&self, request: usize) -> Vec<TargetId> {
        let attempts = self.requests[request].attempts.iter();
        attempts.filter_map(|a| self.attempts[*a].permit.as_ref().map(|p| p.target())).collect()
    }

    pub(super) fn pick_again(&mut self, request: usize) {
        if self.requests[request].is_ended || self.requests[request].ticket.is_none() {
            return;
        }
        self.lending_pick(request, Purpose::First);
        self.update_pool(self.requests[request].gate);
    }

    pub(super) fn start_hedge(&mut self, request: usize) {
        let state = &self.requests[request];
        let running_count = state.attempts.iter().filter(|a| !self.attempts[**a].is_over).count();
        if state.is_ended || running_count != 1 {
            return;
        }
        self.lending_pick(request, Purpose::Hedge);
        self.update_pool(self.requests[request].gate);
    }

    pub(super) fn lending_reply(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let request = self.attempts[attempt].request;
        let gate = self.requests[request].gate;
        self.end_attempt(attempt, outcome);
        if outcome == AttemptOutcome::Answered {
            for other in self.requests[request].attempts.clone() {
                if !self.attempts[other].is_over {
                    self.cancel_attempt(other);
                    self.end_attempt(other, AttemptOutcome::Cancelled);
                }
            }
            self.record_answer(request);
        } else if !self.requests[request].is_ended {
            self.retry_attempt(request);
        }
        self.update_pool(gate);
    }

    fn retry_attempt(&mut self, request: usize) {
        let gate = self.requests[request].gate;
        let is_running = self.requests[request].attempts.iter().any(|a| !self.attempts[*a].is_over);
        if is_running {
            return;
        }
        self.requests[request].tries += 1;
        let is_allowed = self.requests[request].tries <= MAX_RETRIES
            && self.pools[gate].try_spend_retry(self.now);
        if is_allowed {
            self.lending_pick(request, Purpose::Retry);
        } else {
            self.record_refusal(request, Duration::from_secs(1));
        }
    }

    fn end_attempt(&mut self, attempt: usize, outcome: AttemptOutcome) {
        let Some(permit) = self.attempts[attempt].permit.take() else {
            return;
        };
        let gate = self.requests[self.attempts[attempt].request].gate;
        let latency = self.now.since(self.attempts[attempt].sent_at);
        let observation = Observation { latency, outcome, reported: None };
        let target = permit.target();
        drop(permit);
        self.pools[gate].observe(self.now, target, observation);
    }

    pub(super) fn deliver_message(&mut self, to: usize, from: NodeId, message: LoadMessage) {
        if !self.is_gate_up[to] {
            return;
        }
        let mut out = Vec::new();
        self.pools[to].handle_message(self.now, from, message, &mut out);
        self.send_messages(to, out);
        self.update_pool(to);
    }

    pub(super) fn tick_pool(&mut self, gate: usize) {
        if self.next_ticks[gate] == Some(self.now) {
            self.next_ticks[gate] = None;
            self.update_pool(gate);
        }
    }

    /// Picks targets for the queued requests whose turn has come, sends the messages of the pool and
    /// schedules its next tick.
    fn update_pool(&mut self, gate: usize) {
        if !self.is_gate_up[gate] {
            return;
        }
        let mut out = Vec::new();
        self.pools[gate].tick(self.now, &mut out);
        while let Some(ticket) = self.pools[gate].pop_ready(self.now) {
            // Queued requests are among the latest, so the search starts at the end.
            let is_waiting =
                |r: &Request| r.gate == gate && r.ticket == Some(ticket) && !r.is_ended;
            if let Some(request) = self.requests.iter().rposition(is_waiting) {
                self.lending_pick(request, Purpose::First);
            }
        }
        self.pools[gate].tick(self.now, &mut out);
        self.send_messages(gate, out);
        self.schedule_tick(gate);
    }

    fn schedule_tick(&mut self, gate: usize) {
        let Some(at) = self.pools[gate].next_deadline() else {
            return;
        };
        let at = at.max(self.now);
        if self.next_ticks[gate].is_none_or(|set| set > at || set < self.now) {
            self.next_ticks[gate] = Some(at);
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
            self.schedule.push(at, Event::Message { to, from: Sim::node_id(from), message });
        }
    }

    pub(super) fn update_pool_gates(&mut self, _gate: usize) {
        for gate in 0..self.pools.len() {
            if self.is_gate_up[gate] {
                self.set_pool_gates(gate);
            }
        }
    }
}

/// Returns the index of the target with this `Site::address`.
fn target_index(address: std::net::SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => {
            let [.., high, low] = ip.octets();
            usize::from(high) << 8 | usize::from(low)
        }
        std::net::IpAddr::V6(_) => usize::MAX,
    }
}
