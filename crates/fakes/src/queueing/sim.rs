use std::collections::VecDeque;
use std::time::Duration;

use bay_load::{Permit, Pool, Seen, Ticket};
use bay_time::Time;
use bay_types::{CustomerName, NodeId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::network::{Event, Schedule};
use super::simple::SimpleGate;
use super::target::FakeTarget;
use super::{Policy, Report, Scenario, Site};

/// Part of the mean service time that each request takes at least.
const FIXED_SERVICE: f64 = 0.4;

/// Time in which a request has to be answered.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Time until the gates hear of a zone, at most.
const ZONE_SPREAD: Duration = Duration::from_secs(1);

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
    work_rng: SmallRng,
    /// Draws the policies' own choices.
    pub(super) rng: SmallRng,
    out_since: Option<Time>,
    straggler_turn: usize,
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

    fn schedule_faults(&mut self) {
        self.schedule.push(Time::ZERO, Event::Arrive);
        if self.scenario.stragglers.is_some() {
            self.schedule.push(Time::ZERO, Event::MoveStragglers);
        }
        if let Some(out) = self.scenario.zone_out.clone() {
            let zone = out.zone;
            self.schedule.push(Time::ZERO + out.span.start, Event::Zone { zone, is_in: false });
            self.schedule.push(Time::ZERO + out.span.end, Event::Zone { zone, is_in: true });
        }
        for (index, cold) in self.scenario.cold_starts.iter().enumerate() {
            self.schedule.push(Time::ZERO + cold.at, Event::ColdStart { index });
        }
        if let Some(loss) = self.scenario.gate_loss {
            let at = Time::ZERO + loss.at;
            self.schedule.push(at, Event::GateLost { gate: loss.gate });
            self.schedule.push(at + loss.known_after, Event::LossKnown { gate: loss.gate });
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

    fn at_target(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.count(|report| report.attempts += 1);
        let service = self.draw_service();
        let Attempt { target, sent, .. } = self.attempts[attempt];
        let now = self.now;
        match self.targets[target].admit(now, attempt) {
            Ok(()) => {
                let running = self.targets[target].running.len();
                self.report.most_running = self.report.most_running.max(running);
                let slow = self.draw_delay(target);
                self.schedule.push(now + service + slow, Event::Finish { attempt });
            }
            Err(reason) => {
                self.count_excess(target, sent);
                self.reply(attempt, Seen::NotRun(reason));
                if self.targets[target].falls_over(now) {
                    self.restart(target, true);
                }
            }
        }
    }

    fn count_excess(&mut self, target: usize, sent: Time) {
        let now = self.now;
        let told_after = self.scenario.site.one_way * 2;
        let target = &self.targets[target];
        let told = target.revealed.is_some_and(|at| sent > at + told_after);
        let cold = target.cold(now);
        self.count(|report| {
            report.excess += 1;
            report.cold_excess += u64::from(cold);
            report.cold_excess_told += u64::from(cold && told);
        });
    }

    fn draw_service(&mut self) -> Duration {
        let exponential = -(1.0 - self.work_rng.random::<f64>()).ln();
        let parts = FIXED_SERVICE + (1.0 - FIXED_SERVICE) * exponential;
        self.scenario.service.mul_f64(parts)
    }

    fn draw_delay(&mut self, target: usize) -> Duration {
        let part = self.work_rng.random_range(0.33..1.0);
        self.targets[target].delay.map_or(Duration::ZERO, |delay| delay.mul_f64(part))
    }

    fn finish(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        let running = &mut self.targets[target].running;
        let Some(place) = running.iter().position(|a| *a == attempt) else {
            return;
        };
        running.swap_remove(place);
        self.reply(attempt, Seen::Answered);
        if self.scenario.policy == Policy::Central {
            self.central_free(target);
        }
    }

    fn reply(&mut self, attempt: usize, seen: Seen) {
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].via, target);
        self.schedule.push(at, Event::AtGate { attempt, seen });
    }

    fn at_gate(&mut self, attempt: usize, seen: Seen) {
        let target = self.attempts[attempt].target;
        if self.attempts[attempt].over {
            return;
        }
        if seen != Seen::Answered && self.targets[target].cold(self.now) {
            self.targets[target].revealed.get_or_insert(self.now);
        }
        self.attempts[attempt].over = true;
        match self.scenario.policy {
            Policy::Lending => self.lending_reply(attempt, seen),
            Policy::Central => self.answered(self.attempts[attempt].request),
            Policy::Forward => self.forward_reply(attempt, seen),
            _ => self.simple_reply(attempt, seen),
        }
    }

    /// Gives an attempt up and tells the target.
    pub(super) fn cancel(&mut self, attempt: usize) {
        self.attempts[attempt].over = true;
        let Attempt { request, target, .. } = self.attempts[attempt];
        let at = self.now + self.target_delay(self.requests[request].via, target);
        self.schedule.push(at, Event::CancelAtTarget { attempt });
    }

    fn cancel_at_target(&mut self, attempt: usize) {
        let target = self.attempts[attempt].target;
        self.targets[target].running.retain(|a| *a != attempt);
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
        self.report.done_by_tenth[tenth] += 1;
        self.count(|report| {
            report.done += 1;
            report.latency_sum += latency;
            report.latency.saturating_record(latency.as_micros() as u64);
            report.heavy_done += u64::from(heavy);
            report.light_done += u64::from(!heavy);
        });
    }

    /// Counts a request as refused; its caller may come back.
    pub(super) fn refused(&mut self, request: usize, retry_after: Duration) {
        self.requests[request].ended = true;
        self.count(|report| {
            report.refused += 1;
            report.return_after.saturating_record(retry_after.as_millis() as u64);
        });
        if self.scenario.callers_return {
            self.schedule.push(self.now + retry_after, Event::Return { request });
        }
    }

    fn count<F>(&mut self, count: F)
    where
        F: FnOnce(&mut Report),
    {
        if self.now >= Time::ZERO + self.scenario.settle {
            count(&mut self.report);
        }
    }

    pub(super) fn count_message(&mut self, bytes: usize) {
        self.count(|report| {
            report.messages += 1;
            report.message_bytes += bytes as u64;
        });
    }

    fn move_stragglers(&mut self) {
        let Some(stragglers) = self.scenario.stragglers else {
            return;
        };
        let count = self.targets.len();
        let mean = count as f64 / stragglers.one_in as f64;
        let one_more = self.rng.random_bool(mean.fract());
        let slow = mean as usize + usize::from(one_more);
        for target in &mut self.targets {
            target.delay = None;
        }
        for i in 0..slow {
            let target = (self.straggler_turn + i * stragglers.one_in) % count;
            self.targets[target].delay = Some(stragglers.delay);
        }
        self.straggler_turn += 1;
        self.schedule.push(self.now + stragglers.span, Event::MoveStragglers);
    }

    fn zone(&mut self, zone: usize, is_in: bool) {
        let now = self.now;
        self.out_since = Some(now);
        for target in 0..self.targets.len() {
            if self.targets[target].zone != zone {
                continue;
            }
            self.targets[target].in_service = is_in;
            if is_in {
                self.targets[target].turn_cold(now, true);
            }
        }
        for gate in 0..self.scenario.site.gates {
            let after = ZONE_SPREAD.mul_f64(self.rng.random());
            self.schedule.push(now + after, Event::GateHearsZone { gate });
        }
        if self.scenario.policy == Policy::Central {
            self.central_serve();
        }
    }

    fn cold_start(&mut self, index: usize) {
        let cold = self.scenario.cold_starts[index];
        self.restart(cold.target, cold.announced);
    }

    fn restart(&mut self, target: usize, announced: bool) {
        for attempt in self.targets[target].restart(self.now, announced) {
            self.reply(attempt, Seen::Failed);
        }
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
