//! Admission by rank compared with first come, first served.

mod support;

use support::{RANKS, Scenario, Tally, play, total};
use test_case::test_case;

const SEEDS: u64 = 6;
/// Seconds until a level has settled.
const SETTLED: usize = 6;

fn scenario(load: f64) -> Scenario {
    Scenario {
        by_rank: true,
        loads: vec![load],
        seconds: 30,
        routers: 87,
        delay: 20,
        granter_lost: None,
        zone_share: 0.0,
        seed: 0,
    }
}

/// Adds up the results of all seeds, from when the level has settled.
fn play_seeds(scenario: &Scenario) -> [Tally; RANKS] {
    let mut seeds = Vec::new();
    for seed in 0..SEEDS {
        seeds.extend(play(&Scenario { seed, ..scenario.clone() }));
    }
    total(&seeds, SETTLED, scenario.seconds as usize)
}

fn served(tallies: &[Tally; RANKS]) -> [f64; RANKS] {
    tallies.map(|tally| tally.served / tally.offered)
}

fn value(tallies: &[Tally; RANKS]) -> f64 {
    let sum = |value: fn(&Tally) -> f64| tallies.iter().map(value).sum::<f64>();
    sum(|tally| tally.value) / sum(|tally| tally.max_value)
}

/// Asserts what the requirements say of a load above the capacity.
fn assert_fair(name: &str, scenario: &Scenario, least: f64) {
    let first_come = play_seeds(&Scenario { by_rank: false, ..scenario.clone() });
    let by_rank = play_seeds(scenario);
    let shares = served(&by_rank);
    let offered: f64 = by_rank.iter().map(|tally| tally.offered).sum();
    let mean = by_rank.iter().map(|tally| tally.served).sum::<f64>() / offered;
    let (value, before) = (value(&by_rank), value(&first_come));
    let context =
        format!("{name}: served {shares:.3?}, mean {mean:.3}, value {value:.3} {before:.3}");
    assert!(shares[0] >= least, "{context}");
    assert!(shares.iter().all(|share| *share > mean / 4.0), "starved: {context}");
    assert!(shares.windows(2).all(|pair| pair[0] >= pair[1] - 0.05), "order: {context}");
    assert!(value >= before, "{context}");
}

/// Guards against urgent requests that are refused as less urgent ones fill the queues.
#[test_case(1.2)]
#[test_case(1.7)]
#[test_case(2.5)]
fn the_top_rank_is_served_and_no_rank_starves(load: f64) {
    assert_fair("fleet", &scenario(load), 0.98);
}

/// Guards against a top rank that takes the whole capacity. Its demand and the least shares of the others
/// exceed the capacity at this load.
#[test]
fn at_three_times_the_capacity_no_rank_starves() {
    assert_fair("fleet", &scenario(3.0), 0.8);
}

/// Guards against decisions on old news, of which two routers have different ones, and that depend on a
/// granter or on evenly spread callers.
#[test_case(1.7; "1.7")]
#[test_case(2.5; "2.5")]
fn stale_news_a_lost_granter_and_a_burst_in_a_zone_change_little(load: f64) {
    let stale = Scenario { routers: 2, delay: 300, ..scenario(load) };
    assert_fair("stale", &stale, 0.95);
    let lost = Scenario { granter_lost: Some((12, 16)), ..scenario(load) };
    assert_fair("granter lost", &lost, 0.98);
    assert_fair("granter lost, 2 routers", &Scenario { routers: 2, ..lost }, 0.98);
    assert_fair("zone", &Scenario { zone_share: 0.6, ..scenario(load) }, 0.98);
}

/// Guards against refusals while there is room. The results may only differ by chance.
#[test_case(0.5, 0.0)]
#[test_case(0.8, 0.0)]
#[test_case(0.9, 0.005)]
fn nothing_is_refused_by_rank_while_there_is_room(load: f64, most: f64) {
    let first_come = play_seeds(&Scenario { by_rank: false, ..scenario(load) });
    let by_rank = play_seeds(&scenario(load));
    let refused = by_rank.map(|tally| tally.refused_by_rank / tally.offered);
    assert!(refused.iter().all(|share| *share <= most), "{refused:?}");
    assert!(value(&by_rank) >= value(&first_come) - 0.005);
}

/// Guards against levels that swing, or stay after the load has gone.
#[test]
fn a_step_settles_within_two_seconds() {
    let mut loads = vec![0.5; 4];
    loads.extend([2.0; 12]);
    loads.push(0.7);
    let mut seconds = Vec::new();
    for seed in 0..SEEDS {
        let tallies = play(&Scenario { loads: loads.clone(), seconds: 24, seed, ..scenario(0.0) });
        seconds.push(tallies);
    }
    let sum = |second: usize| {
        let each: Vec<[Tally; RANKS]> = seconds.iter().map(|tallies| tallies[second]).collect();
        total(&each, 0, 1)
    };
    let work = |second: usize| sum(second).iter().map(|tally| tally.work).sum::<f64>();
    let steady = (10..16).map(work).sum::<f64>() / 6.0;
    for second in SETTLED..16 {
        let (done, shares) = (work(second) / steady, served(&sum(second)));
        assert!(
            (done - 1.0).abs() < 0.1 && shares[0] >= 0.98,
            "second {second}: {done} {shares:?}"
        );
    }
    // The load falls at 16 s.
    for second in 18..21 {
        let shares = served(&sum(second));
        assert!(shares.iter().all(|share| *share >= 0.95), "second {second}: {shares:?}");
    }
}
