//! Orders in flight while the tokens of their ranges change.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bay_range::{
    Candidate, GrantOrder, Granter, GranterAction, HoldTimes, Holding, KeyLoads, KeyRange,
    KnownHolds, OrderId, OrderResult, OwnerId, RangeTable,
};
use bay_time::Time;
use bay_types::{ServerName, Term, Token, ZoneName};

fn start() -> Time {
    Time::from_millis(60_000)
}

fn candidate(name: &str, port: u16) -> Candidate {
    Candidate {
        owner: OwnerId { server: ServerName::new(name).unwrap(), started: 1 },
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: ZoneName::new("a").unwrap(),
        slots: 4,
        eligible: true,
        cold: false,
        service_ms: None,
        rate_limit: None,
    }
}

/// A granter that has taken over a table in which two servers own alternate ranges.
fn granter_of_two(servers: &[Candidate; 2], hold_times: HoldTimes) -> Granter {
    let width = 65_536 / 4;
    let holding = |index: u32| Holding {
        range: KeyRange::new((index * width) as u16, ((index + 1) * width - 1) as u16),
        owner: servers[index as usize % 2].owner,
        address: servers[index as usize % 2].address,
        token: Token(2),
        former: None,
        has_earlier_former: false,
    };
    let stored = RangeTable {
        term: Term(1),
        change: 5,
        holdings: (0..4).map(holding).collect(),
        store_era: None,
    };
    let proven = KnownHolds::new(start(), false).prove(start(), Some(stored), &hold_times).unwrap();
    let mut granter = Granter::take_over(start(), Term(2), hold_times, proven);
    granter.record_predecessor_settled(start());
    granter
}

/// Runs one step; saves succeed, and servers release keys at once. Returns the grants that are sent.
fn step(
    granter: &mut Granter,
    now: Time,
    candidates: &[Candidate],
) -> Vec<(OrderId, OwnerId, KeyRange)> {
    let mut actions = Vec::new();
    granter.tick(now, candidates, &KeyLoads::default(), false, &mut actions);
    let mut grants = Vec::new();
    for action in actions {
        match action {
            GranterAction::Save(table) => {
                granter.record_save(now, table.change, &mut Vec::new());
            }
            GranterAction::Order { id, to, order: GrantOrder::Grant { range, .. }, .. } => {
                grants.push((id, to, range));
            }
            GranterAction::Order { id, order: GrantOrder::Release { .. }, .. } => {
                answer(granter, now, id, &OrderResult::Released { handover: None });
            }
            GranterAction::Publish => {}
        }
    }
    grants
}

/// Runs steps up to the first grants.
fn first_grants(
    granter: &mut Granter,
    now: &mut Time,
    candidates: &[Candidate],
) -> Vec<(OrderId, OwnerId, KeyRange)> {
    loop {
        *now += Duration::from_millis(40);
        let grants = step(granter, *now, candidates);
        if !grants.is_empty() {
            return grants;
        }
    }
}

fn answer(granter: &mut Granter, now: Time, id: OrderId, result: &OrderResult) {
    granter.handle_order_result(now, id, result, &mut Vec::new());
}

/// Guards against keys that their owner stops serving, as their hold is renewed no more: an order with
/// the token before was in flight when a server refused that token.
#[test]
fn ranges_with_an_order_in_flight_are_renewed_after_another_one_was_refused() {
    let servers = [candidate("first", 1), candidate("second", 2)];
    let hold_times = HoldTimes::bounded_by(Duration::from_secs(10));
    let mut granter = granter_of_two(&servers, hold_times);
    let mut now = start();
    let orders = first_grants(&mut granter, &mut now, &servers);
    assert_eq!(orders.len(), 4);
    for (index, (id, _, _)) in orders.iter().enumerate() {
        let result = if index == 0 { OrderResult::Outdated } else { OrderResult::Granted };
        answer(&mut granter, now, *id, &result);
    }
    let mut renewed = BTreeSet::new();
    while now < start() + hold_times.hold {
        now += Duration::from_millis(40);
        for (id, _, range) in step(&mut granter, now, &servers) {
            renewed.insert(range);
            answer(&mut granter, now, id, &OrderResult::Granted);
        }
    }
    assert_eq!(renewed.len(), 4, "{renewed:?}");
}

/// Guards against two owners of a key: a grant with the token before was in flight when that token was
/// refused, and a server may carry it out after it has released the keys.
#[test]
fn keys_wait_for_an_unanswered_grant_with_an_earlier_token() {
    let servers = [candidate("first", 1), candidate("second", 2)];
    let hold_times = HoldTimes::bounded_by(Duration::from_secs(10));
    let mut granter = granter_of_two(&servers, hold_times);
    let mut now = start();
    let orders = first_grants(&mut granter, &mut now, &servers);
    for (id, _, _) in &orders {
        answer(&mut granter, now, *id, &OrderResult::Granted);
    }
    now += hold_times.renew_interval;
    let renewals = first_grants(&mut granter, &mut now, &servers);
    assert_eq!(renewals.len(), 4);
    answer(&mut granter, now, renewals[0].0, &OrderResult::Outdated);
    for (id, _, _) in &renewals[1..] {
        answer(&mut granter, now, *id, &OrderResult::Unanswered);
    }
    let unanswered_at = now;
    let only_second = [Candidate { eligible: false, ..servers[0] }, servers[1]];
    let moved_range = renewals[2].2;
    while now < unanswered_at + hold_times.max_after_arrival() {
        for (id, to, range) in step(&mut granter, now, &only_second) {
            let is_moved = to == servers[1].owner && range == moved_range;
            assert!(!is_moved, "granted after {:?}", now.since(unanswered_at));
            answer(&mut granter, now, id, &OrderResult::NotSent);
        }
        now += Duration::from_millis(40);
    }
}
