//! Servers, a store and granters on virtual time, with lost, late and refused orders.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{
    Candidate, GrantOrder, Granter, GranterAction, HoldTimes, KeyLimit, KeyLoads, KeyRange,
    KnownHolds, OrderId, OrderResult, OwnerId, ProvenTable, RangeTable,
};
use bay_time::Time;
use bay_types::{ServerName, Term, Token, ZoneName};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time between two steps of the world.
pub const STEP: Duration = Duration::from_millis(20);

/// Factor by which a server with a slow clock extends its holds.
const SLOW_CLOCK: f64 = 1.02;

/// A server that carries out grants and releases.
#[derive(Debug, Clone)]
pub struct FakeServer {
    pub candidate: Candidate,
    pub up: bool,
    /// Whether orders reach it.
    pub reachable: bool,
    /// Whether granters see it as a candidate.
    pub listed: bool,
    holds: Vec<Hold>,
    /// Ranges and tokens of all grants that it has carried out.
    seen_tokens: Vec<(KeyRange, Token)>,
}

#[derive(Debug, Clone)]
struct Hold {
    range: KeyRange,
    until: Time,
    /// Whether its order was carried out late. The check for two owners ignores such holds.
    late: bool,
}

/// An order on its way to a server.
struct Delivery {
    at: Time,
    /// When the order arrives; the hold counts from then even if it is carried out later.
    arrived: Time,
    late: bool,
    granter: usize,
    id: OrderId,
    to: usize,
    order: GrantOrder,
    answered: bool,
}

/// An order's result on its way to a granter.
struct Answer {
    at: Time,
    granter: usize,
    id: OrderId,
    result: OrderResult,
}

/// Faults of the connections to servers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Share of the orders whose answer is lost.
    pub lost: f64,
    /// Share of the orders that servers carry out seconds after their arrival.
    pub late: f64,
    /// Longest time from sending an order to its arrival, in milliseconds.
    pub transit_ms: u64,
}

/// Servers, a store, and one granter for each term.
pub struct World {
    pub now: Time,
    pub servers: Vec<FakeServer>,
    pub granters: Vec<Option<Granter>>,
    pub stored: RangeTable,
    pub store_up: bool,
    pub loads: KeyLoads,
    pub faults: Faults,
    pub times: HoldTimes,
    pub random: SmallRng,
    /// Whether results of orders are lost on their way to the granter.
    pub lose_results: bool,
    /// Revision of the stored table.
    revision: u64,
    /// Revision of the table that each granter has read or written last.
    known_revisions: Vec<u64>,
    /// Time of the store's last confirmation of each granter; `Time::MAX` for the newest.
    last_confirmations: Vec<Time>,
    deliveries: Vec<Delivery>,
    answers: Vec<Answer>,
    saves: Vec<(Time, usize, RangeTable)>,
}

impl World {
    /// Creates a world with ready servers and no granter.
    pub fn new(servers: usize, seed: u64) -> World {
        World {
            now: Time::from_millis(1_000),
            servers: (0..servers).map(|index| fake_server(index, 1)).collect(),
            granters: Vec::new(),
            stored: RangeTable::default(),
            store_up: true,
            loads: KeyLoads::default(),
            faults: Faults { transit_ms: 5, ..Faults::default() },
            times: HoldTimes::bounded_by(Duration::from_secs(10)),
            random: SmallRng::seed_from_u64(seed),
            lose_results: false,
            revision: 0,
            known_revisions: Vec::new(),
            last_confirmations: Vec::new(),
            deliveries: Vec::new(),
            answers: Vec::new(),
            saves: Vec::new(),
        }
    }

    /// Elects a granter of the next term. Earlier ones keep renewing for as long as they may.
    pub fn elect(&mut self) -> usize {
        if let Some(last) = self.last_confirmations.last_mut() {
            *last = self.now;
        }
        self.last_confirmations.push(Time::MAX);
        self.granters.push(None);
        self.known_revisions.push(0);
        let index = self.granters.len() - 1;
        self.take_over(index);
        index
    }

    /// Makes the newest granter reload its table.
    pub fn reload(&mut self) {
        self.take_over(self.granters.len() - 1);
    }

    /// Creates the granter of a term from the stored table.
    fn take_over(&mut self, index: usize) {
        let term = Term(index as u64 + 1);
        let stored = self.stored.clone();
        let mut granter = Granter::take_over(self.now, term, self.times, proven(stored));
        if index == 0 {
            // The first granter has no predecessors.
            granter.record_earlier_granters_ended(self.now);
        }
        self.granters[index] = Some(granter);
        self.known_revisions[index] = self.revision;
    }

    /// Runs steps for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    /// Runs one step and checks that no key has two owners.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver_orders();
        self.deliver_answers();
        self.write_tables();
        self.tick_granters();
        self.check_exclusive_holds();
    }

    /// Returns the newest granter's limits of overloaded keys.
    pub fn key_limits(&self) -> Vec<KeyLimit> {
        let granter = self.granters.last().and_then(Option::as_ref).unwrap();
        granter.key_limits(self.now, &self.candidates(), &self.loads)
    }

    fn candidates(&self) -> Vec<Candidate> {
        let listed = self.servers.iter().filter(|server| server.listed);
        listed.map(|server| server.candidate).collect()
    }

    fn tick_granters(&mut self) {
        let candidates = self.candidates();
        self.loads.decay(self.now);
        for index in 0..self.granters.len() {
            // An earlier granter only renews, as the store does not confirm it any more.
            if self.now > self.last_confirmations[index] + Granter::MAX_UNCONFIRMED_RENEWAL {
                self.granters[index] = None;
            }
            let newest = index + 1 == self.granters.len();
            let renew_only = !newest || !self.store_up;
            let mut out = Vec::new();
            if let Some(granter) = &mut self.granters[index] {
                granter.tick(self.now, &candidates, &self.loads, renew_only, &mut out);
            }
            self.perform(index, out);
        }
    }

    fn perform(&mut self, granter: usize, actions: Vec<GranterAction>) {
        for action in actions {
            match action {
                GranterAction::Save(table) => {
                    let delay = self.random.random_range(4..40);
                    self.saves.push((self.now + Duration::from_millis(delay), granter, table));
                }
                GranterAction::Order { id, to, order, .. } => {
                    self.send_order(granter, id, to, order)
                }
                GranterAction::Publish => {}
            }
        }
    }

    fn send_order(&mut self, granter: usize, id: OrderId, to: OwnerId, order: GrantOrder) {
        let millis = self.random.random_range(0..=self.faults.transit_ms);
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
        let late = self.random.random_bool(self.faults.late);
        let answered = !late && !self.random.random_bool(self.faults.lost);
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

    fn deliver_orders(&mut self) {
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

    fn deliver_answers(&mut self) {
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
            self.perform(granter, out);
        }
    }

    fn write_tables(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.saves.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, index, table) in due {
            let expected = self.known_revisions[index] == self.revision;
            let written = expected && self.store_up;
            if written {
                self.revision += 1;
                self.known_revisions[index] = self.revision;
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
            self.perform(index, out);
        }
    }

    /// Makes the newest granter resign and elects a successor.
    ///
    /// Returns whether all orders were answered by then. Earlier granters must have ended.
    pub fn resign(&mut self) -> bool {
        let last = self.granters.len() - 1;
        let settled = |world: &World| {
            world.granters[last].as_ref().is_some_and(|granter| granter.is_settled(world.now))
        };
        let until = self.now + Duration::from_millis(700);
        while self.now < until && !settled(self) {
            self.now += STEP;
            self.deliver_orders();
            self.deliver_answers();
            self.write_tables();
            self.check_exclusive_holds();
        }
        let settled = settled(self);
        self.granters[last] = None;
        let index = self.elect();
        let now = self.now;
        if let Some(granter) = &mut self.granters[index] {
            match settled {
                true => granter.record_predecessor_settled(now),
                false => granter.record_earlier_granters_ended(now),
            }
        }
        settled
    }

    /// Like [`World::resign`]; with `tells`, the granter tells its successor which keys have no holder.
    /// Its holds are as it knows them once its orders are answered.
    pub fn resign_and_tell(&mut self, tells: bool) {
        let last = self.granters.len() - 1;
        let until = self.now + Duration::from_millis(700);
        let unsettled = |world: &World| {
            world.granters[last].as_ref().is_some_and(|granter| !granter.is_settled(world.now))
        };
        while self.now < until && unsettled(self) {
            self.now += STEP;
            self.deliver_orders();
            self.deliver_answers();
            self.check_exclusive_holds();
        }
        let now = self.now;
        let ended = self.granters[last].as_ref().map(|granter| granter.ended_holds(now));
        self.resign();
        if let (Some(ended), Some(granter)) = (ended, &mut self.granters[last + 1]) {
            let ended = if tells { ended } else { Vec::new() };
            granter.record_ended_holds(now, Term(last as u64 + 1), &ended);
        }
    }

    /// Replaces a server's process by a new one of the same name, without holds.
    pub fn restart(&mut self, index: usize) {
        let started = self.servers[index].candidate.owner.started + 1;
        self.servers[index] = fake_server(index, started);
    }

    /// Returns the share of all keys that live servers hold.
    pub fn held_share(&self) -> f64 {
        let live = self.servers.iter().filter(|server| server.up);
        let holds = live.flat_map(|server| server.current_holds(self.now));
        let keys: u32 = holds.map(|hold| hold.range.len()).sum();
        f64::from(keys) / f64::from(KeyRange::ALL.len())
    }

    /// Returns the indices of the live servers that hold a key.
    pub fn holders(&self, key: u16) -> Vec<usize> {
        let holds = |server: &FakeServer| {
            server.up && server.current_holds(self.now).any(|hold| hold.range.contains(key))
        };
        (0..self.servers.len()).filter(|index| holds(&self.servers[*index])).collect()
    }

    /// Panics if two live servers hold one key, apart from holds by late orders.
    fn check_exclusive_holds(&self) {
        for (at, server) in self.servers.iter().enumerate().filter(|(_, server)| server.up) {
            for other in self.servers[at + 1..].iter().filter(|other| other.up) {
                for hold in server.current_holds(self.now).filter(|hold| !hold.late) {
                    let twice = other
                        .current_holds(self.now)
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
    /// Returns the holds that have not expired.
    fn current_holds(&self, now: Time) -> impl Iterator<Item = &Hold> {
        self.holds.iter().filter(move |hold| now < hold.until)
    }

    fn carry_out(&mut self, arrived: Time, late: bool, order: &GrantOrder) -> (OrderResult, u64) {
        match order {
            GrantOrder::Grant { range, token, hold, .. } => {
                let higher = |(seen, at): &(KeyRange, Token)| seen.overlaps(*range) && at > token;
                if self.seen_tokens.iter().any(higher) {
                    return (OrderResult::Outdated, 1);
                }
                self.seen_tokens.push((*range, *token));
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

/// Returns the table of a store that is never restored.
pub fn proven(table: RangeTable) -> ProvenTable {
    let times = HoldTimes::bounded_by(Duration::from_secs(10));
    KnownHolds::new(Time::ZERO, false).prove(Time::ZERO, Some(table), &times).unwrap()
}

/// Creates a ready, warm server without holds.
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
        rate_limit: None,
    };
    FakeServer {
        candidate,
        up: true,
        reachable: true,
        listed: true,
        holds: Vec::new(),
        seen_tokens: Vec::new(),
    }
}
