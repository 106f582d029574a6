use std::collections::VecDeque;
use std::time::Duration;

use bay_load::{Permit, Pool, Ticket};
use bay_time::Time;
use bay_types::{CustomerName, NodeId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::network::{Event, Schedule};
use super::simple::SimpleGate;
use super::target::FakeTarget;
use super::{Policy, Report, Scenario, Site};

/// Time limit of a request, counted from its arrival.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a zone that was taken out of service must get no new attempt.
const ZONE_GRACE: Duration = Duration::from_secs(2);

/// Number of customers of the service.
const CUSTOMERS: usize = 10;

/// Runs a scenario; equal scenarios give equal reports.
pub fn run(scenario: &Scenario) -> Report {
    let mut sim = Sim::new(scenario.clone());
    sim.schedule_faults();
    sim.start_lending();
    let end = Time::ZERO + scenario.end();
    while let Some((now, event)) = sim.schedule.pop() {
        if now > end {
            break;
        }
        sim.now = now;
        sim.handle_event(event);
    }
    sim.report.state_bytes = sim.pools.iter().map(|pool| pool.state_bytes()).max().unwrap_or(0);
    sim.report
}

/// State of a run.
#[derive(Debug)]
pub(super) struct Sim {
    pub(super) scenario: Scenario,
    pub(super) now: Time,
    pub(super) schedule: Schedule,
    pub(super) targets: Vec<FakeTarget>,
    pub(super) requests: Vec<Request>,
    pub(super) attempts: Vec<Attempt>,
    /// Gates under the policies without lending.
    pub(super) simple_gates: Vec<SimpleGate>,
    /// Pools of the gates under the lending policy; empty under the others.
    pub(super) pools: Vec<Pool>,
    /// Time of the next scheduled tick, by gate.
    pub(super) next_ticks: Vec<Option<Time>>,
    pub(super) is_gate_up: Vec<bool>,
    /// Queued requests under the central policy.
    pub(super) central_queue: VecDeque<usize>,
    /// Slots in use under the central policy, by target.
    pub(super) reserved_slots: Vec<usize>,
    pub(super) report: Report,
    /// Random numbers of arrivals and service times. A seed gives every policy the same sequence,
    /// but each attempt draws from it, so policies that send other attempts use it differently.
    pub(super) work_rng: SmallRng,
    /// Random numbers of the policies.
    pub(super) rng: SmallRng,
    /// Time of the last change of a zone.
    pub(super) zone_changed_at: Option<Time>,
    /// Index from which the next stragglers are counted, modulo the number of targets.
    pub(super) straggler_offset: usize,
}

/// A request of a caller.
#[derive(Debug)]
pub(super) struct Request {
    /// Gate that the caller sent the request to.
    pub(super) gate: usize,
    /// Gate that sends the attempts.
    pub(super) serving_gate: usize,
    pub(super) arrived_at: Time,
    pub(super) customer: usize,
    /// Place in the queue of the gate's pool while the request waits there.
    pub(super) ticket: Option<Ticket>,
    /// Attempts so far, or failed ones under the lending and forward policies.
    pub(super) tries: u32,
    pub(super) attempts: Vec<usize>,
    pub(super) is_ended: bool,
}

/// An attempt of a request at a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) sent_at: Time,
    pub(super) permit: Option<Permit>,
    pub(super) is_over: bool,
}

impl Sim {
    fn new(scenario: Scenario) -> Sim {
        let site = scenario.site;
        let targets: Vec<_> = (0..site.targets).map(|t| FakeTarget::new(site.zone_of(t))).collect();
        let simple_gates = (0..site.gates).map(|_| SimpleGate::new(&site)).collect();
        Sim {
            now: Time::ZERO,
            schedule: Schedule::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
            simple_gates,
            pools: Vec::new(),
            next_ticks: vec![None; site.gates],
            is_gate_up: vec![true; site.gates],
            central_queue: VecDeque::new(),
            reserved_slots: vec![0; targets.len()],
            targets,
            report: Report::new(scenario.end()),
            work_rng: SmallRng::seed_from_u64(scenario.seed),
            rng: SmallRng::seed_from_u64(!scenario.seed),
            zone_changed_at: None,
            straggler_offset: 0,
            scenario,
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.start_request(),
            Event::RetryRequest { request } => self.retry_refused(request),
            Event::AttemptAtTarget { attempt } => self.start_attempt(attempt),
            Event::AttemptFinished { attempt } => self.finish_attempt(attempt),
            Event::ResultAtGate { attempt, outcome } => self.handle_result(attempt, outcome),
            Event::CancelAtTarget { attempt } => self.cancel_at_target(attempt),
            Event::ForwardedRequest { request } => self.handle_forwarded(request),
            Event::ForwardedAnswer { request } => self.record_answer(request),
            Event::Message { to, from, message } => self.deliver_message(to, from, message),
            Event::Tick { gate } => self.tick_pool(gate),
            Event::PickAgain { request } => self.pick_again(request),
            Event::HedgeDue { request } => self.start_hedge(request),
            Event::MoveStragglers => self.move_stragglers(),
            Event::ZoneChange { zone, is_in } => self.set_zone_in_service(zone, is_in),
            Event::ZoneChangeAtGate { gate } => self.set_pool_targets(gate),
            Event::ColdStart { index } => self.start_cold(index),
            Event::GateLoss { gate } => self.is_gate_up[gate] = false,
            Event::GateLossDetected { gate } => self.update_pool_gates(gate),
        }
    }

    fn start_request(&mut self) {
        let gap = -(1.0 - self.work_rng.random::<f64>()).ln() / self.scenario.rate();
        self.schedule.push(self.now + Duration::from_secs_f64(gap), Event::NewRequest);
        let gate = self.draw_gate();
        let customer = self.draw_customer();
        let request = Request {
            gate,
            serving_gate: gate,
            arrived_at: self.now,
            customer,
            ticket: None,
            tries: 0,
            attempts: Vec::new(),
            is_ended: false,
        };
        self.requests.push(request);
        self.update_report(|report| report.offered += 1);
        if customer > 0 {
            self.update_report(|report| report.light_offered += 1);
        }
        self.dispatch(self.requests.len() - 1);
    }

    /// Sends a refused request again as a new one, to a newly drawn gate.
    fn retry_refused(&mut self, request: usize) {
        self.requests[request].gate = self.draw_gate();
        self.requests[request].arrived_at = self.now;
        self.requests[request].is_ended = false;
        self.requests[request].ticket = None;
        self.requests[request].tries = 0;
        self.requests[request].attempts.clear();
        self.update_report(|report| report.offered += 1);
        self.dispatch(request);
    }

    fn draw_gate(&mut self) -> usize {
        loop {
            let gate = self.work_rng.random_range(0..self.scenario.site.gates);
            if self.is_gate_up[gate] {
                return gate;
            }
        }
    }

    fn draw_customer(&mut self) -> usize {
        if self.scenario.heavy_customer && self.work_rng.random_bool(0.5) {
            return 0;
        }
        self.work_rng.random_range(0..CUSTOMERS)
    }

    fn dispatch(&mut self, request: usize) {
        match self.scenario.policy {
            Policy::Lending => self.lending_begin(request),
            Policy::Central => self.central_begin(request),
            Policy::Forward => self.forward_begin(request),
            _ => self.simple_begin(request),
        }
    }

    /// Sends a request to a target.
    pub(super) fn send_attempt(
        &mut self,
        request: usize,
        target: usize,
        permit: Option<Permit>,
    ) -> usize {
        let attempt = self.attempts.len();
        let sent_at = self.now;
        self.attempts.push(Attempt { request, target, sent_at, permit, is_over: false });
        self.requests[request].attempts.push(attempt);
        if !self.targets[target].in_service
            && self.zone_changed_at.is_some_and(|since| sent_at.since(since) > ZONE_GRACE)
        {
            self.report.sent_out_of_service += 1;
        }
        let at = sent_at + self.target_delay(self.requests[request].serving_gate, target);
        self.schedule.push(at, Event::AttemptAtTarget { attempt });
        attempt
    }

    pub(super) fn target_delay(&self, gate: usize, target: usize) -> Duration {
        let site = self.scenario.site;
        site.delay(site.zone_of(gate), self.targets[target].zone)
    }

    pub(super) fn gate_delay(&self, from: usize, to: usize) -> Duration {
        let site = self.scenario.site;
        site.delay(site.zone_of(from), site.zone_of(to))
    }

    /// Counts a request as answered unless it has ended.
    pub(super) fn record_answer(&mut self, request: usize) {
        let request = &mut self.requests[request];
        if request.is_ended {
            return;
        }
        request.is_ended = true;
        let latency = self.now.since(request.arrived_at);
        let heavy = request.customer == 0;
        let tenth = (self.now.as_nanos() / 100_000_000) as usize;
        self.report.answered_by_tenth[tenth] += 1;
        self.update_report(|report| {
            report.answered += 1;
            report.latency_sum += latency;
            report.latency.saturating_record(latency.as_micros() as u64);
            report.heavy_answered += u64::from(heavy);
            report.light_answered += u64::from(!heavy);
        });
    }

    /// Counts a request as refused; its caller may retry after `retry_after`.
    pub(super) fn record_refusal(&mut self, request: usize, retry_after: Duration) {
        self.requests[request].is_ended = true;
        self.update_report(|report| {
            report.refused += 1;
            report.retry_after_ms.saturating_record(retry_after.as_millis() as u64);
        });
        if self.scenario.callers_retry {
            self.schedule.push(self.now + retry_after, Event::RetryRequest { request });
        }
    }

    /// Updates the report unless the settling time still runs.
    pub(super) fn update_report<F>(&mut self, count: F)
    where
        F: FnOnce(&mut Report),
    {
        if self.now >= Time::ZERO + self.scenario.settling_time {
            count(&mut self.report);
        }
    }

    pub(super) fn count_message(&mut self, bytes: usize) {
        self.update_report(|report| {
            report.messages += 1;
            report.message_bytes += bytes as u64;
        });
    }

    pub(super) fn customer_name(customer: usize) -> CustomerName {
        let name = format!("customer-{customer}");
        CustomerName::new(&name).expect("letters, a hyphen and digits are a name")
    }

    pub(super) fn node_id(gate: usize) -> NodeId {
        NodeId(gate as u64 + 1)
    }

    pub(super) fn deadline(&self, request: usize) -> Time {
        self.requests[request].arrived_at + REQUEST_TIMEOUT
    }

    pub(super) fn is_in_service(&self, target: usize) -> bool {
        self.targets[target].in_service
    }

    pub(super) fn slots_per_target() -> usize {
        Site::SLOTS as usize
    }
}
