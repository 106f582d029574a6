//! The moves that even out the load, and how soon a surge is seen.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use bay_range::{Held, KeyRange, KeyRates, OwnerId, Planner};
use support::World;

const SERVERS: usize = 30;

/// Requests a second that a server of [`World`] bears.
fn capacity(world: &World) -> f64 {
    world.servers[0].candidate.capacity(1.0)
}

/// Each server holds an even share of the keys and has a fifth of what it bears to do.
fn even(world: &World) -> (Vec<Held>, KeyRates) {
    let width = 65_536 / SERVERS as u32;
    let mut rates = KeyRates::default();
    let held = world.servers.iter().enumerate().map(|(index, server)| {
        let first = index as u32 * width;
        let last = if index + 1 == SERVERS { 65_535 } else { first + width - 1 };
        rates.add(first as u16, capacity(world) * 0.2);
        let range = KeyRange::new(first as u16, last as u16);
        Held { range, owner: server.candidate.owner, movable: true }
    });
    (held.collect(), rates)
}

fn utilisations(world: &World, held: &[Held], rates: &KeyRates) -> BTreeMap<OwnerId, f64> {
    let mut rate: BTreeMap<OwnerId, f64> = BTreeMap::new();
    for each in held {
        *rate.entry(each.owner).or_default() += rates.rate(each.range);
    }
    rate.into_iter().map(|(owner, rate)| (owner, rate / capacity(world))).collect()
}

/// A key at a time, as no server has room for one without becoming busy.
#[test]
fn keys_that_are_too_much_for_any_idle_server_are_spread_all_the_same() {
    let world = World::new(SERVERS, 1);
    let (mut held, mut rates) = even(&world);
    for key in 100..120 {
        rates.add(key, capacity(&world) * 0.4);
    }
    let candidates: Vec<_> = world.servers.iter().map(|server| server.candidate).collect();
    let before = utilisations(&world, &held, &rates);
    assert!(before.values().any(|share| *share > 8.0));
    for step in Planner::plan(&rates, &held, &candidates) {
        let from = held.iter().position(|each| each.range.contains(step.range.first)).unwrap();
        let old = held.remove(from);
        if old.range.first < step.range.first {
            held.push(Held { range: KeyRange::new(old.range.first, step.range.first - 1), ..old });
        }
        if old.range.last > step.range.last {
            held.push(Held { range: KeyRange::new(step.range.last + 1, old.range.last), ..old });
        }
        held.push(Held { range: step.range, owner: step.to, movable: true });
    }
    let after = utilisations(&world, &held, &rates);
    let busiest = after.values().copied().fold(0.0, f64::max);
    assert!(busiest < 1.0, "the busiest server is at {busiest}");
}

#[test]
fn keys_that_become_hot_together_are_spread_within_two_seconds() {
    let mut world = World::new(SERVERS, 2);
    world.elect();
    let usual = capacity(&world) * SERVERS as f64 * 0.2;
    let background = |world: &mut World| {
        // 256 keys get the usual load, one request each in turn.
        for index in 0..(usual * 0.1) as u32 {
            world.loads.add((index.wrapping_mul(37) % 256 * 256) as u16, 1);
        }
    };
    for _ in 0..60 {
        background(&mut world);
        world.run(Duration::from_millis(100));
    }
    for _ in 0..20 {
        background(&mut world);
        for key in 1_000..1_020 {
            world.loads.add(key, (capacity(&world) * 0.4 * 0.1) as u32);
        }
        world.run(Duration::from_millis(100));
    }
    let mut keys: BTreeMap<usize, u32> = BTreeMap::new();
    for key in 1_000..1_020 {
        for owner in world.holders(key) {
            *keys.entry(owner).or_default() += 1;
        }
    }
    let most = keys.values().copied().max().unwrap_or(0);
    assert!(most <= 3, "one server holds {most} of 20 hot keys");
}
