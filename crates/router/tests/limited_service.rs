//! A keyed service under load, some of whose servers name a rate limit.

mod support;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use bay_range::{
    GrantOrder, Granter, GranterAction, HoldTimes, KeyLoads, OrderId, OrderResult, RangeTable,
};
use bay_router::{
    AttemptResult, OwnerMap, Permit, RateLimiter, RequestState, RetryDecision, Router,
    RoutingDecision, SelectedServer, ServerEntry,
};
use bay_types::{HostName, Revision, ServerName, Term};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{admit, at, config, entry, proven, server, service, settings};
use test_case::test_case;

const ROUTERS: usize = 8;
const SERVERS: usize = 14;
const SLOTS: usize = 4;

/// Requests per second; nearly half of what the servers can run.
const RATE: f64 = 360.0;

/// Mean time of a request at a server of average speed, in milliseconds.
const SERVICE_MS: f64 = 70.0;

/// Number of keys that are asked for, and the exponent by which they differ.
const KEYS: u16 = 400;
const SKEW: f64 = 0.6;

/// Time of an order or of a write to the store, in milliseconds.
const ORDER_MS: u64 = 10;

enum Event {
    /// A request is sent with the permit that it has waited for.
    Permitted(usize, Box<RequestState>, ServerName, Permit),
    /// A server answers a request.
    Answer(usize, Box<RequestState>, SelectedServer, u64),
    Saved(u64),
    Ordered(OrderId, OrderResult),
}

struct World {
    now: u64,
    routers: Vec<Router>,
    limiters: BTreeMap<HostName, RateLimiter>,
    granter: Granter,
    loads: KeyLoads,
    sequence: u64,
    /// When each slot of each server is free, and the servers' mean service times.
    slots: Vec<[u64; SLOTS]>,
    service_ms: Vec<f64>,
    limits: Vec<Option<f64>>,
    arrivals: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    next_event: u64,
    random: SmallRng,
    /// Cumulated shares of the keys.
    keys: Vec<f64>,
    served: u64,
    refused: u64,
}

fn name(index: usize) -> ServerName {
    server(&format!("k{index}"))
}

fn index(name: ServerName) -> usize {
    name.as_str()[1..].parse().unwrap()
}

impl World {
    fn new(seed: u64) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let hosts: Vec<HostName> =
            (0..ROUTERS).map(|index| HostName::new(&format!("h{index}")).unwrap()).collect();
        let entries: Vec<(ServerName, Revision, ServerEntry)> = (0..SERVERS)
            .map(|index| (name(index), Revision(1), entry("keyed", "a", index as u8)))
            .collect();
        let routers = hosts.iter().enumerate().map(|(index, host)| {
            let mut router = Router::new(settings(host.as_str()), index as u64);
            router.apply_config(config(1));
            router.replace_servers(at(0), Revision(1), entries.clone());
            router.set_hosts(at(0), hosts.clone(), ROUTERS as u32);
            router
        });
        let times = HoldTimes::bounded_by(Duration::from_secs(10));
        let mut granter = Granter::take_over(at(0), Term(1), times, proven(RangeTable::default()));
        granter.record_predecessor_settled(at(0));
        let mut keys: Vec<f64> = Vec::new();
        let mut sum = 0.0;
        for key in 0..KEYS {
            sum += 1.0 / (f64::from(key) + 1.0).powf(SKEW);
            keys.push(sum);
        }
        World {
            now: 0,
            routers: routers.collect(),
            limiters: BTreeMap::new(),
            granter,
            loads: KeyLoads::default(),
            sequence: 0,
            slots: vec![[0; SLOTS]; SERVERS],
            service_ms: (0..SERVERS).map(|_| SERVICE_MS * random.random_range(0.7..1.4)).collect(),
            limits: vec![None; SERVERS],
            arrivals: vec![0; SERVERS],
            events: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next_event: 0,
            keys,
            random,
            served: 0,
            refused: 0,
        }
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((time, self.next_event)));
        self.pending.insert(self.next_event, event);
    }

    /// Runs for some milliseconds.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(Reverse((time, number))) = self.events.peek().copied() {
                if time > self.now {
                    break;
                }
                self.events.pop();
                if let Some(event) = self.pending.remove(&number) {
                    self.handle(event);
                }
            }
            if self.random.random_bool(RATE / 1_000.0) {
                self.send_request();
            }
            if self.now.is_multiple_of(40) {
                self.step_granter();
            }
            if self.now.is_multiple_of(150) {
                self.spread_limits();
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = at(self.now);
        match event {
            Event::Permitted(router, mut request, server, permit) => {
                self.routers[router].record_permit(now, &mut request, server, permit);
                self.route(router, request);
            }
            Event::Answer(router, mut request, selected, sent) => {
                let limit = self.limits[index(selected.server)];
                let elapsed = Duration::from_millis(self.now - sent);
                let owner = &mut self.routers[router];
                owner.record_finished(&selected);
                owner.record_rate_limit(now, &selected, limit);
                let result = AttemptResult::Answered { status: 200, not_run: false };
                let decision = owner.handle_result(now, &mut request, &selected, result, elapsed);
                assert_eq!(decision, RetryDecision::Deliver);
                self.served += 1;
            }
            Event::Saved(change) => {
                let mut actions = Vec::new();
                self.granter.record_save(now, change, &mut actions);
                self.run_actions(actions);
            }
            Event::Ordered(id, result) => {
                let mut actions = Vec::new();
                self.granter.handle_order_result(now, id, &result, &mut actions);
                self.run_actions(actions);
            }
        }
    }

    fn send_request(&mut self) {
        let point = self.random.random_range(0.0..self.keys[self.keys.len() - 1]);
        let key = self.keys.partition_point(|sum| *sum < point) as u16;
        let router = self.random.random_range(0..ROUTERS);
        let request = admit(&mut self.routers[router], at(self.now), "/keyed/x", Some(key));
        self.route(router, Box::new(request));
    }

    fn route(&mut self, router: usize, mut request: Box<RequestState>) {
        let now = at(self.now);
        loop {
            match self.routers[router].pick_server(now, &mut request) {
                RoutingDecision::Send(selected) => {
                    self.routers[router].record_sent(now, &selected, &mut request);
                    let index = index(selected.server);
                    self.arrivals[index] += 1;
                    let slot = self.slots[index].iter_mut().min().unwrap();
                    let service = self.service_ms[index] * self.random.random_range(0.5..1.5);
                    *slot = (*slot).max(self.now) + service as u64;
                    let event = Event::Answer(router, request, selected, self.now);
                    let time = *slot;
                    return self.schedule(time, event);
                }
                RoutingDecision::Acquire(permit_request) => {
                    let host = self.routers[router].permit_host(now, permit_request.server);
                    let limiter = self.limiters.entry(host).or_default();
                    let permit = limiter.acquire(now, &permit_request);
                    match permit {
                        Permit::Granted(wait) => {
                            let time = self.now + wait.as_millis() as u64;
                            let server = permit_request.server;
                            let event = Event::Permitted(router, request, server, permit);
                            return self.schedule(time, event);
                        }
                        Permit::Denied(_) => {
                            let server = permit_request.server;
                            self.routers[router].record_permit(now, &mut request, server, permit);
                        }
                    }
                }
                // A request that would wait for an owner counts as refused.
                RoutingDecision::Wait(_) | RoutingDecision::Refuse(..) => {
                    self.refused += 1;
                    return;
                }
            }
        }
    }

    fn step_granter(&mut self) {
        let now = at(self.now);
        if self.now.is_multiple_of(320) {
            for router in &mut self.routers {
                for report in router.drain_reports() {
                    report.keys.iter().for_each(|count| self.loads.add(count.key, count.requests));
                }
            }
        }
        self.loads.decay(now);
        let mut candidates = self.routers[0].candidates(now, service("keyed"));
        for candidate in &mut candidates {
            candidate.service_ms = Some(self.service_ms[index(candidate.owner.server)]);
        }
        let mut actions = Vec::new();
        self.granter.tick(now, &candidates, &self.loads, false, &mut actions);
        self.run_actions(actions);
    }

    fn run_actions(&mut self, actions: Vec<GranterAction>) {
        for action in actions {
            match action {
                GranterAction::Save(table) => {
                    self.schedule(self.now + ORDER_MS, Event::Saved(table.change));
                }
                GranterAction::Order { id, order, .. } => {
                    let result = match order {
                        GrantOrder::Grant { .. } => OrderResult::Granted,
                        GrantOrder::Release { .. } => OrderResult::Released { handover: None },
                    };
                    self.schedule(self.now + ORDER_MS, Event::Ordered(id, result));
                }
                GranterAction::Publish => {
                    self.sequence += 1;
                    let ranges = self.granter.served_ranges();
                    for router in &mut self.routers {
                        let owners = OwnerMap {
                            term: Term(1),
                            sequence: self.sequence,
                            ranges: ranges.clone(),
                        };
                        router.replace_owners(service("keyed"), owners);
                    }
                }
            }
        }
    }

    /// Sends what each router has learned of limits to all others.
    fn spread_limits(&mut self) {
        let now = at(self.now);
        let notices: Vec<_> = self.routers.iter_mut().flat_map(Router::drain_rate_limits).collect();
        for router in &mut self.routers {
            for notice in &notices {
                router.apply_rate_limit(now, notice);
            }
        }
    }

    /// Resets the counts of requests; returns the share that was served.
    fn drain_counts(&mut self) -> f64 {
        self.arrivals = vec![0; SERVERS];
        let (served, refused) =
            (std::mem::take(&mut self.served), std::mem::take(&mut self.refused));
        served as f64 / (served + refused).max(1) as f64
    }
}

/// Servers that together get a sixth or more of the load name a limit of 0.3 times their requests; the
/// others have room for the rest. At most one request in 50 is refused while the keys move, and over
/// the whole time, in which the limits may come and go.
#[test_case(2, 30, 0; "two servers, lasting")]
#[test_case(4, 30, 0; "four servers, lasting")]
#[test_case(2, 2, 2; "two servers, on and off")]
fn limits_of_some_servers_cost_few_requests_while_others_have_room(
    limited: usize,
    on_seconds: u64,
    off_seconds: u64,
) {
    const FACTOR: f64 = 0.3;
    const MIN_SERVED: f64 = 0.98;
    let mut world = World::new(2);
    world.run(15_000);
    world.drain_counts();
    world.run(5_000);
    let rates: Vec<f64> = world.arrivals.iter().map(|count| *count as f64 / 5.0).collect();
    world.drain_counts();
    for second in 0..30 {
        let is_limited = second % (on_seconds + off_seconds) < on_seconds;
        for (limit, rate) in world.limits.iter_mut().zip(&rates).take(limited) {
            *limit = is_limited.then_some(rate * FACTOR);
        }
        world.run(1_000);
    }
    let served = world.drain_counts();
    assert!(served >= MIN_SERVED, "{served} served");
}
