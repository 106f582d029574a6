//! Quotas over a fleet of routers, in virtual time.

mod fleet;
use fleet::{Faults, Fleet, Outcome, ROUTERS, Scheme};
use test_case::test_case;

const NONE: Faults =
    Faults { hot: false, granter_lost: false, restart: false, cut_off: false, lowered: false };
const HOT: Faults = Faults { hot: true, ..NONE };
const HOT_LOST: Faults = Faults { granter_lost: true, ..HOT };
const ALL: Faults = Faults { restart: true, cut_off: true, lowered: true, ..HOT_LOST };

/// Number of seeds; `QUOTA_SEEDS` replaces it.
const SEEDS: u64 = 12;
const THREADS: u64 = 3;

fn run_seeds(scheme: Scheme, faults: Faults) -> Vec<(u64, Outcome)> {
    let seeds = std::env::var("QUOTA_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    if let Ok(s) = std::env::var("QSEED") { let s = s.parse().unwrap(); return vec![(s, Fleet::run(s, scheme, faults))]; }
    std::thread::scope(|scope| {
        let run = |first| (first..seeds).step_by(THREADS as usize).map(|seed| {
            (seed, Fleet::run(seed, scheme, faults))
        });
        let threads: Vec<_> = (0..THREADS)
            .map(|first| scope.spawn(move || run(first).collect::<Vec<_>>()))
            .collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

fn print_outcomes(name: &str, outcomes: &[(u64, Outcome)]) -> (usize, f64, f64) {
    let broken = outcomes.iter().filter(|(_, outcome)| outcome.worst_window > 1.0).count();
    let worst = outcomes.iter().max_by(|a, b| a.1.worst_window.total_cmp(&b.1.worst_window));
    let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(|(_, o)| field(o)).sum::<u64>();
    let requests = sum(|o| o.requests) as f64;
    let below = sum(|o| o.refused_below) as f64 / requests;
    let shortfall = sum(|o| o.shortfall) as f64 / requests;
    let part = |o: &Outcome| o.refused_below as f64 / o.requests as f64;
    let worst_below = outcomes.iter().map(|(_, o)| part(o)).fold(0.0, f64::max);
    let router_seconds = (outcomes.len() * ROUTERS * 32) as f64;
    println!(
        "{name}: seeds {}, broken {broken}, worst {:?}, refused {:.4}, below {below:.5} (max {worst_below:.4}), \
         shortfall {shortfall:.5}, report bytes/s {:.0}, share bytes/s {:.0}",
        outcomes.len(),
        worst.map(|(seed, o)| (*seed, o.worst_window, o.worst)),
        sum(|o| o.refused) as f64 / requests,
        sum(|o| o.usage_bytes) as f64 / router_seconds,
        sum(|o| o.share_bytes) as f64 / (outcomes.len() * 32) as f64,
    );
    (broken, below, worst_below)
}

/// Guards against windows over the bound and against requests refused below the limit.
#[test_case("normal", NONE, 0.01; "normal")]
#[test_case("hot", HOT, 0.05; "hot")]
#[test_case("hot-lost", HOT_LOST, 0.05; "hot and granter lost")]
#[test_case("all", ALL, 0.05; "all faults")]
fn the_fleet_keeps_the_bound(name: &str, faults: Faults, max_refused_below: f64) {
    let (broken, _, worst) = print_outcomes(name, &run_seeds(Scheme::Shared, faults));
    assert_eq!(broken, 0);
    assert!(worst < max_refused_below, "{worst}");
}

/// Shows that the simulation tells a bad scheme from a good one.
#[test]
fn equal_division_refuses_below_the_limit() {
    let (_, below, _) = print_outcomes("equal", &run_seeds(Scheme::EqualDivision, NONE));
    assert!(below > 0.05, "{below}");
}
