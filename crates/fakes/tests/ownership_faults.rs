//! Slice ownership under every pair of fault kinds, with random details.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{Endpoint, OwnershipSim, StoreMode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{ZONES, assert_invariants, settled_sim};
use test_case::test_case;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    KillServer,
    PauseServer,
    KillSteward,
    PauseSteward,
    CutOrders,
    CutOneWay,
    CutStore,
    StoreDown,
    StoreSlow,
    /// The store applies calls, but its replies are lost.
    StoreLost,
    /// The store applies calls late and never replies.
    StoreLate,
    LateMessages,
    LoseMessages,
    /// A zone is taken out of service, but its processes run on.
    ZoneOut,
    /// All servers and stewards of a zone are killed.
    ZoneLost,
}

const FAULTS: [Fault; 15] = [
    Fault::KillServer,
    Fault::PauseServer,
    Fault::KillSteward,
    Fault::PauseSteward,
    Fault::CutOrders,
    Fault::CutOneWay,
    Fault::CutStore,
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreLost,
    Fault::StoreLate,
    Fault::LateMessages,
    Fault::LoseMessages,
    Fault::ZoneOut,
    Fault::ZoneLost,
];

fn start_fault(sim: &mut OwnershipSim, rng: &mut SmallRng, fault: Fault) {
    let server = rng.random_range(0..sim.server_count());
    let steward = rng.random_range(0..sim.steward_count());
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    let millis = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    match fault {
        Fault::KillServer => sim.kill_server(server),
        Fault::PauseServer => sim.pause_server(server),
        Fault::KillSteward => sim.kill_steward(steward),
        Fault::PauseSteward => sim.pause_steward(steward),
        Fault::CutOrders => sim.cut(Endpoint::Steward(steward), Endpoint::Server(server)),
        Fault::CutOneWay => cut_one_way(sim, rng, steward, server),
        Fault::CutStore => sim.cut(Endpoint::Steward(steward), Endpoint::Store),
        Fault::StoreDown => sim.set_store_mode(StoreMode::Down),
        Fault::StoreSlow => {
            let slow = millis(rng, 100..3_000);
            sim.set_store_mode(StoreMode::Slow(slow));
        }
        Fault::StoreLost => sim.set_store_mode(StoreMode::RepliesLost),
        Fault::StoreLate => {
            let late = millis(rng, 500..8_000);
            sim.set_store_mode(StoreMode::DelayedEffect(late));
        }
        Fault::LateMessages => sim.network.late_one_in = 5,
        Fault::LoseMessages => sim.network.loss_one_in = 5,
        Fault::ZoneOut => sim.set_zone_state(zone, ZoneState::Out),
        Fault::ZoneLost => {
            for server in sim.servers_in(zone) {
                sim.kill_server(server);
            }
            for steward in sim.stewards_in(zone) {
                sim.kill_steward(steward);
            }
        }
    }
}

fn cut_one_way(sim: &mut OwnershipSim, rng: &mut SmallRng, steward: usize, server: usize) {
    let other = (steward + 1) % sim.steward_count();
    let endpoints = match rng.random_range(0..4) {
        0 => (Endpoint::Steward(steward), Endpoint::Server(server)),
        1 => (Endpoint::Server(server), Endpoint::Steward(steward)),
        2 => (Endpoint::Steward(steward), Endpoint::Steward(other)),
        _ => (Endpoint::Store, Endpoint::Steward(steward)),
    };
    sim.network.cut(endpoints.0, endpoints.1);
}

fn end_faults(sim: &mut OwnershipSim) {
    for zone in ZONES {
        sim.set_zone_state(zone, ZoneState::In);
    }
    sim.heal(Duration::from_secs(40));
}

/// Runs two kinds of fault at once, three times. Checks that no invariant is violated and that
/// every slice is served after the faults. A zone out of service stays out between the rounds.
fn run_pair(seed: u64, left: Fault, right: Fault) {
    let mut sim = settled_sim(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..3 {
        start_fault(&mut sim, &mut rng, left);
        sim.run(Duration::from_millis(rng.random_range(0..4_000)));
        start_fault(&mut sim, &mut rng, right);
        sim.run(Duration::from_millis(rng.random_range(100..20_000)));
        sim.heal(Duration::from_millis(rng.random_range(0..3_000)));
    }
    assert_invariants(&sim);
    end_faults(&mut sim);
    assert_invariants(&sim);
    assert_eq!(sim.meter.overdue_count(sim.now()), 0, "{:?}", sim.owned_slice_counts());
}

#[test_case(Fault::KillServer)]
#[test_case(Fault::PauseServer)]
#[test_case(Fault::KillSteward)]
#[test_case(Fault::PauseSteward)]
#[test_case(Fault::CutOrders)]
#[test_case(Fault::CutOneWay)]
#[test_case(Fault::CutStore)]
#[test_case(Fault::StoreDown)]
#[test_case(Fault::StoreSlow)]
#[test_case(Fault::StoreLost)]
#[test_case(Fault::StoreLate)]
#[test_case(Fault::LateMessages)]
#[test_case(Fault::LoseMessages)]
#[test_case(Fault::ZoneOut)]
#[test_case(Fault::ZoneLost)]
fn any_two_faults_keep_the_invariants_and_all_slices_are_served_again(left: Fault) {
    for (index, right) in FAULTS.iter().enumerate().skip(left as usize) {
        let seed = 100 * left as u64 + index as u64;
        let result = std::panic::catch_unwind(|| run_pair(seed, left, *right));
        assert!(result.is_ok(), "seed {seed}: {left:?} and {right:?}");
    }
}
