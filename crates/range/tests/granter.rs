//! The granter on virtual time: every key has an owner, and never two owners at once.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{
    Candidate, FormerOwner, GrantOrder, Granter, GranterAction, HoldProof, HoldTimes, Holding,
    KeyLoads, KeyRange, KnownHolds, OrderResult, OwnerId, RangeTable,
};
use bay_time::Time;
use bay_types::{ServerName, StoreEra, Term, Token, ZoneName};
use rand::RngExt;
use support::{Faults, World, proven};
use test_case::test_case;

/// Time after which a new granter has granted all keys.
const START_UP: Duration = Duration::from_secs(6);

fn started_world(servers: usize, seed: u64) -> World {
    let mut world = World::new(servers, seed);
    world.elect();
    world.run(START_UP);
    assert_eq!(world.held_share(), 1.0);
    world
}

#[test]
fn all_keys_are_granted_once_the_servers_are_listed() {
    let world = started_world(5, 1);
    assert_eq!(world.holders(0).len(), 1);
}

#[test]
fn servers_that_are_listed_a_moment_later_get_keys_without_a_move() {
    let mut world = World::new(6, 1);
    for server in &mut world.servers[2..] {
        server.listed = false;
    }
    world.elect();
    world.run(Duration::from_millis(1_000));
    for server in &mut world.servers {
        server.listed = true;
    }
    world.run(START_UP);
    let first_change = world.stored.holdings.iter().all(|holding| holding.former.is_none());
    assert!(first_change);
    let owners: std::collections::BTreeSet<_> =
        world.stored.holdings.iter().map(|holding| holding.owner).collect();
    assert_eq!(owners.len(), 6);
}

#[test]
fn the_keys_of_a_restarted_server_are_granted_again_within_two_seconds() {
    let mut world = started_world(4, 2);
    world.restart(0);
    world.run(Duration::from_secs(2));
    assert_eq!(world.held_share(), 1.0);
}

#[test]
fn the_keys_of_a_silent_server_move_once_its_hold_has_run_out() {
    let mut world = started_world(4, 3);
    world.servers[0].reachable = false;
    world.run(Duration::from_secs(1));
    world.servers[0].listed = false;
    world.run(world.times.max_after_arrival());
    world.servers[0].up = false;
    world.run(Duration::from_secs(1));
    assert_eq!(world.held_share(), 1.0);
}

#[test]
fn a_store_outage_takes_no_key_out_of_service() {
    let mut world = started_world(4, 4);
    world.store_up = false;
    world.run(Duration::from_secs(10));
    assert_eq!(world.held_share(), 1.0);
}

#[test]
fn moves_that_cannot_be_saved_leave_the_keys_with_their_owner() {
    let mut world = started_world(4, 5);
    for _ in 0..200 {
        world.loads.add(7, 1);
        world.loads.add(8, 1);
    }
    world.step();
    world.store_up = false;
    world.run(Duration::from_secs(4));
    assert_eq!(world.held_share(), 1.0);
}

#[test]
fn busy_keys_are_spread_over_the_servers() {
    let mut world = started_world(4, 6);
    for _ in 0..150 {
        for key in 0..20 {
            world.loads.add(key, if world.random.random_bool(0.1) { 1 } else { 0 });
        }
        world.run(Duration::from_millis(100));
        for key in 100..140_u16 {
            world.loads.add(key, 1);
        }
    }
    let owners: std::collections::BTreeSet<_> =
        (100..140).flat_map(|key| world.holders(key)).collect();
    assert!(owners.len() >= 3, "busy keys are on {owners:?}");
}

#[test]
fn a_successor_serves_all_keys_while_the_earlier_granter_still_renews() {
    let mut world = started_world(5, 7);
    world.elect();
    world.run(Duration::from_secs(3));
    assert_eq!(world.held_share(), 1.0);
    world.servers[1].candidate.eligible = false;
    world.run(Duration::from_secs(3));
    assert_eq!(world.held_share(), 1.0);
}

/// A renewal that reaches its server long after it was sent extends the hold that the granter has
/// to wait for.
#[test_case(11)]
#[test_case(12)]
#[test_case(13)]
fn a_late_renewal_never_gives_a_key_two_owners(seed: u64) {
    let mut world = started_world(4, seed);
    world.faults.transit_ms = 900;
    for round in 0..8 {
        world.run(Duration::from_millis(2_500));
        let index = round % 4;
        world.servers[index].reachable = false;
        world.servers[index].listed = false;
        world.run(Duration::from_secs(5));
        world.servers[index].reachable = true;
        world.servers[index].listed = true;
    }
}

/// After an outage of the store, the stale entry of an ended server can have the address of a later
/// server. It must not count as proof that the later server has ended.
#[test]
fn a_stale_entry_at_the_address_of_a_live_server_does_not_end_it() {
    let mut world = started_world(4, 8);
    world.servers[3].up = false;
    world.servers[3].reachable = false;
    world.run(Duration::from_secs(8));
    world.servers[3].candidate.address = world.servers[0].candidate.address;
    world.servers[3].candidate.eligible = false;
    world.servers[0].candidate.eligible = false;
    world.run(world.times.max_after_arrival() + Duration::from_secs(2));
    assert_eq!(world.held_share(), 1.0);
}

/// An order whose result never arrives must not leave its keys without renewals.
#[test]
fn an_order_whose_result_is_lost_is_sent_again() {
    let mut world = started_world(3, 9);
    world.lose_results = true;
    world.run(Duration::from_secs(2));
    world.lose_results = false;
    world.run(Duration::from_secs(6));
    assert_eq!(world.held_share(), 1.0);
}

/// A granter that reloads its own table must not restart its counter, as servers refuse lower
/// tokens.
#[test]
fn a_table_reloaded_within_a_term_gets_higher_tokens() {
    let mut world = started_world(3, 10);
    let highest = world.stored.holdings.iter().map(|holding| holding.token).max();
    world.reload();
    world.run(Duration::from_secs(3));
    let lowest = world.stored.holdings.iter().map(|holding| holding.token).min();
    assert!(lowest > highest);
    assert_eq!(world.held_share(), 1.0);
}

#[test]
fn random_faults_never_give_a_key_two_owners() {
    for seed in (0..40).chain([893]) {
        let mut world = World::new(5, seed);
        world.elect();
        world.run(START_UP);
        for _ in 0..25 {
            random_event(&mut world);
            let span = world.random.random_range(100..2_500);
            world.run(Duration::from_millis(span));
        }
    }
}

fn random_event(world: &mut World) {
    let index = world.random.random_range(0..world.servers.len());
    match world.random.random_range(0..12) {
        0 => world.restart(index),
        1 => world.servers[index].reachable ^= true,
        2 => world.servers[index].listed ^= true,
        3 => world.servers[index].candidate.eligible ^= true,
        4 => world.servers[index].candidate.cold ^= true,
        5 => world.store_up ^= true,
        6 if world.granters.len() < 8 => {
            world.elect();
        }
        7 => {
            // The earlier granters crash.
            let last = world.granters.len() - 1;
            world.granters[..last].fill_with(|| None);
        }
        8 => {
            let lost = world.random.random_range(0.0..0.4);
            let late = world.random.random_range(0.0..0.3);
            let transit_ms = world.random.random_range(1..500);
            world.faults = Faults { lost, late, transit_ms };
        }
        9 => {
            let key: u16 = world.random.random();
            for each in key..key.saturating_add(50) {
                world.loads.add(each, 20);
            }
        }
        10 => {
            let last = world.granters.len() - 1;
            let alone = world.granters[..last].iter().all(Option::is_none);
            if alone && world.granters[last].is_some() {
                world.resign();
            }
        }
        _ => world.faults = Faults { transit_ms: 5, ..Faults::default() },
    }
}

/// A granter that resigns without unanswered orders lets its successor finish moves in progress
/// without waiting for former holds to expire.
#[test]
fn a_successor_of_a_settled_granter_finishes_its_moves_at_once() {
    let mut world = started_world(4, 31);
    world.servers[0].candidate.eligible = false;
    // Runs until the move is saved and its releases are sent, but not answered.
    while world.stored.holdings.iter().all(|holding| holding.former.is_none()) {
        world.step();
    }
    assert!(world.resign());
    world.run(Duration::from_millis(600));
    assert_eq!(world.held_share(), 1.0);
}

/// Drives a granter without a world: saves succeed, and every release has this result. Returns the time of the first grant and the last saved table.
fn run_until_grant(
    granter: &mut Granter,
    candidates: &[Candidate],
    start: Time,
    release_result: &OrderResult,
) -> (Time, RangeTable) {
    let loads = KeyLoads::default();
    let mut now = start;
    let mut saved = RangeTable::default();
    loop {
        now += Duration::from_millis(40);
        assert!(now.since(start) < Duration::from_secs(60), "the keys are never granted");
        let mut actions = Vec::new();
        granter.tick(now, candidates, &loads, false, &mut actions);
        for action in actions {
            match action {
                GranterAction::Save(table) => {
                    granter.record_save(now, table.change, &mut Vec::new());
                    saved = table;
                }
                GranterAction::Order { id, order: GrantOrder::Release { .. }, .. } => {
                    granter.handle_order_result(now, id, release_result, &mut Vec::new());
                }
                GranterAction::Order { .. } => return (now, saved),
                GranterAction::Publish => {}
            }
        }
    }
}

/// A granter can end right after it has saved a move, before it releases the keys. If the new owner
/// ends too, its successor moves the keys once more: then the first owner may still hold them,
/// although the second one, whose address another server has now, does not. That also holds for the
/// successor's successor.
#[test]
fn keys_moved_twice_without_a_release_wait_for_the_first_owner() {
    let owner = |name: &str| OwnerId { server: ServerName::new(name).unwrap(), started: 1 };
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let first = FormerOwner { owner: owner("first"), address: address(1), token: Token(1) };
    let stored = RangeTable {
        term: Term(1),
        change: 5,
        holdings: vec![Holding {
            range: KeyRange::ALL,
            owner: owner("second"),
            address: address(2),
            token: Token(2),
            former: Some(first),
            has_earlier_former: false,
        }],
        store_era: None,
    };
    let third = Candidate {
        owner: owner("third"),
        address: address(3),
        zone: ZoneName::new("a").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: None,
        rate_limit: None,
    };
    let times = HoldTimes::bounded_by(Duration::from_secs(10));
    let start = Time::from_millis(60_000);
    let mut granter = Granter::take_over(start, Term(2), times, proven(stored));
    granter.record_earlier_granters_ended(start);
    let (granted_at, saved) =
        run_until_grant(&mut granter, &[third], start, &OrderResult::OtherServer);
    assert!(granted_at >= start + times.max_after_arrival(), "{:?}", granted_at.since(start));

    let fourth = Candidate { owner: owner("fourth"), address: address(4), ..third };
    let mut granter = Granter::take_over(start, Term(3), times, proven(saved));
    granter.record_earlier_granters_ended(start);
    let (granted_at, _) =
        run_until_grant(&mut granter, &[fourth], start, &OrderResult::OtherServer);
    assert!(granted_at >= start + times.max_after_arrival(), "{:?}", granted_at.since(start));
}

/// Guards against keys that stay without an owner after a store outage, although the granter that was
/// stopped at its end knew that no server held them: the successor would wait for a hold to run out.
#[test]
fn keys_of_servers_that_left_during_an_outage_are_granted_at_once_after_a_resignation() {
    let held_soon = |tells: bool| {
        let mut world = World::new(60, 3);
        world.elect();
        world.run(Duration::from_secs(6));
        world.store_up = false;
        for server in &mut world.servers[..12] {
            server.up = false;
            server.listed = false;
        }
        world.run(Duration::from_secs(6));
        assert!(world.held_share() < 0.9, "nobody takes over the keys during the outage");
        world.store_up = true;
        world.resign_and_tell(tells);
        world.run(Duration::from_millis(500));
        world.held_share()
    };
    assert_eq!(held_soon(true), 1.0);
    assert!(held_soon(false) < 0.9);
}

/// The world checks at each step that no key has two holders, with lost and late orders and with
/// servers that are only out of reach and go on serving.
#[test]
fn what_a_resigning_granter_says_about_holders_is_true_whatever_happens_to_its_orders() {
    for seed in 0..40 {
        let mut world = World::new(12, seed);
        world.elect();
        world.run(Duration::from_secs(6));
        world.faults = Faults { lost: 0.1, late: 0.05, transit_ms: 60 };
        for round in 0..4 {
            world.servers[round].reachable = false;
            world.servers[round].listed = false;
            world.servers[round + 4].up = false;
            // Without the store the keys stay with their owners, whose renewals fail.
            world.store_up = round % 2 == 1;
            let span = world.random.random_range(500..6_000);
            world.run(Duration::from_millis(span));
            world.store_up = true;
            world.resign_and_tell(true);
            world.run(Duration::from_secs(1));
        }
    }
}

/// Guards against two holders: a granter that reads its table again has sent orders since its
/// predecessor resigned.
#[test]
fn what_a_predecessor_said_about_holders_is_ignored_once_the_table_is_of_a_later_term() {
    let mut world = World::new(4, 5);
    world.elect();
    world.run(Duration::from_secs(6));
    let now = world.now;
    let stored = world.stored.clone();
    let served = |by: Term| {
        let mut granter = Granter::take_over(now, Term(3), world.times, proven(stored.clone()));
        granter.record_ended_holds(now, by, &[KeyRange::ALL]);
        granter.served_ranges().len()
    };
    assert_eq!(stored.term, Term(1));
    assert_eq!(served(Term(1)), 0);
    assert_eq!(served(Term(0)), stored.holdings.len());
}

/// Guards against two holders after ranges were joined: their renewals were sent at different times, and
/// the owner holds each until its own time if the grant of the joined range does not reach it.
#[test]
fn joined_ranges_wait_for_the_last_of_their_holds() {
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let candidate = |name: &str, port: u16| Candidate {
        owner: OwnerId { server: ServerName::new(name).unwrap(), started: 1 },
        address: address(port),
        zone: ZoneName::new("a").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: None,
        rate_limit: None,
    };
    let (owner, next) = (candidate("owner", 1), candidate("next", 2));
    let former = FormerOwner { owner: next.owner, address: address(3), token: Token(1) };
    let width = 65_536 / 4;
    let holding = |index: u32| Holding {
        range: KeyRange::new((index * width) as u16, ((index + 1) * width - 1) as u16),
        owner: owner.owner,
        address: owner.address,
        token: Token(2),
        former: Some(former),
        has_earlier_former: false,
    };
    let holdings = (0..4).map(holding).collect();
    let stored = RangeTable { term: Term(1), change: 5, holdings, store_era: None };
    let late_key = (width + 5) as u16;
    let times = HoldTimes::bounded_by(Duration::from_secs(10));
    let start = Time::from_millis(60_000);
    let (early, late_at) = (Duration::from_millis(200), Duration::from_millis(800));
    let gone_at = Duration::from_millis(1_600);
    let mut granter = Granter::take_over(start, Term(2), times, proven(stored));
    granter.record_predecessor_settled(start);
    let (mut now, mut last_granted, mut was_joined) = (start, start, false);
    loop {
        now += Duration::from_millis(20);
        assert!(now.since(start) < Duration::from_secs(20), "the keys are never granted");
        let candidates = if now.since(start) < gone_at { [owner] } else { [next] };
        let mut actions = Vec::new();
        granter.tick(now, &candidates, &KeyLoads::default(), false, &mut actions);
        let says_ended = granter.ended_holds(now).iter().any(|range| range.contains(late_key));
        assert!(!says_ended || now >= last_granted + times.max_after_arrival());
        for action in actions {
            let (id, to, order) = match action {
                GranterAction::Save(table) => {
                    granter.record_save(now, table.change, &mut Vec::new());
                    continue;
                }
                GranterAction::Order { id, to, order, .. } => (id, to, order),
                GranterAction::Publish => continue,
            };
            let result = match order {
                GrantOrder::Release { .. } if now.since(start) < gone_at => {
                    OrderResult::OtherServer
                }
                GrantOrder::Grant { range, .. } if to == next.owner => {
                    if range.contains(late_key) {
                        assert!(was_joined, "the ranges are not joined");
                        let waited = now.since(last_granted);
                        assert!(waited >= times.max_after_arrival(), "{waited:?}");
                        return;
                    }
                    OrderResult::Granted
                }
                GrantOrder::Grant { range, .. } if range.contains(late_key) => {
                    was_joined |= range.contains(5);
                    match !was_joined && now.since(start) >= late_at {
                        true => {
                            last_granted = now;
                            OrderResult::Granted
                        }
                        false => OrderResult::NotSent,
                    }
                }
                GrantOrder::Grant { range, .. }
                    if range.contains(5) && now.since(start) < early =>
                {
                    OrderResult::Granted
                }
                _ => OrderResult::NotSent,
            };
            granter.handle_order_result(now, id, &result, &mut Vec::new());
        }
    }
}

/// Guards against a record that says *settled* while an order of one service is unanswered, because the
/// table of another service is not loaded.
#[test]
fn an_unanswered_order_counts_although_another_table_is_not_loaded() {
    let mut world = World::new(3, 1);
    world.elect();
    let now = world.now;
    let fresh = world.granters[0].as_ref().unwrap();
    assert!(!fresh.may_have_sent_orders());
    let until = now + world.times.max_after_arrival();
    assert_eq!(Granter::are_all_settled(until, [Some(fresh), None]), None);
    assert_eq!(Granter::are_all_settled(until, [Some(fresh)]), Some(true));
    world.lose_results = true;
    world.run(Duration::from_secs(1));
    let now = world.now;
    let busy = world.granters[0].as_ref().unwrap();
    assert!(busy.may_have_sent_orders());
    assert_eq!(Granter::are_all_settled(now, [None, Some(busy)]), Some(false));
}

/// Guards against keys that stay published for an owner whose address another server has, as they did
/// while the store was down and no move could be saved.
#[test_case(OrderResult::OtherServer)]
#[test_case(OrderResult::NotAnOrder)]
fn keys_of_an_owner_whose_address_another_server_has_are_not_served(answer: OrderResult) {
    let mut world = started_world(2, 5);
    let now = world.now + Duration::from_secs(20);
    let granter = world.granters.iter_mut().flatten().next().unwrap();
    let candidates: Vec<Candidate> = world.servers.iter().map(|server| server.candidate).collect();
    let gone = candidates[0].owner;
    assert!(granter.served_ranges().iter().any(|(_, owner)| *owner == gone));
    let mut actions = Vec::new();
    granter.tick(now, &candidates, &KeyLoads::default(), true, &mut actions);
    let mut published = Vec::new();
    for action in actions {
        if let GranterAction::Order { id, to, .. } = action {
            let result = if to == gone { answer.clone() } else { OrderResult::Granted };
            granter.handle_order_result(now, id, &result, &mut published);
        }
    }
    assert!(published.iter().any(|action| matches!(action, GranterAction::Publish)));
    assert!(granter.served_ranges().iter().all(|(_, owner)| *owner != gone));
}

#[test]
fn a_table_is_saved_again_after_the_store_was_restored_and_holds_are_renewed_meanwhile() {
    let mut world = started_world(2, 5);
    world.run(Duration::from_secs(1));
    let now = world.now + Duration::from_secs(2);
    let granter = world.granters.iter_mut().flatten().next().unwrap();
    granter.record_store_restored();
    let mut actions = Vec::new();
    granter.tick(now, &[], &KeyLoads::default(), false, &mut actions);
    let saves = actions.iter().filter(|action| matches!(action, GranterAction::Save(_)));
    assert_eq!(saves.count(), 1);
    let orders = actions.iter().filter(|action| matches!(action, GranterAction::Order { .. }));
    assert!(orders.count() > 0, "renewals do not wait for the save");
    granter.record_save_failure();
    actions.clear();
    granter.tick(now, &[], &KeyLoads::default(), false, &mut actions);
    assert!(actions.iter().any(|action| matches!(action, GranterAction::Save(_))));
}

/// Guards against a second wait for holds that have expired: the owner's process restarted meanwhile, so
/// that its former process counted as a holder once more.
#[test]
fn keys_are_granted_at_once_after_all_earlier_holds_have_expired() {
    let owner = |started| OwnerId { server: ServerName::new("a").unwrap(), started };
    let address = SocketAddr::from(([10, 0, 0, 1], 1));
    let holding = Holding {
        range: KeyRange::ALL,
        owner: owner(1),
        address,
        token: Token(1),
        former: None,
        has_earlier_former: false,
    };
    let stored = RangeTable { term: Term(1), change: 5, holdings: vec![holding], store_era: None };
    let restarted = Candidate {
        owner: owner(2),
        address,
        zone: ZoneName::new("a").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: None,
        rate_limit: None,
    };
    let start = Time::from_millis(1_000_000);
    let times = HoldTimes::bounded_by(Duration::from_secs(10));
    let began = start - Duration::from_secs(20);
    let mut known_holds = KnownHolds::new(began, false);
    known_holds.record_era(began, Some(StoreEra(2)));
    let proven = known_holds.prove(start, Some(stored), &times).unwrap();
    assert_eq!(proven.proof(), HoldProof::Expired);
    let mut granter = Granter::take_over(start, Term(2), times, proven);
    // The restarted process knows nothing of the keys.
    let released = OrderResult::Released { handover: None };
    let (granted_at, _) = run_until_grant(&mut granter, &[restarted], start, &released);
    assert!(granted_at.since(start) < Duration::from_millis(500), "{:?}", granted_at.since(start));
}
