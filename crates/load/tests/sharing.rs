//! Tests nine gates that share targets, in the queueing simulation. The bounds are the project's
//! performance goals.

use std::time::Duration;

use bay_fakes::queueing::{
    ColdStart, GateLoss, Policy, Report, Scenario, Site, Stragglers, ZoneOut, run,
};
use test_case::test_case;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn lending(site: Site, load: f64) -> Scenario {
    Scenario::new(site, Policy::Lending, load, 1)
}

/// Merges the reports of three seeds, since the 99th percentile of one run depends on its seed.
fn run_seeds(scenario: &Scenario) -> Report {
    let mut report = run(scenario);
    for seed in 2..=3 {
        report.merge(&run(&Scenario { seed, ..scenario.clone() }));
    }
    report
}

fn run_with<F>(mut scenario: Scenario, change: F) -> Report
where
    F: FnOnce(&mut Scenario),
{
    change(&mut scenario);
    run(&scenario)
}

#[test_case(Site::LOOKUP; "swanline lookup")]
#[test_case(Site::BOOKING; "swanline booking")]
#[test_case(Site::KOTT_BOOKING; "puhas kott booking")]
fn latency_is_within_15_percent_of_the_clairvoyant_bound_at_70_percent_load(site: Site) {
    let lent = run(&lending(site, 0.7));
    let bound = run(&Scenario::new(site, Policy::Central, 0.7, 1));
    assert!(lent.mean_ms() <= 1.15 * bound.mean_ms(), "{} {}", lent.mean_ms(), bound.mean_ms());
    let (p99, bound_p99) = (lent.percentile_ms(99.0), bound.percentile_ms(99.0));
    assert!(p99 <= 1.15 * bound_p99, "{p99} {bound_p99}");
    assert_eq!(lent.excess, 0);
}

#[test_case(Site::LOOKUP; "swanline lookup")]
#[test_case(Site::BOOKING; "swanline booking")]
#[test_case(Site::TRACKING; "puhas kott tracking")]
#[test_case(Site::KOTT_BOOKING; "puhas kott booking")]
fn one_straggler_in_eight_raises_the_99th_percentile_by_at_most_25_percent(site: Site) {
    let base = Scenario { measured_time: secs(15), ..lending(site, 0.7) };
    let without = run_seeds(&base);
    let stragglers = Stragglers { one_in: 8, span: secs(3), max_delay: secs(1) };
    let with = run_seeds(&Scenario { stragglers: Some(stragglers), ..base });
    let ratio = with.percentile_ms(99.0) / without.percentile_ms(99.0);
    assert!(ratio <= 1.25, "{ratio}");
    let extra = with.hedges as f64 / with.offered as f64;
    assert!(extra <= 0.05, "{extra}");
}

#[test_case(Site::LOOKUP; "swanline lookup")]
#[test_case(Site::KOTT_BOOKING; "puhas kott booking")]
fn the_remaining_zones_serve_the_load_while_one_leaves_and_returns(site: Site) {
    let scenario = Scenario { measured_time: secs(23), ..lending(site, 0.7) };
    let (out, back, end) = (secs(14), secs(24), secs(36));
    let report = run_with(scenario.clone(), |scenario| {
        scenario.zone_out = Some(ZoneOut { zone: 0, span: out..back });
    });
    let rest = site.capacity(scenario.service_time, Some(0)).min(scenario.rate());
    let while_out = report.goodput(out, back) / rest;
    assert!(while_out >= 0.98, "{while_out}");
    let after = report.goodput(back, end) / rest;
    assert!(after >= 0.98, "{after}");
    assert_eq!(report.sent_out_of_service, 0);
    assert_eq!(report.cold_excess, 0);
}

#[test_case(true; "announced")]
#[test_case(false; "not announced")]
fn cold_targets_get_no_excess_attempts_once_a_refusal_is_known(announced: bool) {
    let at = secs(14);
    let cold = |target| ColdStart { target, at, is_announced: announced };
    let scenario = Scenario { measured_time: secs(16), ..lending(Site::LOOKUP, 0.7) };
    let report = run_with(scenario.clone(), |scenario| {
        scenario.cold_starts = [0, 4, 8, 12].map(cold).to_vec();
    });
    assert_eq!(report.cold_excess_after_notice, 0);
    // After its warm-up, a target runs its full load again.
    let warm = at + Site::WARMUP.mul_f64(1.1);
    let share = report.goodput(warm, scenario.end()) / scenario.rate();
    assert!(share >= 0.98, "{share}");
}

#[test]
fn an_overload_is_not_amplified_and_favors_light_customers() {
    let report = run_with(lending(Site::KOTT_BOOKING, 1.5), |scenario| {
        scenario.callers_retry = true;
        scenario.heavy_customer = true;
    });
    assert!(report.attempts_per_request() <= 1.1, "{}", report.attempts_per_request());
    let light = report.light_answered as f64 / report.light_offered as f64;
    let heavy = report.heavy_answered as f64 / (report.offered - report.light_offered) as f64;
    assert!(light > heavy, "{light} {heavy}");
    let spread = |p| report.retry_after_ms.value_at_percentile(p);
    assert!(spread(95.0) >= 2 * spread(5.0), "{} {}", spread(5.0), spread(95.0));
}

#[test]
fn slot_limits_hold_under_loss_of_a_gate_and_of_messages() {
    let report = run_with(lending(Site::KOTT_BOOKING, 0.7), |scenario| {
        let (at, detected_after) = (secs(16), Duration::from_millis(1_500));
        scenario.gate_loss = Some(GateLoss { gate: 1, at, detected_after });
        scenario.message_loss = 0.05;
    });
    assert_eq!(report.excess, 0);
    assert!(report.answered_fraction() >= 0.98, "{}", report.answered_fraction());
}

#[test]
fn eight_targets_in_four_zones_serve_97_percent_load_while_one_zone_is_out() {
    let base = Scenario {
        measured_time: secs(23),
        ..Scenario::new(Site::BOOKING, Policy::Lending, 0.7, 1)
    };
    let (out, back) = (secs(14), secs(24));
    let zone_out = Some(ZoneOut { zone: 0, span: out..back });
    let report = run(&Scenario { zone_out, ..base.clone() });
    let rest = base.site.capacity(base.service_time, Some(0)).min(base.rate());
    let share = report.goodput(out, back) / rest;
    assert!(share >= 0.98, "{share}");
}
