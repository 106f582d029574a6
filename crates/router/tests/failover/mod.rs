//! A fleet of routers on virtual time, with a store that is down from 18 s to 26 s.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::Duration;

use bay_range::{Leadership, LeadershipAction, LeadershipRecord, Role};
use bay_router::StoreHealth;
use bay_time::Time;
use bay_types::{HostName, Revision, Term};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

pub use self::keys::Keys;
use self::keys::NewGranter;
use self::machine::Machine;

mod keys;
mod machine;

const STORE_LOST: u64 = 18_000;
const STORE_BACK: u64 = 26_000;
const RESIGNED: u64 = 25_892;
/// When the replay gives up.
const END: u64 = 40_000;
/// Routers that are restarted in turn during the outage.
const RESTARTS: usize = 29;
/// Size of the stored table of 545 ranges.
const TABLE_BYTES: usize = 545 * 250;
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Time for a connection to the store while it is down.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time from an order to its answer, rounded up to the granter's next step.
const ORDER_TIME: Duration = Duration::from_millis(40);

/// The granter that has given all keys owners after the outage.
#[derive(Debug, Clone, Copy)]
pub struct Winner {
    pub served_after: Duration,
    pub eligible: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Step(usize),
    /// A call by one of the feeds, which also find out whether the store is back.
    Feed(usize),
    Answer {
        index: usize,
        started: Time,
        what: Call,
        lost: bool,
    },
    Heartbeat {
        to: usize,
        term: u64,
        renewal: u64,
        age: Duration,
    },
    Stop(usize),
    Start(usize),
    /// The answers to a granter's orders arrive, and it takes its next step.
    Orders(usize),
    /// The granter is stopped.
    Resign(usize),
    /// The breaker of a router lets a call through at the moment of the store's return.
    First(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Call {
    Election(u64),
    Feed,
    Load,
    Save,
}

pub struct Fleet {
    now: Time,
    random: SmallRng,
    machines: Vec<Machine>,
    record: Option<(Revision, LeadershipRecord)>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    events: u64,
    /// Calls of the election under way.
    actions: Vec<LeadershipAction>,
    keys: Rc<Keys>,
    new_granter: Option<NewGranter>,
    winner: Option<Winner>,
}

impl Fleet {
    pub fn new(count: usize, seed: u64, keys: Rc<Keys>) -> Fleet {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Time::from_millis(16_000);
        let machines: Vec<Machine> =
            (0..count).map(|index| Machine::new(index, now, &mut random)).collect();
        let mut fleet = Fleet {
            now,
            random,
            machines,
            record: None,
            queue: BinaryHeap::new(),
            events: 0,
            actions: Vec::new(),
            keys,
            new_granter: None,
            winner: None,
        };
        let large = |fleet: &Fleet, index: usize| fleet.machines[index].is_eligible();
        let granter = (0..count).find(|index| large(&fleet, *index)).unwrap();
        fleet.push(16_000, Event::Step(granter));
        for index in 0..count {
            let phase = fleet.random.random_range(0..300);
            fleet.push(17_000 + phase, Event::Feed(index));
            if index != granter {
                fleet.machines[index].restart(Time::from_millis(17_000));
                fleet.push(17_000 + phase, Event::Step(index));
            }
        }
        let others: Vec<usize> = (0..count).filter(|index| *index != granter).collect();
        let offset = fleet.random.random_range(0..others.len());
        for turn in 0..RESTARTS {
            let index = others[(offset + turn) % others.len()];
            let at = 18_300 + 250 * turn as u64;
            fleet.push(at, Event::Stop(index));
            fleet.push(at + 400, Event::Start(index));
        }
        fleet.push(RESIGNED, Event::Resign(granter));
        let first = others[seed as usize % others.len()];
        fleet.push(STORE_BACK + 1, Event::First(first));
        fleet
    }

    fn push(&mut self, millis: u64, event: Event) {
        self.push_at(Time::from_millis(millis), event);
    }

    fn push_at(&mut self, at: Time, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events, event)));
    }

    fn store_is_up(&self) -> bool {
        !(Time::from_millis(STORE_LOST)..Time::from_millis(STORE_BACK)).contains(&self.now)
    }

    /// Runs the log until a granter has sent orders after the outage.
    pub fn replay(mut self) -> Winner {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            self.now = at;
            if at > Time::from_millis(END) {
                break;
            }
            self.handle(event);
            if let Some(winner) = self.winner {
                return winner;
            }
        }
        Winner { served_after: Duration::MAX, eligible: false }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Step(index) => self.step(index),
            Event::Feed(index) => {
                self.call(index, Call::Feed, 1_000);
                let pause = self.random.random_range(300..700);
                self.push_at(self.now + Duration::from_millis(pause), Event::Feed(index));
            }
            Event::Answer { index, started, what, lost } => {
                if self.machines[index].started == started {
                    self.answer(index, what, lost);
                }
            }
            Event::Heartbeat { to, term, renewal, age } => {
                let machine = &mut self.machines[to];
                if machine.up {
                    machine.leadership.handle_heartbeat(self.now, Term(term), renewal, age);
                }
            }
            Event::Stop(index) => self.machines[index].up = false,
            Event::Start(index) => self.machines[index].restart(self.now),
            Event::Orders(index) => self.handle_orders(index),
            Event::Resign(index) => {
                let machine = &mut self.machines[index];
                let Role::Leader(term) = machine.leadership.role() else {
                    panic!("the first granter has lost its role");
                };
                // The write fails at once, as the store counts as lost.
                machine.leadership.resign(self.now, Some(true));
                machine.up = false;
                self.machines.iter_mut().for_each(|each| each.is_told = each.up);
                self.send_heartbeats(index, term, 0, Leadership::RESIGNED);
            }
            Event::First(index) => {
                self.machines[index].breaker = StoreHealth::default();
                self.step(index);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.now;
        let machine = &mut self.machines[index];
        let mut action = None;
        if machine.up {
            machine.update_fitness();
            action = machine.leadership.tick(now);
            if let Some(action) = machine.hand_over(now) {
                let term = machine.leadership.known_term();
                self.start_election_call(index, action);
                self.send_heartbeats(index, term, 0, Leadership::RESIGNED);
            }
        }
        if let Some(action) = action {
            self.start_election_call(index, action);
        }
        if self.machines[index].up
            && let Role::Leader(term) = self.machines[index].leadership.role()
        {
            self.lead(index, term);
        }
        let interval = match self.machines[index].leadership.role() {
            Role::Leader(_) => 40,
            Role::Follower => 150,
        };
        self.push_at(now + Duration::from_millis(interval), Event::Step(index));
    }

    /// A step of the granter: loads the table, sends heartbeats and documents.
    fn lead(&mut self, index: usize, term: Term) {
        let now = self.now;
        if self.machines[index].term != term {
            self.machines[index].begin_term(now, term);
        }
        if !self.machines[index].is_loading && !self.machines[index].is_loaded {
            self.machines[index].is_loading = true;
            self.call(index, Call::Load, TABLE_BYTES);
        }
        if now >= self.machines[index].heartbeat_at {
            self.machines[index].heartbeat_at = now + HEARTBEAT;
            let leadership = &self.machines[index].leadership;
            let (renewal, age) =
                (leadership.renewal(), leadership.confirmation_age(now).unwrap_or_default());
            self.send_heartbeats(index, term, renewal, age);
            let routers = self.machines.len() - 1;
            self.machines[index].publish_documents(now, routers);
        }
        self.machines[index].send_queued(now);
    }

    fn send_heartbeats(&mut self, from: usize, term: Term, renewal: u64, age: Duration) {
        for to in (0..self.machines.len()).filter(|to| *to != from) {
            let transit = Duration::from_micros(self.random.random_range(500..8_000));
            let at = self.machines[from].link_free_at(self.now) + transit;
            self.push_at(at, Event::Heartbeat { to, term: term.0, renewal, age });
        }
    }

    fn start_election_call(&mut self, index: usize, action: LeadershipAction) {
        self.actions.push(action);
        let number = self.actions.len() as u64 - 1;
        if !self.call(index, Call::Election(number), 500) {
            self.machines[index].leadership.handle_failure(self.now);
        }
    }

    /// Starts a call of the store; returns false if the circuit breaker refuses it.
    fn call(&mut self, index: usize, what: Call, bytes: usize) -> bool {
        let now = self.now;
        let is_up = self.store_is_up();
        let machine = &mut self.machines[index];
        let is_granter = machine.leadership.role() != Role::Follower;
        if !machine.up || !machine.breaker.allow_call(now, is_granter) {
            machine.is_loading &= what != Call::Load;
            return false;
        }
        let transfer = machine.transfer_time(bytes);
        let queued = machine.link_free_at(now).since(now);
        let transit = Duration::from_millis(self.random.random_range(4..30));
        let (after, lost) = match is_up {
            false => (CONNECT_TIMEOUT, true),
            true if queued + transfer + transit > CALL_TIMEOUT => (CALL_TIMEOUT, true),
            true => (queued + transfer + transit, false),
        };
        let started = machine.started;
        self.push_at(now + after, Event::Answer { index, started, what, lost });
        true
    }

    fn answer(&mut self, index: usize, what: Call, lost: bool) {
        let now = self.now;
        let lost = lost || !self.store_is_up();
        let machine = &mut self.machines[index];
        if lost {
            machine.breaker.record_failure(now);
        } else if machine.breaker.record_success() {
            machine.leadership.record_store_recovery(now);
        }
        match (what, lost) {
            (Call::Election(_), true) => machine.leadership.handle_failure(now),
            (Call::Election(number), false) => {
                let action = self.actions[number as usize].clone();
                self.run_election_call(index, action);
            }
            (Call::Feed, lost) => {
                machine.knows_zones |= !lost && now > Time::from_millis(STORE_BACK)
            }
            (Call::Load, true) => machine.is_loading = false,
            (Call::Load, false) => {
                machine.record_loaded();
                let is_predecessor =
                    machine.leadership.predecessor_term() == Some(self.keys.stored_term());
                let (term, is_told) = (machine.term, machine.is_told && is_predecessor);
                if now > Time::from_millis(STORE_BACK) {
                    self.new_granter = Some(self.keys.take_over(now, term, is_told));
                    self.advance(index);
                }
            }
            (Call::Save, true) => {
                self.call(index, Call::Save, TABLE_BYTES);
            }
            (Call::Save, false) => {
                if let Some(new) = &mut self.new_granter {
                    new.record_save(now);
                }
                self.advance(index);
            }
        }
    }

    /// Runs a step of the new granter, unless another one has replaced it.
    fn advance(&mut self, index: usize) {
        let now = self.now;
        let Some(new) = &mut self.new_granter else { return };
        if self.machines[index].leadership.role() != Role::Leader(new.term) {
            return;
        }
        if self.keys.tick(now, new) {
            self.call(index, Call::Save, TABLE_BYTES);
        } else {
            self.push_at(now + ORDER_TIME, Event::Orders(index));
        }
    }

    fn handle_orders(&mut self, index: usize) {
        let Some(new) = &mut self.new_granter else { return };
        self.keys.answer_orders(self.now, new);
        if self.keys.all_served(new) {
            let served_after = self.now.since(Time::from_millis(STORE_BACK));
            let eligible = self.machines[index].is_eligible();
            self.winner = Some(Winner { served_after, eligible });
        } else {
            self.advance(index);
        }
    }

    fn run_election_call(&mut self, index: usize, action: LeadershipAction) {
        let now = self.now;
        let leadership = &mut self.machines[index].leadership;
        match action {
            LeadershipAction::Read => leadership.handle_record(now, self.record.clone()),
            LeadershipAction::Write { record, expect } => {
                let revision = self.record.as_ref().map(|(revision, _)| *revision);
                if expect != revision {
                    return leadership.handle_record(now, self.record.clone());
                }
                let next = Revision(revision.unwrap_or_default().0 + 1);
                self.record = Some((next, record.clone()));
                leadership.handle_write(now, now, record, next);
            }
        }
    }
}

fn host(index: usize) -> HostName {
    HostName::new(&format!("edge-{index}")).unwrap()
}
