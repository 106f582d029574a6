//! Servers, a store and granters on virtual time, with orders that are lost, late or refused.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{
    Candidate, GrantOrder, Granter, GranterAction, HoldTimes, KeyLoads, KeyRange, OrderId,
    OrderResult, OwnerId, RangeTable,
};
use bay_time::Time;
use bay_types::{ServerName, Term, Token, ZoneName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time between two steps of the world.
pub const STEP: Duration = Duration::from_millis(20);

/// How much longer than told a server may hold keys.
const SLOW_CLOCK: f64 = 1.02;

/// A server that takes grants.
#[derive(Debug, Clone)]
pub struct FakeServer {
    pub candidate: Candidate,
    pub up: bool,
    /// Whether orders reach it.
    pub reachable: bool,
    /// Whether the directory lists it.
    pub listed: bool,
    holds: Vec<Hold>,
    seen: Vec<(KeyRange, Token)>,
}

#[derive(Debug, Clone)]
struct Hold {
    range: KeyRange,
    until: Time,
    /// Whether it came from an order that was carried out late.
    late: bool,
}

struct Delivery {
    at: Time,
    arrived: Time,
    late: bool,
    granter: usize,
    id: OrderId,
    to: usize,
    order: GrantOrder,
    answered: bool,
}

struct Answer {
    at: Time,
    granter: usize,
    id: OrderId,
    result: OrderResult,
}

/// How orders and the store misbehave.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trouble {
    /// Share of the orders whose answer is lost.
    pub lost: f64,
    /// Share of the orders that are carried out seconds later.
    pub late: f64,
    /// Longest time from an order's decision to its arrival, in milliseconds.
    pub transit_ms: u64,
}

/// The whole world.
pub struct World {
    pub now: Time,
    pub servers: Vec<FakeServer>,
    pub granters: Vec<Option<Granter>>,
    pub stored: RangeTable,
    pub store_up: bool,
    pub loads: KeyLoads,
    pub trouble: Trouble,
    pub times: HoldTimes,
    pub random: SmallRng,
    /// Whether the results of orders never reach their granter.
    pub lose_results: bool,
    /// The table's revision in the store, and the one that each granter knows.
    revision: u64,
    revisions: Vec<u64>,
    /// Since when the store does not confirm each granter.
    unconfirmed: Vec<Time>,
    deliveries: Vec<Delivery>,
    answers: Vec<Answer>,
    saves: Vec<(Time, usize, RangeTable)>,
}

impl World {
    /// A world with ready servers and no granter.
    pub fn new(servers: usize, seed: u64) -> World {
        World {
            now: Time::from_millis(1_000),
            servers: (0..servers).map(|index| fake_server(index, 1)).collect(),
            granters: Vec::new(),
            stored: RangeTable::default(),
            store_up: true,
            loads: KeyLoads::default(),
            trouble: Trouble { transit_ms: 5, ..Trouble::default() },
            times: HoldTimes::bounded_by(Duration::from_secs(10)),
            random: SmallRng::seed_from_u64(seed),
            lose_results: false,
            revision: 0,
            revisions: Vec::new(),
            unconfirmed: Vec::new(),
            deliveries: Vec::new(),
            answers: Vec::new(),
            saves: Vec::new(),
        }
    }

    /// Elects a granter of the next term; earlier ones go on for as long as they may.
    pub fn elect(&mut self) -> usize {
        if let Some(last) = self.unconfirmed.last_mut() {
            *last = self.now;
        }
        self.unconfirmed.push(Time::MAX);
        self.granters.push(None);
        self.revisions.push(0);
        let index = self.granters.len() - 1;
        self.take_over(index);
        index
    }

    /// Lets the newest granter read its table again.
    pub fn reload(&mut self) {
        self.take_over(self.granters.len() - 1);
    }

    /// Reads the table on behalf of a granter.
    fn take_over(&mut self, index: usize) {
        let term = Term(index as u64 + 1);
        let stored = self.stored.clone();
        let mut granter = Granter::take_over(self.now, term, self.times, stored);
        if index == 0 {
            // No granter was before the first.
            granter.record_predecessors_ended(self.now);
        }
        self.granters[index] = Some(granter);
        self.revisions[index] = self.revision;
    }

    /// Runs for a while.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs one step and checks that no key has two owners.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.answer();
        self.save();
        self.tick();
        self.check();
    }

    fn candidates(&self) -> Vec<Candidate> {
        let listed = self.servers.iter().filter(|server| server.listed);
        listed.map(|server| server.candidate).collect()
    }

    fn tick(&mut self) {
        let candidates = self.candidates();
        self.loads.decay(self.now);
        for index in 0..self.granters.len() {
            // An earlier granter only renews, as the store does not confirm it.
            if self.now > self.unconfirmed[index] + Granter::MAX_UNCONFIRMED_RENEWAL {
                self.granters[index] = None;
            }
            let newest = index + 1 == self.granters.len();
            let renew_only = !newest || !self.store_up;
            let mut out = Vec::new();
            if let Some(granter) = &mut self.granters[index] {
                granter.tick(self.now, &candidates, &self.loads, renew_only, &mut out);
            }
            self.act(index, out);
        }
    }

    fn act(&mut self, granter: usize, actions: Vec<GranterAction>) {
        for action in actions {
            match action {
                GranterAction::Save(table) => {
                    let delay = self.random.random_range(4..40);
                    self.saves.push((self.now + Duration::from_millis(delay), granter, table));
                }
                GranterAction::Order { id, to, order, .. } => self.send(granter, id, to, order),
                GranterAction::Publish => {}
            }
        }
    }

    fn send(&mut self, granter: usize, id: OrderId, to: OwnerId, order: GrantOrder) {
        let millis = self.random.random_range(0..=self.trouble.transit_ms);
        let arrived = self.now + Duration::from_millis(millis);
        let found = self.servers.iter().position(|server| {
            server.candidate.owner.server == to.server && server.up && server.reachable
        });
        let Some(to) = found else {
            let result = OrderResult::NotSent;
            let at = self.now + Duration::from_millis(300);
            self.answers.push(Answer { at, granter, id, result });
            return;
        };
        let late = self.random.random_bool(self.trouble.late);
        let answered = !late && !self.random.random_bool(self.trouble.lost);
        let at = match late {
            true => arrived + Duration::from_millis(self.random.random_range(2_000..12_000)),
            false => arrived,
        };
        self.deliveries.push(Delivery { at, arrived, late, granter, id, to, order, answered });
        if !answered {
            let at = arrived + Duration::from_millis(600);
            self.answers.push(Answer { at, granter, id, result: OrderResult::Unanswered });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<Delivery> = self.deliveries.extract_if(.., |each| each.at <= now).collect();
        for delivery in due {
            let Delivery { arrived, late, granter, id, to, order, answered, .. } = delivery;
            let server = &mut self.servers[to];
            if !server.up {
                continue;
            }
            let (result, work) = server.carry_out(arrived, late, &order);
            if answered {
                let at = now + Duration::from_millis(work);
                self.answers.push(Answer { at, granter, id, result });
            }
        }
    }

    fn answer(&mut self) {
        let now = self.now;
        let due: Vec<Answer> = self.answers.extract_if(.., |each| each.at <= now).collect();
        for Answer { granter, id, result, .. } in due {
            if self.lose_results {
                continue;
            }
            let mut out = Vec::new();
            if let Some(granter) = &mut self.granters[granter] {
                granter.handle_order_result(now, id, &result, &mut out);
            }
            self.act(granter, out);
        }
    }

    fn save(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.saves.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, index, table) in due {
            let expected = self.revisions[index] == self.revision;
            let written = expected && self.store_up;
            if written {
                self.revision += 1;
                self.revisions[index] = self.revision;
                self.stored = table.clone();
            } else if !expected && self.store_up && index + 1 == self.granters.len() {
                self.take_over(index);
                continue;
            }
            let mut out = Vec::new();
            if let Some(granter) = &mut self.granters[index] {
                match written {
                    true => granter.record_save(now, table.change, &mut out),
                    false => granter.record_save_failure(),
                }
            }
            self.act(index, out);
        }
    }

    /// Lets the newest granter resign, and another one follow it; returns whether all orders were
    /// answered by then. Earlier granters have to have ended.
    pub fn resign(&mut self) -> bool {
        let last = self.granters.len() - 1;
        let settled = |world: &World| {
            world.granters[last].as_ref().is_some_and(|granter| granter.is_settled(world.now))
        };
        let until = self.now + Duration::from_millis(700);
        while self.now < until && !settled(self) {
            self.now += STEP;
            self.deliver();
            self.answer();
            self.save();
            self.check();
        }
        let settled = settled(self);
        self.granters[last] = None;
        let index = self.elect();
        let now = self.now;
        if let Some(granter) = &mut self.granters[index] {
            match settled {
                true => granter.record_predecessor_settled(now),
                false => granter.record_predecessors_ended(now),
            }
        }
        settled
    }

    /// Ends a server's life and starts another one under the same name.
    pub fn restart(&mut self, index: usize) {
        let started = self.servers[index].candidate.owner.started + 1;
        self.servers[index] = fake_server(index, started);
    }

    /// Shares of the keys that some live server holds.
    pub fn held_share(&self) -> f64 {
        let live = self.servers.iter().filter(|server| server.up);
        let holds = live.flat_map(|server| server.current(self.now));
        let keys: u32 = holds.map(|hold| hold.range.len()).sum();
        f64::from(keys) / f64::from(KeyRange::ALL.len())
    }

    /// The servers that hold a key.
    pub fn holders(&self, key: u16) -> Vec<usize> {
        let holds = |server: &FakeServer| {
            server.up && server.current(self.now).any(|hold| hold.range.contains(key))
        };
        (0..self.servers.len()).filter(|index| holds(&self.servers[*index])).collect()
    }

    fn check(&self) {
        for (at, server) in self.servers.iter().enumerate().filter(|(_, server)| server.up) {
            for other in self.servers[at + 1..].iter().filter(|other| other.up) {
                for hold in server.current(self.now).filter(|hold| !hold.late) {
                    let twice = other
                        .current(self.now)
                        .find(|each| !each.late && each.range.overlaps(hold.range));
                    assert!(
                        twice.is_none(),
                        "{:?} holds {:?} and {:?} holds {:?} at {:?}",
                        server.candidate.owner,
                        hold,
                        other.candidate.owner,
                        twice,
                        self.now
                    );
                }
            }
        }
    }
}

impl FakeServer {
    fn current(&self, now: Time) -> impl Iterator<Item = &Hold> {
        self.holds.iter().filter(move |hold| now < hold.until)
    }

    fn carry_out(&mut self, arrived: Time, late: bool, order: &GrantOrder) -> (OrderResult, u64) {
        match order {
            GrantOrder::Grant { range, token, hold, .. } => {
                let higher = |(seen, at): &(KeyRange, Token)| seen.overlaps(*range) && at > token;
                if self.seen.iter().any(higher) {
                    return (OrderResult::Outdated, 1);
                }
                self.seen.push((*range, *token));
                self.remove(*range);
                let until = arrived + hold.mul_f64(SLOW_CLOCK);
                self.holds.push(Hold { range: *range, until, late });
                (OrderResult::Granted, 1)
            }
            GrantOrder::Release { range, .. } => {
                self.remove(*range);
                (OrderResult::Released { handover: None }, 120)
            }
        }
    }

    fn remove(&mut self, range: KeyRange) {
        let mut kept = Vec::new();
        for hold in self.holds.drain(..) {
            if !hold.range.overlaps(range) {
                kept.push(hold);
                continue;
            }
            if hold.range.first < range.first {
                let rest = KeyRange::new(hold.range.first, range.first - 1);
                kept.push(Hold { range: rest, ..hold.clone() });
            }
            if hold.range.last > range.last {
                let rest = KeyRange::new(range.last + 1, hold.range.last);
                kept.push(Hold { range: rest, ..hold });
            }
        }
        self.holds = kept;
    }
}

/// A ready server.
fn fake_server(index: usize, started: u64) -> FakeServer {
    let name = format!("s{index}");
    let candidate = Candidate {
        owner: OwnerId { server: ServerName::new(&name).unwrap(), started },
        address: SocketAddr::from(([10, 0, 0, index as u8], 8_000)),
        zone: ZoneName::new("z").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: Some(100.0),
    };
    FakeServer {
        candidate,
        up: true,
        reachable: true,
        listed: true,
        holds: Vec::new(),
        seen: Vec::new(),
    }
}
