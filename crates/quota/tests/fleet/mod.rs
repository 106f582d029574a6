//! A fleet of routers in virtual time, with lost and late messages.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};
use std::ops::Range;
use std::time::Duration;

use bay_quota::{AccountId, AccountUsage, LocalQuota, QuotaLedger, QuotaLimit, QuotaShares};
use bay_time::Time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub const ROUTERS: usize = 74;
const ACCOUNTS: usize = 79;
const REQUEST_RATE: f64 = 2_300.0;
const WINDOW: Duration = Duration::from_secs(5);
const END_MS: u64 = 32_000;
/// Requests before this time are not judged: the fleet starts without a granter.
const JUDGED_FROM_MS: u64 = 6_000;
const REPORT_MS: u64 = 300;
const HEARTBEAT_MS: u64 = 250;
const MAX_DELAY_MS: u64 = 300;
const LOSS: f64 = 0.03;
/// Shortest time between two reports that are sent at once.
const URGENT_MS: u64 = 100;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Scheme {
    /// Each router admits an equal part of the limit.
    EqualDivision,
    Shared,
}

/// What happens in a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub hot: bool,
    pub granter_lost: bool,
    pub restart: bool,
    pub cut_off: bool,
    pub lowered: bool,
}

#[derive(Debug, Default, Clone)]
pub struct Outcome {
    /// Highest use of a window as a part of its bound.
    pub worst_window: f64,
    pub requests: u64,
    /// Requests refused while the use of all routers in the window was below the limit.
    pub refused_below: u64,
    /// Requests by which the account fell short of what one limiter for all routers admits.
    pub shortfall: u64,
    pub refused: u64,
    pub usage_bytes: u64,
    pub share_bytes: u64,
}

enum Event {
    Arrival(usize),
    Report(usize),
    Heartbeat,
    Usage(AccountUsage),
    /// Heartbeat of the granter of a term at a router.
    Term(usize, u64),
    Shares(usize, QuotaShares),
    Limits(usize),
}

struct Account {
    id: AccountId,
    /// Usual requests per second.
    rate: f64,
    limit: QuotaLimit,
    /// Router of each of the callers' connections.
    connections: Vec<usize>,
    hot: Range<u64>,
    factor: f64,
    lowered: bool,
    /// Times in milliseconds of the requests admitted, by the fleet and by one limiter.
    admitted: Vec<u64>,
    ideal: VecDeque<u64>,
    counts: (u64, u64),
}

pub struct Fleet {
    rng: SmallRng,
    scheme: Scheme,
    accounts: Vec<Account>,
    routers: Vec<LocalQuota>,
    own_admitted: Vec<Vec<VecDeque<u64>>>,
    last_urgent: Vec<u64>,
    known_term: Vec<u64>,
    ledger: QuotaLedger,
    next_shares: u64,
    /// When the granter's term began.
    granter_start: u64,
    granter_lost: Range<u64>,
    cut_off: Range<u64>,
    lowered_at: u64,
    restart: (u64, usize),
    events: BinaryHeap<Reverse<(u64, u64)>>,
    bodies: std::collections::HashMap<u64, Event>,
    sequence: u64,
    outcome: Outcome,
}

fn at(ms: u64) -> Time {
    Time::from_millis(ms + 100_000)
}

fn limit(rate: f64) -> QuotaLimit {
    let rate = rate * 1.6;
    QuotaLimit::new(rate, rate, WINDOW, 0.1, 20.0).unwrap()
}

impl Fleet {
    /// Length of a run.
    pub const SECONDS: u64 = END_MS / 1_000;

    pub fn run(seed: u64, scheme: Scheme, faults: Faults) -> Outcome {
        let mut fleet = Fleet::new(seed, scheme, faults);
        while let Some(Reverse((now, sequence))) = fleet.events.pop() {
            if now >= END_MS {
                break;
            }
            if let Some(event) = fleet.bodies.remove(&sequence) {
                fleet.handle(now, event);
            }
        }
        fleet.judge()
    }

    fn new(seed: u64, scheme: Scheme, faults: Faults) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let sum: f64 = (1..=ACCOUNTS).map(|rank| 1.0 / rank as f64).sum();
        let mut accounts: Vec<Account> = (1..=ACCOUNTS)
            .map(|rank| {
                let rate = REQUEST_RATE / sum / rank as f64;
                // Squaring puts more connections on some routers than on others.
                let mut router = || (rng.random::<f64>().powi(2) * ROUTERS as f64) as usize;
                let connections = (0..(rate * 0.6) as usize + 4).map(|_| router()).collect();
                Account {
                    id: AccountId::new(&format!("account-{rank}")),
                    rate,
                    limit: limit(rate),
                    connections,
                    hot: 0..0,
                    factor: 1.0,
                    lowered: false,
                    admitted: Vec::new(),
                    ideal: VecDeque::new(),
                    counts: (0, 0),
                }
            })
            .collect();
        let first = rng.random_range(0..if seed.is_multiple_of(2) { 8 } else { ACCOUNTS });
        let second = (first + rng.random_range(1..ACCOUNTS)) % ACCOUNTS;
        for (index, start) in [(first, 10_000), (second, 20_000)] {
            accounts[index].factor = rng.random_range(3.0..7.5);
            accounts[index].hot = if faults.hot { start..start + 8_000 } else { 0..0 };
        }
        let lowered = if rng.random_bool(0.5) { first } else { rng.random_range(0..ACCOUNTS) };
        accounts[lowered].lowered = faults.lowered;
        let mut span = |is_on: bool, length: Range<u64>| {
            // Half of the faults fall into the moment at which an account becomes hot.
            let start = match rng.random_bool(0.5) {
                true => rng.random_range(9_500..11_000),
                false => rng.random_range(7_000..26_000),
            };
            if is_on { start..start + rng.random_range(length) } else { 0..0 }
        };
        let granter_lost = span(faults.granter_lost, 1_500..3_000);
        let cut_off = span(faults.cut_off, 5_000..5_001);
        let restart = span(faults.restart, 1..2).start;
        let lowered_at = if faults.lowered { span(true, 1..2).start } else { u64::MAX };
        let restart = (restart, rng.random_range(0..ROUTERS));
        let routers = (0..ROUTERS).map(|router| local(router, 1, &accounts, false)).collect();
        let mut fleet = Fleet {
            rng,
            scheme,
            own_admitted: vec![vec![VecDeque::new(); ACCOUNTS]; ROUTERS],
            accounts,
            routers,
            last_urgent: vec![0; ROUTERS],
            known_term: vec![0; ROUTERS],
            ledger: QuotaLedger::new(at(0), 1, WINDOW),
            next_shares: 0,
            granter_start: 0,
            granter_lost,
            cut_off,
            lowered_at,
            restart,
            events: BinaryHeap::new(),
            bodies: std::collections::HashMap::new(),
            sequence: 0,
            outcome: Outcome::default(),
        };
        fleet.start_ledger(0, 1);
        for account in 0..ACCOUNTS {
            fleet.schedule_arrival(0, account);
        }
        for router in 0..ROUTERS {
            let phase = fleet.rng.random_range(0..REPORT_MS);
            fleet.push(phase, Event::Report(router));
            if fleet.lowered_at < END_MS {
                let time = fleet.lowered_at + fleet.rng.random_range(0..500);
                fleet.push(time, Event::Limits(router));
            }
        }
        fleet.push(0, Event::Heartbeat);
        fleet
    }

    fn start_ledger(&mut self, now: u64, term: u64) {
        self.granter_start = now;
        self.ledger = QuotaLedger::new(at(now), term, WINDOW);
        let is_lowered = now >= self.lowered_at;
        self.ledger.set_limits(limits(&self.accounts, is_lowered));
        self.ledger.set_routers(at(now), &(0..ROUTERS as u32).collect::<BTreeSet<u32>>());
    }

    fn push(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence)));
        self.bodies.insert(self.sequence, event);
    }

    fn send(&mut self, now: u64, event: Event) {
        if !self.rng.random_bool(LOSS) {
            let delay = self.rng.random_range(1..=MAX_DELAY_MS);
            self.push(now + delay, event);
        }
    }

    fn is_cut_off(&self, now: u64, router: usize) -> bool {
        router.is_multiple_of(3) && self.cut_off.contains(&now)
    }

    fn schedule_arrival(&mut self, now: u64, account: usize) {
        let Account { rate, hot, factor, .. } = &self.accounts[account];
        let rate = if hot.contains(&now) { rate * factor } else { *rate };
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / rate * 1000.0;
        // Rounding down to whole milliseconds then leaves the mean as it is.
        let mut time = now as f64 + pause + self.rng.random::<f64>();
        // The change of the rate takes effect at once.
        if !hot.contains(&now) && now < hot.start && time > hot.start as f64 {
            time = hot.start as f64;
        }
        self.push(time.max(now as f64) as u64, Event::Arrival(account));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(account) => {
                self.schedule_arrival(now, account);
                let connections = &self.accounts[account].connections;
                let router = connections[self.rng.random_range(0..connections.len())];
                self.offer(now, account, router);
            }
            Event::Report(router) => {
                self.push(now + REPORT_MS, Event::Report(router));
                if self.restart.1 == router && (now..now + REPORT_MS).contains(&self.restart.0) {
                    let is_lowered = now >= self.lowered_at;
                    self.routers[router] = local(router, 2, &self.accounts, is_lowered);
                }
                self.report(now, router);
            }
            Event::Heartbeat => {
                if self.granter_lost.contains(&now) {
                    let end = self.granter_lost.end;
                    self.start_ledger(end, 2);
                    self.push(end, Event::Heartbeat);
                    return;
                }
                self.push(now + HEARTBEAT_MS, Event::Heartbeat);
                self.send_shares(now);
            }
            Event::Term(router, term) => {
                if term > self.known_term[router] {
                    self.known_term[router] = term;
                    self.report(now, router);
                }
            }
            Event::Usage(usage) => {
                if usage.term != self.ledger.term() {
                    return;
                }
                self.ledger.record_usage(at(now), &usage);
                if self.ledger.is_due() && now >= self.next_shares {
                    self.send_shares(now);
                }
            }
            Event::Shares(router, shares) => {
                self.routers[router].apply_shares(at(now), &shares);
            }
            Event::Limits(router) => {
                self.routers[router].set_limits(limits(&self.accounts, true));
                if router == 1 {
                    self.ledger.set_limits(limits(&self.accounts, true));
                }
            }
        }
    }

    fn report(&mut self, now: u64, router: usize) {
        let usage = self.routers[router].drain_usage(at(now), self.known_term[router]);
        self.outcome.usage_bytes += postcard::to_stdvec(&usage).unwrap().len() as u64 + 1;
        if !self.is_cut_off(now, router) {
            self.send(now, Event::Usage(usage));
        }
    }

    fn send_shares(&mut self, now: u64) {
        self.next_shares = now + URGENT_MS;
        for router in 0..ROUTERS {
            if !self.is_cut_off(now, router) {
                self.send(now, Event::Term(router, self.ledger.term()));
            }
        }
        let Some(shares) = self.ledger.shares(at(now)) else {
            return;
        };
        self.next_shares = now + shares.min_interval().as_millis() as u64;
        self.outcome.share_bytes += postcard::to_stdvec(&shares).unwrap().len() as u64 + 1;
        for router in 0..ROUTERS {
            if !self.is_cut_off(now, router) {
                self.send(now, Event::Shares(router, shares.clone()));
            }
        }
    }

    fn offer(&mut self, now: u64, index: usize, router: usize) {
        let window = WINDOW.as_millis() as u64;
        let is_admitted = match self.scheme {
            Scheme::Shared => {
                let id = self.accounts[index].id;
                self.routers[router].admit(at(now), id).is_ok()
            }
            Scheme::EqualDivision => {
                let own = &mut self.own_admitted[router][index];
                while own.front().is_some_and(|first| first + window <= now) {
                    own.pop_front();
                }
                let limit = self.accounts[index].limit.requests / ROUTERS as f64;
                let is_admitted = (own.len() as f64) < limit.ceil();
                if is_admitted {
                    own.push_back(now);
                }
                is_admitted
            }
        };
        if self.scheme == Scheme::Shared
            && self.routers[router].take_report_due()
            && now >= self.last_urgent[router] + URGENT_MS
        {
            self.last_urgent[router] = now;
            self.report(now, router);
        }
        let account = &mut self.accounts[index];
        let is_lowered = account.lowered && now >= self.lowered_at;
        let limit = if is_lowered { lowered(account.rate) } else { account.limit };
        while account.ideal.front().is_some_and(|first| first + window <= now) {
            account.ideal.pop_front();
        }
        let is_ideal = (account.ideal.len() as f64) < limit.requests;
        if is_ideal {
            account.ideal.push_back(now);
        }
        if is_admitted {
            account.admitted.push(now);
        }
        if now < JUDGED_FROM_MS {
            return;
        }
        account.counts.0 += u64::from(is_ideal);
        account.counts.1 += u64::from(is_admitted);
        self.outcome.requests += 1;
        if !is_admitted {
            self.outcome.refused += 1;
            let first = account.admitted.partition_point(|time| time + window <= now);
            let used = (account.admitted.len() - first) as f64;
            self.outcome.refused_below += u64::from(used < limit.requests);
        }
    }

    /// Finds the window with the highest use as a part of its bound.
    fn judge(self) -> Outcome {
        let window = WINDOW.as_millis() as u64;
        let mut outcome = self.outcome;
        for account in &self.accounts {
            outcome.shortfall += account.counts.0.saturating_sub(account.counts.1);
            let mut first = 0;
            for (last, time) in account.admitted.iter().enumerate() {
                while account.admitted[first] + window <= *time {
                    first += 1;
                }
                // Routers may learn of a lower limit half a second late.
                let is_lowered = account.lowered
                    && account.admitted[first] >= self.lowered_at.saturating_add(500);
                let limit = if is_lowered { lowered(account.rate) } else { account.limit };
                let use_ = (last + 1 - first) as f64 / limit.bound;
                outcome.worst_window = outcome.worst_window.max(use_);
            }
        }
        outcome
    }
}

fn lowered(rate: f64) -> QuotaLimit {
    limit(rate * 0.6)
}

fn limits(accounts: &[Account], is_lowered: bool) -> Vec<(AccountId, QuotaLimit)> {
    let limit = |account: &Account| match account.lowered && is_lowered {
        true => lowered(account.rate),
        false => account.limit,
    };
    accounts.iter().map(|account| (account.id, limit(account))).collect()
}

fn local(router: usize, incarnation: u32, accounts: &[Account], is_lowered: bool) -> LocalQuota {
    let mut local = LocalQuota::new(router as u32, incarnation, WINDOW, ROUTERS as u32);
    local.set_limits(limits(accounts, is_lowered));
    local
}
