//! A queueing simulation of routers and servers under overload, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use bay_admission::{
    LevelLedger, LocalAdmission, OverloadLevels, OverloadReport, RefusalReason, RequestOutcome,
};
use bay_time::Time;
use bay_types::{ServiceName, Term};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const RANKS: usize = 3;
const SERVERS: usize = 34;
const SLOTS: usize = 2;
const QUEUE: usize = 8;
/// Seconds at the end in which requests arrive that are not finished: the longest deadline.
const UNFINISHED: usize = 3;
/// Mean time of work in milliseconds, share of the offered work, objective and deadline in
/// milliseconds, and value in time and late, by rank.
type Class = (f64, f64, u64, u64, f64, f64);
const CLASSES: [Class; RANKS] = [
    (41.0, 0.25, 400, 1_000, 3.3, 0.39),
    (100.0, 0.35, 500, 1_500, 0.86, 0.2),
    (83.0, 0.4, 2_000, 2_500, 0.43, 0.19),
];

#[derive(Debug, Clone)]
pub struct Scenario {
    pub by_rank: bool,
    /// Offered work relative to the capacity, by second; the last one holds until the end.
    pub loads: Vec<f64>,
    pub seconds: u64,
    pub routers: usize,
    /// Delay of reports and levels in milliseconds; that of router `i` is `i % 2 + 1` times as long.
    pub delay: u64,
    /// When the granter is lost, and when another one starts without any state, in seconds.
    pub granter_lost: Option<(u64, u64)>,
    /// Share of the requests that arrive at the first quarter of the routers.
    pub zone_share: f64,
    pub seed: u64,
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Tally {
    pub offered: f64,
    pub served: f64,
    pub value: f64,
    pub max_value: f64,
    /// Work that was done, in seconds.
    pub work: f64,
    pub refused_by_rank: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Job {
    class: usize,
    router: usize,
    arrived: u64,
    /// Arrival of the first try of the caller.
    first: u64,
    attempts: u32,
}

#[derive(Debug, PartialEq, PartialOrd)]
enum Event {
    Arrival,
    Return(Job),
    End(usize, Job, f64),
    Report(usize),
    Heartbeat,
}

#[derive(Debug, Clone, Default)]
struct Server {
    running: usize,
    queue: VecDeque<Job>,
    speed: f64,
}

/// Events in the order of time, then of creation.
#[derive(Default)]
struct Events(BinaryHeap<Reverse<(u64, u64)>>, std::collections::HashMap<u64, Event>, u64);

impl Events {
    fn push(&mut self, at: u64, event: Event) {
        self.2 += 1;
        self.0.push(Reverse((at, self.2)));
        self.1.insert(self.2, event);
    }

    fn pop(&mut self) -> (u64, Event) {
        let Reverse((at, id)) = self.0.pop().unwrap();
        (at, self.1.remove(&id).unwrap())
    }
}

struct Sim {
    scenario: Scenario,
    rng: SmallRng,
    events: Events,
    servers: Vec<Server>,
    routers: Vec<LocalAdmission>,
    /// Last load report of each server by router: requests at the server, and when.
    known: Vec<Vec<(f64, u64)>>,
    ledger: LevelLedger,
    term: u64,
    /// Messages under way, by time of arrival.
    reports: VecDeque<(u64, OverloadReport)>,
    levels: Vec<VecDeque<(u64, OverloadLevels)>>,
    /// Results by second of the first try and class.
    tallies: Vec<[Tally; RANKS]>,
}

/// Plays a scenario; returns the results by second of arrival and rank.
pub fn play(scenario: &Scenario) -> Vec<[Tally; RANKS]> {
    let mut rng = SmallRng::seed_from_u64(scenario.seed);
    let speed = |_| Server { speed: rng.random_range(0.7..1.6), ..Server::default() };
    let servers: Vec<Server> = (0..SERVERS).map(speed).collect();
    let count = scenario.routers;
    let mut sim = Sim {
        scenario: scenario.clone(),
        rng,
        events: Events::default(),
        servers,
        routers: (0..count).map(|_| LocalAdmission::default()).collect(),
        known: vec![vec![(0.0, 0); SERVERS]; count],
        ledger: LevelLedger::default(),
        term: 1,
        reports: VecDeque::new(),
        levels: vec![VecDeque::new(); count],
        tallies: vec![[Tally::default(); RANKS]; scenario.seconds as usize],
    };
    sim.events.push(0, Event::Arrival);
    (0..count).for_each(|i| sim.events.push(i as u64 * 300_000 / count as u64, Event::Report(i)));
    sim.events.push(0, Event::Heartbeat);
    sim.run();
    sim.tallies
}

/// Adds up the results by rank. In each run of `length` seconds those from second `from` on count,
/// without the last ones.
pub fn total(tallies: &[[Tally; RANKS]], from: usize, length: usize) -> [Tally; RANKS] {
    let mut sums = [Tally::default(); RANKS];
    let last = if length > 1 { length - UNFINISHED } else { length };
    let counted = tallies.chunks(length).flat_map(|run| &run[from..last]);
    for (rank, tally) in counted.flat_map(|second| second.iter().enumerate()) {
        let sum = &mut sums[rank];
        sum.offered += tally.offered;
        sum.served += tally.served;
        sum.value += tally.value;
        sum.max_value += tally.max_value;
        sum.work += tally.work;
        sum.refused_by_rank += tally.refused_by_rank;
    }
    sums
}

fn service() -> ServiceName {
    ServiceName::new("pool").unwrap()
}

impl Sim {
    fn run(&mut self) {
        loop {
            let (now, event) = self.events.pop();
            if now >= self.scenario.seconds * 1_000_000 {
                return;
            }
            match event {
                Event::Arrival => self.arrive(now),
                Event::Return(job) => self.admit(now, Job { arrived: now, attempts: 0, ..job }),
                Event::End(server, job, work) => self.end(now, server, job, work),
                Event::Report(router) => self.report(now, router),
                Event::Heartbeat => self.heartbeat(now),
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        let second = (now / 1_000_000) as usize;
        let loads = &self.scenario.loads;
        let load = loads.get(second).or(loads.last()).unwrap();
        let capacity = self.servers.iter().map(|server| server.speed).sum::<f64>() * SLOTS as f64;
        let rates = CLASSES.map(|(work, share, ..)| load * capacity * share / work * 1_000.0);
        let total: f64 = rates.iter().sum();
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / total;
        self.events.push(now + (gap * 1e6) as u64 + 1, Event::Arrival);
        let mut draw = self.rng.random::<f64>() * total;
        let class = (0..RANKS - 1).find(|class| {
            draw -= rates[*class];
            draw < 0.0
        });
        let class = class.unwrap_or(RANKS - 1);
        let count = self.scenario.routers;
        let zone = count.div_ceil(4);
        let router = match self.rng.random::<f64>() < self.scenario.zone_share {
            true => self.rng.random_range(0..zone),
            false => self.rng.random_range(0..count),
        };
        let tally = &mut self.tallies[second][class];
        tally.offered += 1.0;
        tally.max_value += CLASSES[class].4;
        self.admit(now, Job { class, router, arrived: now, first: now, attempts: 0 });
    }

    fn admit(&mut self, now: u64, job: Job) {
        let phase = self.rng.random::<f64>();
        if self.scenario.by_rank {
            let objective = Duration::from_millis(CLASSES[job.class].2);
            let time = Time::from_nanos(now * 1_000);
            let rank = job.class as u32;
            if !self.routers[job.router].admits(time, service(), rank, objective, phase) {
                self.tallies[(job.first / 1_000_000) as usize][job.class].refused_by_rank += 1.0;
                return self.refuse(now, job);
            }
        }
        self.send(now, job);
    }

    /// Sends a request to the best of four sampled servers, by the router's own knowledge.
    fn send(&mut self, now: u64, job: Job) {
        let (work, _, objective, deadline, ..) = CLASSES[job.class];
        let known = &self.known[job.router];
        let expected = |server: usize| {
            let (requests, at) = known[server];
            let occupancy = requests * 0.5_f64.powf((now - at) as f64 / 400_000.0);
            let queued = (occupancy + 1.0 - SLOTS as f64).max(0.0);
            (work / self.servers[server].speed * (1.0 + queued / SLOTS as f64), occupancy)
        };
        let sampled = rand::seq::index::sample(&mut self.rng, SERVERS, 4);
        let best = sampled.iter().min_by(|a, b| expected(*a).0.total_cmp(&expected(*b).0)).unwrap();
        let (expected_ms, occupancy) = expected(best);
        let left = (job.first + deadline * 1_000).saturating_sub(now) as f64 / 1_000.0;
        let time = Time::from_nanos(now * 1_000);
        let urgent = self.routers[job.router].urgent_objective(time, service(), job.class as u32);
        let urgent = urgent.map_or(f64::MAX, |objective| objective.as_secs_f64() * 1_000.0);
        let urgent = if self.scenario.by_rank { urgent } else { f64::MAX };
        let is_full = occupancy + 1.0 > SLOTS as f64;
        if is_full && expected_ms > (objective as f64).min(left).min(urgent) {
            self.refused_attempt(job);
            return self.refuse(now, job);
        }
        let server = &mut self.servers[best];
        if server.running < SLOTS {
            server.running += 1;
            return self.start(now, best, job);
        }
        if server.queue.len() < QUEUE {
            return server.queue.push_back(job);
        }
        self.learn(now, best, job.router);
        self.refused_attempt(job);
        let repeats = self.routers[job.router].admits_repeat(time, service(), job.class as u32);
        if job.attempts == 0 && (repeats || !self.scenario.by_rank) {
            return self.send(now, Job { attempts: 1, ..job });
        }
        self.refuse(now, job);
    }

    fn start(&mut self, now: u64, server: usize, job: Job) {
        // A neighbour on the machine triples the time for a second out of 25.
        let slow = (now / 1_000_000 + server as u64).is_multiple_of(25);
        let factor = if slow { 3.0 } else { 1.0 } / self.servers[server].speed;
        let work = CLASSES[job.class].0 / 1_000.0 * self.rng.random_range(0.5..1.5);
        self.events.push(now + (work * factor * 1e6) as u64, Event::End(server, job, work));
    }

    fn end(&mut self, now: u64, server: usize, job: Job, work: f64) {
        match self.servers[server].queue.pop_front() {
            Some(next) => self.start(now, server, next),
            None => self.servers[server].running -= 1,
        }
        self.learn(now, server, job.router);
        let (_, _, objective, deadline, value, late_value) = CLASSES[job.class];
        let tally = &mut self.tallies[(job.first / 1_000_000) as usize][job.class];
        tally.work += work;
        if now - job.first <= deadline * 1_000 {
            let in_time = now - job.first <= objective * 1_000;
            tally.served += 1.0;
            tally.value += if in_time { value } else { late_value };
        }
        let work = Duration::from_secs_f64(work / self.servers[server].speed);
        let outcome = RequestOutcome::Answered { work };
        let waiting = self.servers[server].queue.len() as u32;
        self.routers[job.router].record_load(service(), waiting, SLOTS as u32);
        self.routers[job.router].record_outcome(service(), job.class as u32, outcome);
    }

    /// A router learns a server's load from an answer.
    fn learn(&mut self, now: u64, server: usize, router: usize) {
        let Server { running, queue, .. } = &self.servers[server];
        self.known[router][server] = ((running + queue.len()) as f64, now);
    }

    fn refused_attempt(&mut self, job: Job) {
        let outcome = RequestOutcome::Refused(RefusalReason::Capacity);
        self.routers[job.router].record_outcome(service(), job.class as u32, outcome);
    }

    /// Callers return once, within what is left of their deadline.
    fn refuse(&mut self, now: u64, job: Job) {
        let left = (job.first + CLASSES[job.class].3 * 1_000).saturating_sub(now) as f64;
        let pause = match self.scenario.by_rank {
            true => left * 0.3 * self.rng.random_range(0.5..1.0),
            false => (250_000.0_f64 * self.rng.random_range(0.75..1.25)).min(left * 0.3),
        };
        if job.first == job.arrived {
            self.events.push(now + pause as u64 + 1, Event::Return(job));
        }
    }

    fn delay(&self, router: usize) -> u64 {
        self.scenario.delay * 1_000 * (router as u64 % 2 + 1)
    }

    fn report(&mut self, now: u64, router: usize) {
        let time = Time::from_nanos(now * 1_000);
        while self.levels[router].front().is_some_and(|(at, _)| *at <= now) {
            let (_, levels) = self.levels[router].pop_front().unwrap();
            self.routers[router].apply(time, &levels);
        }
        if now % 300_000 == (router as u64 * 300_000 / self.scenario.routers as u64) % 300_000 {
            let report = self.routers[router].drain_report(time);
            self.reports.push_back((now + self.delay(router), report));
        }
        self.events.push(now + 50_000, Event::Report(router));
    }

    fn heartbeat(&mut self, now: u64) {
        self.events.push(now + 250_000, Event::Heartbeat);
        let lost = self.scenario.granter_lost;
        if lost.is_some_and(|(lost, back)| (lost..back).contains(&(now / 1_000_000))) {
            self.reports.clear();
            self.ledger = LevelLedger::default();
            self.term = 2;
            return;
        }
        let ledger = &mut self.ledger;
        self.reports.retain(|(at, report)| {
            if *at <= now {
                ledger.record(report);
            }
            *at > now
        });
        let time = Time::from_nanos(now * 1_000);
        if let Some(levels) = self.ledger.levels(time, Term(self.term)) {
            for router in 0..self.scenario.routers {
                let at = now + self.delay(router);
                self.levels[router].push_back((at, levels.clone()));
            }
        }
    }
}
