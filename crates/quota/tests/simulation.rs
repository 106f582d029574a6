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
const SEEDS: u64 = 24;
const THREADS: u64 = 3;

fn run_seeds(scheme: Scheme, faults: Faults) -> Vec<(u64, Outcome)> {
    let seeds = std::env::var("QUOTA_SEEDS").map_or(SEEDS, |text| text.parse().unwrap());
    std::thread::scope(|scope| {
        let run = |first| {
            (first..seeds)
                .step_by(THREADS as usize)
                .map(|seed| (seed, Fleet::run(seed, scheme, faults)))
        };
        let threads: Vec<_> =
            (0..THREADS).map(|first| scope.spawn(move || run(first).collect::<Vec<_>>())).collect();
        threads.into_iter().flat_map(|thread| thread.join().unwrap()).collect()
    })
}

/// Requests that one limiter for all routers admits and the fleet refused, as a part of those that it
/// admits.
fn lost_part(outcome: &Outcome) -> f64 {
    let ideal = outcome.requests - outcome.refused + outcome.shortfall;
    outcome.shortfall as f64 / ideal as f64
}

/// Prints the results of a case and returns the broken windows and the highest lost part.
fn summarize(name: &str, outcomes: &[(u64, Outcome)]) -> (Vec<(u64, f64)>, f64) {
    let broken = outcomes.iter().filter(|(_, outcome)| outcome.worst_window > 1.0);
    let broken: Vec<(u64, f64)> = broken.map(|(seed, o)| (*seed, o.worst_window)).collect();
    let sum = |field: fn(&Outcome) -> u64| outcomes.iter().map(|(_, o)| field(o)).sum::<u64>();
    let requests = sum(|o| o.requests) as f64;
    let max =
        |field: fn(&Outcome) -> f64| outcomes.iter().map(|(_, o)| field(o)).fold(0.0, f64::max);
    let lost = max(lost_part);
    let seconds = (outcomes.len() as u64 * Fleet::SECONDS) as f64;
    println!(
        "{name}: seeds {}, broken {broken:?}, worst window {:.4}, refused {:.4}, below the limit \
         {:.4}, lost {:.4} (worst seed {lost:.4}), report bytes/s at a router {:.0}, share bytes/s {:.0}",
        outcomes.len(),
        max(|o| o.worst_window),
        sum(|o| o.refused) as f64 / requests,
        sum(|o| o.refused_below) as f64 / requests,
        outcomes.iter().map(|(_, o)| lost_part(o)).sum::<f64>() / outcomes.len() as f64,
        sum(|o| o.usage_bytes) as f64 / seconds / ROUTERS as f64,
        sum(|o| o.share_bytes) as f64 / seconds,
    );
    (broken, lost)
}

/// Guards against windows over the bound and against requests lost below the limit.
#[test_case("normal", NONE, 0.01; "normal")]
#[test_case("hot accounts", HOT, 0.05; "hot accounts")]
#[test_case("hot accounts and granter lost", HOT_LOST, 0.05; "hot accounts and granter lost")]
#[test_case("all faults", ALL, 0.08; "all faults")]
fn the_fleet_keeps_the_bound(name: &str, faults: Faults, max_lost: f64) {
    let (broken, lost) = summarize(name, &run_seeds(Scheme::Shared, faults));
    assert_eq!(broken, []);
    assert!(lost < max_lost, "{lost}");
}

/// Shows that the simulation tells a bad scheme from a good one.
#[test]
fn equal_division_loses_requests_below_the_limit() {
    let (_, lost) = summarize("equal division", &run_seeds(Scheme::EqualDivision, NONE));
    assert!(lost > 0.05, "{lost}");
}
