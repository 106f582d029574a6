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

/// Time in which a request has to be answered.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a zone that was taken out gets no new work.
const ZONE_BOUND: Duration = Duration::from_secs(2);

/// Customers of the service.
const CUSTOMERS: usize = 10;

/// Runs a scenario.
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
        sim.handle(event);
    }
    sim.report.state_bytes = sim.pools.iter().map(|pool| pool.state_bytes()).max().unwrap_or(0);
    sim.report
}

/// The state of a run.
#[derive(Debug)]
pub(super) struct Sim {
    pub(super) scenario: Scenario,
    pub(super) now: Time,
    pub(super) schedule: Schedule,
    pub(super) targets: Vec<FakeTarget>,
    pub(super) requests: Vec<Request>,
    pub(super) attempts: Vec<Attempt>,
    /// Gates of the simple policies.
    pub(super) simple: Vec<SimpleGate>,
    /// Gates that lend and borrow.
    pub(super) pools: Vec<Pool>,
    pub(super) tick_at: Vec<Option<Time>>,
    pub(super) gate_up: Vec<bool>,
    /// The one queue of the clairvoyant policy.
    pub(super) central: VecDeque<usize>,
    /// Slots given out by the clairvoyant policy.
    pub(super) reserved: Vec<usize>,
    pub(super) report: Report,
    /// Draws arrivals and service times, the same for each policy.
    pub(super) work_rng: SmallRng,
    /// Draws the policies' own choices.
    pub(super) rng: SmallRng,
    pub(super) out_since: Option<Time>,
    pub(super) straggler_turn: usize,
}

/// A caller's request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) gate: usize,
    pub(super) via: usize,
    pub(super) arrived: Time,
    pub(super) customer: usize,
    pub(super) ticket: Option<Ticket>,
    pub(super) tries: u32,
    pub(super) attempts: Vec<usize>,
    pub(super) ended: bool,
}

/// A request sent to a target.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) target: usize,
    pub(super) sent: Time,
    pub(super) permit: Option<Permit>,
    pub(super) over: bool,
}

impl Sim {
    fn new(scenario: Scenario) -> Sim {
        let site = scenario.site;
        let targets: Vec<_> = (0..site.targets).map(|t| FakeTarget::new(site.zone_of(t))).collect();
        let simple = (0..site.gates).map(|_| SimpleGate::new(&site)).collect();
        Sim {
            now: Time::ZERO,
            schedule: Schedule::default(),
            requests: Vec::new(),
            attempts: Vec::new(),
            simple,
            pools: Vec::new(),
            tick_at: vec![None; site.gates],
            gate_up: vec![true; site.gates],
            central: VecDeque::new(),
            reserved: vec![0; targets.len()],
            targets,
            report: Report::new(scenario.end()),
            work_rng: SmallRng::seed_from_u64(scenario.seed),
            rng: SmallRng::seed_from_u64(!scenario.seed),
            out_since: None,
            straggler_turn: 0,
            scenario,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Return { request } => self.come_back(request),
            Event::AtTarget { attempt } => self.at_target(attempt),
            Event::Finish { attempt } => self.finish(attempt),
            Event::AtGate { attempt, seen } => self.at_gate(attempt, seen),
            Event::CancelAtTarget { attempt } => self.cancel_at_target(attempt),
            Event::Forwarded { request } => self.forwarded(request),
            Event::ForwardAnswered { request } => self.answered(request),
            Event::Message { to, from, message } => self.deliver(to, from, message),
            Event::Tick { gate } => self.tick(gate),
            Event::AskAgain { request } => self.ask_again(request),
            Event::HedgeDue { request } => self.hedge(request),
            Event::MoveStragglers => self.move_stragglers(),
            Event::Zone { zone, is_in } => self.zone(zone, is_in),
            Event::GateHearsZone { gate } => self.set_pool_targets(gate),
            Event::ColdStart { index } => self.cold_start(index),
            Event::GateLost { gate } => self.gate_up[gate] = false,
            Event::LossKnown { gate } => self.loss_known(gate),
        }
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.work_rng.random::<f64>()).ln() / self.scenario.rate();
        self.schedule.push(self.now + Duration::from_secs_f64(gap), Event::Arrive);
        let gate = self.draw_gate();
        let customer = self.draw_customer();
        let request = Request {
            gate,
            via: gate,
            arrived: self.now,
            customer,
            ticket: None,
            tries: 0,
            attempts: Vec::new(),
            ended: false,
        };
        self.requests.push(request);
        self.count(|report| report.offered += 1);
        if customer > 0 {
            self.count(|report| report.light_offered += 1);
        }
        self.begin(self.requests.len() - 1);
    }

    fn come_back(&mut self, request: usize) {
        self.requests[request].gate = self.draw_gate();
        self.requests[request].arrived = self.now;
        self.requests[request].ended = false;
        self.requests[request].ticket = None;
        self.requests[request].tries = 0;
        self.requests[request].attempts.clear();
        self.count(|report| report.offered += 1);
        self.begin(request);
    }

    fn draw_gate(&mut self) -> usize {
        loop {
            let gate = self.work_rng.random_range(0..self.scenario.site.gates);
            if self.gate_up[gate] {
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

    fn begin(&mut self, request: usize) {
        match self.scenario.policy {
            Policy::Lending => self.lending_begin(request),
            Policy::Central => self.central_begin(request),
            Policy::Forward => self.forward_begin(request),
            _ => self.simple_begin(request),
        }
    }

    /// Sends a request to a target.
    pub(super) fn send(&mut self, request: usize, target: usize, permit: Option<Permit>) -> usize {
        let attempt = self.attempts.len();
        let sent = self.now;
        self.attempts.push(Attempt { request, target, sent, permit, over: false });
        self.requests[request].attempts.push(attempt);
        if !self.targets[target].in_service
            && self.out_since.is_some_and(|since| sent.since(since) > ZONE_BOUND)
        {
            self.report.sent_out_of_service += 1;
        }
        let at = sent + self.target_delay(self.requests[request].via, target);
        self.schedule.push(at, Event::AtTarget { attempt });
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

    /// Counts a request as answered.
    pub(super) fn answered(&mut self, request: usize) {
        let request = &mut self.requests[request];
        if request.ended {
            return;
        }
        request.ended = true;
        let latency = self.now.since(request.arrived);
        let heavy = request.customer == 0;
        let tenth = (self.now.as_nanos() / 100_000_000) as usize;
        self.report.answered_by_tenth[tenth] += 1;
        self.count(|report| {
            report.answered += 1;
            report.latency_sum += latency;
            report.latency.saturating_record(latency.as_micros() as u64);
            report.heavy_answered += u64::from(heavy);
            report.light_answered += u64::from(!heavy);
        });
    }

    /// Counts a request as refused; its caller may come back.
    pub(super) fn refused(&mut self, request: usize, retry_after: Duration) {
        self.requests[request].ended = true;
        self.count(|report| {
            report.refused += 1;
            report.retry_after_ms.saturating_record(retry_after.as_millis() as u64);
        });
        if self.scenario.callers_retry {
            self.schedule.push(self.now + retry_after, Event::Return { request });
        }
    }

    pub(super) fn count<F>(&mut self, count: F)
    where
        F: FnOnce(&mut Report),
    {
        if self.now >= Time::ZERO + self.scenario.settling_time {
            count(&mut self.report);
        }
    }

    pub(super) fn count_message(&mut self, bytes: usize) {
        self.count(|report| {
            report.messages += 1;
            report.message_bytes += bytes as u64;
        });
    }

    pub(super) fn customer_name(customer: usize) -> CustomerName {
        let name = format!("customer-{customer}");
        CustomerName::new(&name).expect("letters, a hyphen and digits are a name")
    }

    pub(super) fn node(gate: usize) -> NodeId {
        NodeId(gate as u64 + 1)
    }

    pub(super) fn deadline(&self, request: usize) -> Time {
        self.requests[request].arrived + TIMEOUT
    }

    pub(super) fn accepting(&self, target: usize) -> bool {
        self.targets[target].in_service
    }

    pub(super) fn slots() -> usize {
        Site::SLOTS as usize
    }
}
