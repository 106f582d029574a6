//! Ownership under random faults, two kinds at a time, many seeds.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{Endpoint, OwnershipSim, StoreMode};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use support::{ZONES, settled, sound};
use test_case::test_case;

/// One kind of fault.
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
    StoreLost,
    StoreLate,
    LateMessages,
    LoseMessages,
    ZoneOut,
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

fn begin(driver: &mut OwnershipSim, rng: &mut SmallRng, fault: Fault) {
    let server = rng.random_range(0..driver.server_count());
    let steward = rng.random_range(0..driver.steward_count());
    let zone = ZONES[rng.random_range(0..ZONES.len())];
    let millis = |rng: &mut SmallRng, range| Duration::from_millis(rng.random_range(range));
    match fault {
        Fault::KillServer => driver.kill_server(server),
        Fault::PauseServer => driver.pause_server(server),
        Fault::KillSteward => driver.kill_steward(steward),
        Fault::PauseSteward => driver.pause_steward(steward),
        Fault::CutOrders => driver.cut(Endpoint::Steward(steward), Endpoint::Server(server)),
        Fault::CutOneWay => cut_one_way(driver, rng, steward, server),
        Fault::CutStore => driver.cut(Endpoint::Steward(steward), Endpoint::Store),
        Fault::StoreDown => driver.set_store_mode(StoreMode::Down),
        Fault::StoreSlow => {
            let slow = millis(rng, 100..3_000);
            driver.set_store_mode(StoreMode::Slow(slow));
        }
        Fault::StoreLost => driver.set_store_mode(StoreMode::RepliesLost),
        Fault::StoreLate => {
            let late = millis(rng, 500..8_000);
            driver.set_store_mode(StoreMode::DelayedEffect(late));
        }
        Fault::LateMessages => driver.network.late_one_in = 5,
        Fault::LoseMessages => driver.network.loss_one_in = 5,
        Fault::ZoneOut => driver.set_zone_state(zone, ZoneState::Out),
        Fault::ZoneLost => {
            for server in driver.servers_in(zone) {
                driver.kill_server(server);
            }
            for steward in driver.stewards_in(zone) {
                driver.kill_steward(steward);
            }
        }
    }
}

fn cut_one_way(driver: &mut OwnershipSim, rng: &mut SmallRng, steward: usize, server: usize) {
    let other = (steward + 1) % driver.steward_count();
    let places = match rng.random_range(0..4) {
        0 => (Endpoint::Steward(steward), Endpoint::Server(server)),
        1 => (Endpoint::Server(server), Endpoint::Steward(steward)),
        2 => (Endpoint::Steward(steward), Endpoint::Steward(other)),
        _ => (Endpoint::Store, Endpoint::Steward(steward)),
    };
    driver.network.cut(places.0, places.1);
}

fn end(driver: &mut OwnershipSim) {
    for zone in ZONES {
        driver.set_zone_state(zone, ZoneState::In);
    }
    driver.heal(Duration::from_secs(40));
}

/// Runs two kinds of fault over each other, again and again, and checks that nothing was broken
/// and that every slice is served once they are over.
fn run_pair(seed: u64, left: Fault, right: Fault) {
    let mut driver = settled(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    for _ in 0..3 {
        begin(&mut driver, &mut rng, left);
        driver.run(Duration::from_millis(rng.random_range(0..4_000)));
        begin(&mut driver, &mut rng, right);
        driver.run(Duration::from_millis(rng.random_range(100..20_000)));
        driver.heal(Duration::from_millis(rng.random_range(0..3_000)));
    }
    sound(&driver);
    end(&mut driver);
    sound(&driver);
    assert_eq!(driver.meter.overdue_count(driver.now()), 0, "{:?}", driver.owned_slice_counts());
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
fn any_two_faults_together_break_nothing(left: Fault) {
    for (index, right) in FAULTS.iter().enumerate().skip(left as usize) {
        let seed = 100 * left as u64 + index as u64;
        let result = std::panic::catch_unwind(|| run_pair(seed, left, *right));
        assert!(result.is_ok(), "seed {seed}: {left:?} and {right:?}");
    }
}
