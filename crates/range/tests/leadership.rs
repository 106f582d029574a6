//! The election of the granter by compare-and-set on one stored record.

use std::collections::BTreeMap;
use std::time::Duration;

use bay_range::{Leadership, LeadershipAction, LeadershipRecord, Role};
use bay_time::Time;
use bay_types::{HostName, Revision, StoreEra, Term};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use test_case::test_case;

const STEP: Duration = Duration::from_millis(50);
const HEARTBEAT: Duration = Duration::from_millis(250);
/// Age of the store's confirmation in heartbeats of a confirmed granter.
const CONFIRMED: Duration = Duration::ZERO;
/// The same for a granter that has lost the store.
const UNCONFIRMED: Duration = Duration::from_millis(1_900);

fn host(index: usize) -> HostName {
    HostName::new(&format!("edge-{index}")).unwrap()
}

/// Processes on virtual time that share one store.
struct World {
    now: Time,
    record: Option<(Revision, LeadershipRecord)>,
    processes: Vec<Leadership>,
    /// Whether the store answers each process.
    store_reachable: Vec<bool>,
    /// Calls of the store by each process.
    calls: Vec<usize>,
    heartbeat_at: Time,
    /// Whether the granter's heartbeats arrive.
    heartbeats_arrive: bool,
    /// Era of the store.
    era: StoreEra,
}

impl World {
    fn new(count: usize) -> World {
        let now = Time::from_millis(1_000);
        let delay = |index| Duration::from_millis(60 * index as u64);
        World {
            now,
            record: None,
            processes: (0..count)
                .map(|index| Leadership::new(host(index), 1, delay(index), now))
                .collect(),
            store_reachable: vec![true; count],
            calls: vec![0; count],
            heartbeat_at: now,
            heartbeats_arrive: true,
            era: StoreEra::default(),
        }
    }

    fn leaders(&self) -> Vec<usize> {
        let leads = |index: &usize| self.processes[*index].role() != Role::Follower;
        (0..self.processes.len()).filter(leads).collect()
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for index in 0..self.processes.len() {
                if let Some(action) = self.processes[index].tick(self.now) {
                    self.calls[index] += 1;
                    self.call(index, action);
                }
            }
            if self.now >= self.heartbeat_at {
                self.heartbeat_at = self.now + HEARTBEAT;
                self.heartbeat();
            }
        }
    }

    fn call(&mut self, index: usize, action: LeadershipAction) {
        let process = &mut self.processes[index];
        if !self.store_reachable[index] {
            return process.handle_failure(self.now);
        }
        match action {
            LeadershipAction::Read => process.handle_record(self.now, self.record.clone()),
            LeadershipAction::Write { record, expect } => {
                let revision = self.record.as_ref().map(|(revision, _)| *revision);
                if expect != revision {
                    return process.handle_record(self.now, self.record.clone());
                }
                let own = revision.unwrap_or_default().own();
                let next = Revision(own.0 + 1).in_era(self.era);
                self.record = Some((next, record.clone()));
                process.handle_write(self.now, self.now, record, next);
            }
        }
    }

    fn heartbeat(&mut self) {
        for leader in self.leaders() {
            let process = &self.processes[leader];
            let Role::Leader(term) = process.role() else {
                continue;
            };
            let (renewal, unconfirmed) =
                (process.renewal(), process.confirmation_age(self.now).unwrap_or_default());
            for index in
                (0..self.processes.len()).filter(|index| *index != leader && self.heartbeats_arrive)
            {
                self.processes[index].handle_heartbeat(self.now, term, renewal, unconfirmed);
            }
        }
    }
}

fn elected(count: usize) -> World {
    let mut world = World::new(count);
    world.run(Duration::from_secs(5));
    assert_eq!(world.leaders().len(), 1);
    world
}

#[test]
fn one_process_becomes_the_granter_and_stays_the_granter() {
    let mut world = elected(5);
    let before = world.leaders();
    world.run(Duration::from_secs(20));
    assert_eq!(world.leaders(), before);
    assert_eq!(world.record.unwrap().1.term, Term(1));
}

#[test]
fn a_granter_without_heartbeats_is_replaced_once_it_stops_renewing() {
    let mut world = elected(5);
    let first = world.leaders()[0];
    world.store_reachable[first] = false;
    world.heartbeats_arrive = false;
    world.run(Duration::from_secs(4));
    world.heartbeats_arrive = true;
    world.run(Duration::from_secs(1));
    let leaders = world.leaders();
    assert!(leaders.len() == 1 && leaders[0] != first, "{leaders:?}");
}

#[test]
fn a_granter_without_heartbeats_stays_while_it_renews() {
    let mut world = elected(5);
    let before = world.leaders();
    world.heartbeats_arrive = false;
    world.run(Duration::from_millis(2_500));
    world.heartbeats_arrive = true;
    world.run(Duration::from_secs(5));
    assert_eq!(world.leaders(), before);
}

/// The granter's heartbeats report that the store does not answer it. The time since its last
/// renewal must not matter.
#[test_case(0; "at once")]
#[test_case(300; "300 ms later")]
#[test_case(600; "600 ms later")]
#[test_case(900; "900 ms later")]
fn a_granter_that_the_store_refuses_is_replaced_within_two_and_a_half_seconds(after_ms: u64) {
    let mut world = elected(5);
    world.run(Duration::from_millis(after_ms));
    let first = world.leaders()[0];
    world.store_reachable[first] = false;
    world.run(Duration::from_millis(2_500));
    let next: Vec<usize> = world.leaders().into_iter().filter(|index| *index != first).collect();
    assert_eq!(next.len(), 1);
}

#[test]
fn a_store_outage_keeps_the_granter_and_costs_a_follower_few_calls() {
    let mut world = elected(5);
    let before = world.leaders();
    world.store_reachable.fill(false);
    world.calls.fill(0);
    world.run(Duration::from_secs(10));
    let follower = (0..5).find(|index| *index != before[0]).unwrap();
    assert!(world.calls[follower] <= 13, "{} calls", world.calls[follower]);
    world.store_reachable.fill(true);
    world.run(Duration::from_millis(600));
    assert_eq!(world.leaders().len(), 1);
}

#[test]
fn a_follower_makes_no_calls_while_it_receives_heartbeats() {
    let mut process = Leadership::new(host(1), 1, Duration::ZERO, Time::from_millis(0));
    for step in 0..40_u64 {
        let now = Time::from_millis(step * 250);
        process.handle_heartbeat(now, Term(3), step / 4, CONFIRMED);
        assert_eq!(process.tick(now), None);
    }
    let now = Time::from_millis(10_000);
    process.handle_heartbeat(now, Term(3), 10, UNCONFIRMED);
    assert_eq!(process.tick(now), Some(LeadershipAction::Read));
}

#[test]
fn a_granter_that_announces_its_resignation_is_replaced_within_half_a_second() {
    let mut world = elected(5);
    let first = world.leaders()[0];
    let Role::Leader(term) = world.processes[first].role() else { unreachable!() };
    let action = world.processes[first].resign(world.now, Some(true)).unwrap();
    world.call(first, action);
    assert!(world.leaders().is_empty());
    for index in 0..5 {
        world.processes[index].handle_heartbeat(world.now, term, 0, Leadership::RESIGNED);
    }
    world.run(Duration::from_millis(500));
    let leaders = world.leaders();
    assert_eq!(leaders.len(), 1);
    assert!(world.processes[leaders[0]].has_settled_predecessor());
    assert!(!world.processes[leaders[0]].has_earlier_granters());
}

/// After a loss of all processes, the last granter's host knows that this granter has ended.
#[test]
fn the_host_of_the_last_granter_takes_over_at_once_when_all_processes_restart() {
    let mut world = elected(5);
    world.run(Duration::from_secs(2));
    let last = world.leaders()[0];
    world.processes = (0..5)
        .map(|index| {
            let delay = Duration::from_millis(60 * index as u64);
            Leadership::new(host(index), 2, delay, world.now)
        })
        .collect();
    world.run(Duration::from_millis(500));
    assert_eq!(world.leaders(), [last]);
}

/// A process that starts beside a live granter does not take over from it.
#[test]
fn a_process_that_restarts_alone_follows_the_granter() {
    let mut world = elected(5);
    let before = world.leaders();
    let other = (0..5).find(|index| *index != before[0]).unwrap();
    world.processes[other] = Leadership::new(host(other), 2, Duration::ZERO, world.now);
    world.run(Duration::from_secs(5));
    assert_eq!(world.leaders(), before);
}

/// When all processes start together, a host that is too small to serve as granter must not win
/// because it was the last one.
#[test]
fn a_small_machine_that_was_the_last_granter_leaves_the_role_to_larger_ones() {
    let mut world = World::new(5);
    let record = LeadershipRecord {
        host: host(0),
        incarnation: 1,
        term: Term(3),
        renewal: 7,
        resigned: false,
        settled: false,
        earlier_granters: Vec::new(),
        store_era: None,
        holds_known_in: None,
    };
    world.record = Some((Revision(5), record));
    let small = Duration::from_millis(900);
    world.processes[0] = Leadership::new(host(0), 2, small, world.now);
    world.run(Duration::from_millis(2_500));
    let leaders = world.leaders();
    assert!(leaders.len() == 1 && leaders[0] != 0, "{leaders:?}");
}

/// Of many followers, one nearly always reaches the store before the granter does.
#[test]
fn a_granter_that_outlives_a_store_outage_is_not_replaced_by_a_follower_that_sees_its_end_first() {
    for ahead_ms in [0, 100, 250, 400, 500] {
        let mut world = elected(5);
        let before = world.leaders();
        world.store_reachable.fill(false);
        world.run(Duration::from_secs(8));
        world.store_reachable.fill(true);
        world.store_reachable[before[0]] = false;
        world.run(Duration::from_millis(ahead_ms));
        world.store_reachable[before[0]] = true;
        world.run(Duration::from_secs(3));
        assert_eq!(world.leaders(), before, "{ahead_ms} ms ahead");
        assert_eq!(world.record.unwrap().1.term, Term(1), "{ahead_ms} ms ahead");
    }
}

#[test]
fn a_granter_that_does_not_outlive_a_store_outage_is_replaced_within_two_and_a_half_seconds() {
    let mut world = elected(5);
    let before = world.leaders();
    world.store_reachable.fill(false);
    world.run(Duration::from_secs(8));
    world.store_reachable.fill(true);
    world.store_reachable[before[0]] = false;
    world.run(Duration::from_millis(2_500));
    let next: Vec<_> = world.leaders().into_iter().filter(|index| *index != before[0]).collect();
    assert_eq!(next.len(), 1);
}

/// A granter that is stopped during an outage cannot write its resignation.
#[test]
fn a_granter_that_resigns_during_a_store_outage_is_replaced_within_a_second_of_its_end() {
    let mut world = elected(5);
    let first = world.leaders()[0];
    world.store_reachable.fill(false);
    world.run(Duration::from_secs(8));
    let Role::Leader(term) = world.processes[first].role() else { unreachable!() };
    let action = world.processes[first].resign(world.now, Some(true)).unwrap();
    world.call(first, action);
    for index in 0..5 {
        world.processes[index].handle_heartbeat(world.now, term, 0, Leadership::RESIGNED);
    }
    world.run(Duration::from_secs(1));
    world.store_reachable.fill(true);
    world.run(Duration::from_secs(1));
    assert_eq!(world.leaders().len(), 1);
}

/// The second granter is stopped before it has loaded the range table.
#[test]
fn orders_that_an_earlier_granter_left_unanswered_are_not_forgotten_by_a_short_term() {
    let mut world = elected(5);
    for settled in [Some(false), None] {
        let granter = world.leaders()[0];
        let Role::Leader(term) = world.processes[granter].role() else { unreachable!() };
        let action = world.processes[granter].resign(world.now, settled).unwrap();
        world.call(granter, action);
        for process in &mut world.processes {
            process.handle_heartbeat(world.now, term, 0, Leadership::RESIGNED);
        }
        world.run(Duration::from_millis(500));
    }
    assert_eq!(world.record.as_ref().unwrap().1.term, Term(3));
    let granter = world.leaders()[0];
    assert!(!world.processes[granter].has_settled_predecessor());
}

/// Makes a granter hand over; its write reaches the store only if the store answers it.
fn hand_over(world: &mut World, index: usize) -> bool {
    let Role::Leader(term) = world.processes[index].role() else { return false };
    let Some(action) = world.processes[index].hand_over(world.now, true) else { return false };
    for other in (0..world.processes.len()).filter(|other| *other != index) {
        world.processes[other].handle_heartbeat(world.now, term, 0, Leadership::RESIGNED);
    }
    world.call(index, action);
    true
}

/// Guards against a granter that neither loads its tables nor lets others take over.
#[test_case(true; "with the store")]
#[test_case(false; "without the store")]
fn a_granter_that_does_not_load_its_tables_is_replaced_within_a_second(store_reachable: bool) {
    let mut world = World::new(5);
    while world.leaders().is_empty() {
        world.run(STEP);
    }
    let first = world.leaders()[0];
    world.store_reachable[first] = store_reachable;
    assert!(!hand_over(&mut world, first), "the start timeout has not passed");
    world.run(Leadership::START_TIMEOUT);
    assert_eq!(world.processes[first].hand_over(world.now, false), None, "nobody else is there");
    assert!(hand_over(&mut world, first));
    world.run(Duration::from_secs(1));
    let leaders = world.leaders();
    assert!(leaders.len() == 1 && leaders[0] != first, "{leaders:?}");
    assert!(!world.processes[leaders[0]].has_earlier_granters());
}

/// Guards against resignations in turn without end while no router can load its tables.
#[test]
fn routers_that_all_fail_to_load_their_tables_hand_over_ever_less_often() {
    let mut world = elected(5);
    let handovers = |world: &mut World, seconds: u64| {
        let until = world.now + Duration::from_secs(seconds);
        let mut count = 0;
        while world.now < until {
            world.run(STEP);
            count += world.leaders().into_iter().filter(|each| hand_over(world, *each)).count();
        }
        count
    };
    let (early, _, late) =
        (handovers(&mut world, 10), handovers(&mut world, 110), handovers(&mut world, 10));
    assert!(late <= 4 && late < early, "{early} in the first 10 s, {late} in the last");
}

#[test]
fn a_granter_that_has_loaded_its_tables_does_not_hand_over() {
    let mut world = elected(2);
    let granter = world.leaders()[0];
    world.processes[granter].record_working();
    assert!(!hand_over(&mut world, granter));
}

/// Guards against two granters of one term: the write of a renewal may be answered after the
/// resignation, and the record then shows the process as the granter.
#[test]
fn an_answer_to_an_earlier_renewal_does_not_undo_a_resignation() {
    let mut world = elected(1);
    let process = &mut world.processes[0];
    let now = world.now + Duration::from_secs(2);
    let Some(LeadershipAction::Write { record, .. }) = process.tick(now) else { unreachable!() };
    assert!(process.resign(now, Some(true)).is_some());
    process.handle_write(now, now, record.clone(), Revision(90));
    assert_eq!(process.role(), Role::Follower);
    process.handle_record(now, Some((Revision(90), record)));
    assert_eq!(process.role(), Role::Follower);
}

/// Guards against the wait for a renewal of a granter that has said that it resigned but could not
/// write it, and against a wait that a delayed earlier heartbeat starts anew.
#[test]
fn a_heartbeat_that_says_resigned_counts_like_a_resigned_record() {
    let mut world = elected(2);
    let granter = world.leaders()[0];
    let Role::Leader(term) = world.processes[granter].role() else { unreachable!() };
    let record = world.record.clone();
    let follower = &mut world.processes[1 - granter];
    let now = world.now;
    follower.handle_heartbeat(now, term, 0, Leadership::RESIGNED);
    follower.handle_heartbeat(now, term, 5, CONFIRMED);
    let later = now + Duration::from_millis(100);
    assert_eq!(follower.tick(later), Some(LeadershipAction::Read));
    follower.handle_record(later, record);
    let later = later + Duration::from_millis(100);
    let Some(LeadershipAction::Write { record, .. }) = follower.tick(later) else { unreachable!() };
    assert!(record.earlier_granters.is_empty());
    assert!(!follower.has_settled_predecessor());
}

/// Guards against two holders: the last reports that an earlier granter has received count there for a
/// while, also for a successor that loads its range table after it has heard from most routers.
#[test]
fn a_table_loaded_after_the_earlier_granters_were_removed_waits_for_their_last_renewals() {
    let mut world = elected(2);
    let now = world.now;
    let later = now + Duration::from_millis(300);
    let until = now + Duration::from_secs(1);
    let process = &mut world.processes[0];
    assert_eq!(process.earlier_granters_ended_at(now), Some(now));
    process.clear_earlier_granters(until);
    assert_eq!(process.earlier_granters_ended_at(later), Some(until));
    let later = until + Duration::from_secs(1);
    assert_eq!(process.earlier_granters_ended_at(later), Some(later));
}

/// Guards against a fleet without a working granter while the store is slow: with a fixed time to start,
/// each router would hand over before its tables are loaded.
#[test]
fn a_slow_store_does_not_make_all_routers_hand_over_without_end() {
    const LOAD_TIME: Duration = Duration::from_millis(1_000);
    let mut world = World::new(20);
    let mut won: Option<(Role, Time)> = None;
    let until = world.now + Duration::from_secs(10);
    while world.now < until {
        world.run(STEP);
        for index in world.leaders() {
            let role = world.processes[index].role();
            let at = won.filter(|(known, _)| *known == role).map_or(world.now, |(_, at)| at);
            won = Some((role, at));
            if world.now.since(at) >= LOAD_TIME {
                return;
            }
            hand_over(&mut world, index);
        }
    }
    panic!("no router has loaded its tables: {:?}", world.record);
}

#[test_case(false; "the copy has the record of an earlier granter")]
#[test_case(true; "the copy has no record")]
fn a_granter_writes_its_record_again_after_the_store_was_restored(is_gone: bool) {
    let mut world = elected(3);
    let copy = world.record.clone().filter(|_| !is_gone);
    let first = world.leaders()[0];
    world.processes[first].resign(world.now, Some(true));
    world.run(Duration::from_secs(4));
    let before = world.leaders();
    let term = world.record.as_ref().unwrap().1.term;
    world.record = copy.map(|(_, record)| (Revision(1).in_era(StoreEra(1)), record));
    world.run(Duration::from_secs(5));
    assert_eq!(world.leaders(), before);
    assert_eq!(world.record.unwrap().1.term, term);
}

/// The store is restored again and again from copies of different age, and processes restart.
#[test]
fn no_term_has_two_granters_although_the_store_is_restored() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World::new(4);
        let mut granters: BTreeMap<Term, (usize, u64)> = BTreeMap::new();
        let mut copy = None;
        let mut incarnations = [1; 4];
        for _ in 0..300 {
            world.run(STEP * random.random_range(1..8));
            match random.random_range(0..16) {
                0 => copy = world.record.clone(),
                1 => {
                    world.era.0 += 1;
                    let era = world.era;
                    let restored = |(revision, record): (Revision, LeadershipRecord)| {
                        (revision.in_era(era), record)
                    };
                    world.record = copy.clone().map(restored);
                }
                2 => {
                    let index = random.random_range(0..4);
                    incarnations[index] += 1;
                    let delay = Duration::from_millis(60 * index as u64);
                    world.processes[index] =
                        Leadership::new(host(index), incarnations[index], delay, world.now);
                }
                3 => world.heartbeats_arrive = !world.heartbeats_arrive,
                4 => {
                    let index = random.random_range(0..4);
                    world.store_reachable[index] = !world.store_reachable[index];
                }
                _ => {}
            }
            // Every answer of the store tells the era.
            for index in 0..4 {
                if world.store_reachable[index] {
                    world.processes[index].record_store_era(world.now, Some(world.era));
                }
            }
            for leader in world.leaders() {
                let Role::Leader(term) = world.processes[leader].role() else { continue };
                let granter = (leader, incarnations[leader]);
                let known = granters.entry(term).or_insert(granter);
                assert_eq!(*known, granter, "seed {seed}: two granters of term {}", term.0);
            }
        }
    }
}
