//! Slice ownership under random sequences of faults and waits.

mod support;

use std::time::Duration;

use bay_conf::ZoneState;
use bay_fakes::ownership_sim::{Endpoint, OwnershipSim, StoreMode};
use proptest::prelude::*;
use support::{ZONES, assert_invariants, settled_sim};

/// A step of a run.
#[derive(Debug, Clone)]
enum Step {
    Wait(u64),
    KillServer(usize),
    StartServer(usize),
    PauseServer(usize),
    ResumeServer(usize),
    KillSteward(usize),
    StartSteward(usize),
    StopSteward(usize),
    PauseSteward(usize),
    ResumeSteward(usize),
    Cut(Endpoint, Endpoint),
    ClearCuts,
    Store(StoreMode),
    /// The flag is whether the zone goes out of service.
    Zone(usize, bool),
    /// Delays one message in this many by 0.5 s to 5 s; 0 delays none.
    Late(u32),
    /// Loses one message in this many; 0 loses none.
    Loss(u32),
}

fn endpoint() -> impl Strategy<Value = Endpoint> {
    let steward = (0..8usize).prop_map(Endpoint::Steward);
    let server = (0..8usize).prop_map(Endpoint::Server);
    prop_oneof![4 => steward, 4 => server, 1 => Just(Endpoint::Store)]
}

fn store_mode() -> impl Strategy<Value = StoreMode> {
    let millis = |range: std::ops::Range<u64>| range.prop_map(Duration::from_millis);
    prop_oneof![
        3 => Just(StoreMode::Up),
        1 => Just(StoreMode::Down),
        1 => Just(StoreMode::RepliesLost),
        1 => millis(50..3_000).prop_map(StoreMode::Slow),
        1 => millis(500..8_000).prop_map(StoreMode::DelayedEffect),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let index = 0..8usize;
    prop_oneof![
        8 => (10..4_000u64).prop_map(Step::Wait),
        1 => index.clone().prop_map(Step::KillServer),
        1 => index.clone().prop_map(Step::StartServer),
        1 => index.clone().prop_map(Step::PauseServer),
        2 => index.clone().prop_map(Step::ResumeServer),
        1 => index.clone().prop_map(Step::KillSteward),
        2 => index.clone().prop_map(Step::StartSteward),
        1 => index.clone().prop_map(Step::StopSteward),
        1 => index.clone().prop_map(Step::PauseSteward),
        2 => index.prop_map(Step::ResumeSteward),
        3 => (endpoint(), endpoint()).prop_map(|(from, to)| Step::Cut(from, to)),
        1 => Just(Step::ClearCuts),
        2 => store_mode().prop_map(Step::Store),
        1 => (0..4usize, any::<bool>()).prop_map(|(zone, out)| Step::Zone(zone, out)),
        1 => (0..8u32).prop_map(Step::Late),
        1 => (0..8u32).prop_map(Step::Loss),
    ]
}

fn apply_step(sim: &mut OwnershipSim, step: &Step) {
    match *step {
        Step::Wait(millis) => sim.run(Duration::from_millis(millis)),
        Step::KillServer(index) => sim.kill_server(index),
        Step::StartServer(index) => sim.start_server(index),
        Step::PauseServer(index) => sim.pause_server(index),
        Step::ResumeServer(index) => sim.resume_server(index),
        Step::KillSteward(index) => sim.kill_steward(index),
        Step::StartSteward(index) => sim.start_steward(index),
        Step::StopSteward(index) => sim.stop_steward(index),
        Step::PauseSteward(index) => sim.pause_steward(index),
        Step::ResumeSteward(index) => sim.resume_steward(index),
        Step::Cut(from, to) => sim.network.cut(from, to),
        Step::ClearCuts => sim.network.clear_cuts(),
        Step::Store(mode) => sim.set_store_mode(mode),
        Step::Zone(zone, out) => {
            sim.set_zone_state(ZONES[zone], if out { ZoneState::Out } else { ZoneState::In });
        }
        Step::Late(one_in) => sim.network.late_one_in = one_in,
        Step::Loss(one_in) => sim.network.loss_one_in = one_in,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_events_keeps_one_owner_per_key(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut sim = settled_sim(seed);
        for step in &steps {
            apply_step(&mut sim, step);
        }
        assert_invariants(&sim);
        for zone in ZONES {
            sim.set_zone_state(zone, ZoneState::In);
        }
        for index in 0..8 {
            sim.start_steward(index);
        }
        sim.heal(Duration::from_secs(60));
        assert_invariants(&sim);
        prop_assert_eq!(sim.meter.overdue_count(sim.now()), 0, "{:?}", sim.owned_slice_counts());
    }
}
