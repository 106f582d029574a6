//! Compares policies for sharing targets among gates under the same seeded load, and writes a
//! table and a plot to `docs/results`.

use std::error::Error;
use std::fmt::Write;
use std::fs;
use std::path::Path;
use std::time::Duration;

use bay_fakes::queueing::{ColdStart, Policy, Report, Scenario, Site, Stragglers, ZoneOut, run};
use plotters::prelude::*;

/// Seed of all runs.
const SEED: u64 = 1;

/// Load of the table, as a fraction of the targets' capacity.
const LOAD: f64 = 0.7;

/// Loads of the plot, as fractions of the targets' capacity.
const LOADS: [f64; 7] = [0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9];

/// Load of the overload column, as a fraction of the targets' capacity.
const OVERLOAD: f64 = 1.5;

/// Measured time of a run with stragglers.
const STRAGGLERS_MEASURED: Duration = Duration::from_secs(15);

/// Width and height of the plot, in pixels.
const SIZE: (u32, u32) = (960, 420);

/// Upper end of the latency axis, in milliseconds; longer latencies are drawn at it.
const MAX_LATENCY_MS: f64 = 200.0;

/// Upper end of the excess axis, in refused attempts per hundred requests.
const MAX_EXCESS: f64 = 100.0;

fn main() -> Result<(), Box<dyn Error>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/results");
    fs::create_dir_all(&folder)?;
    let table = build_table()?;
    print!("{table}");
    fs::write(folder.join("policies.md"), table)?;
    let path = folder.join("policies.svg");
    write_plot(&path).map_err(|error| error.to_string().into())
}

fn build_table() -> Result<String, std::fmt::Error> {
    let mut out = String::from(HEAD);
    for site in Site::ALL {
        eprintln!("{}", site.name);
        writeln!(out, "\n## {}: {} targets, {} zones\n", site.name, site.targets, site.zones)?;
        out.push_str(COLUMNS);
        let bound = run(&base_scenario(site, Policy::Central));
        for policy in Policy::ALL {
            write_row(&mut out, site, policy, &bound)?;
        }
    }
    Ok(out)
}

/// Introduction written above the tables.
const HEAD: &str = "# Ways to share targets among nine gates

Written by `cargo run --release -p bay-load --example policies`; seed 1, virtual time, mean service
time 20 ms, latencies in milliseconds at the gate, 70% load unless the column says otherwise.

- **mean** and **p99** are also given as multiples of the clairvoyant bound's.
- **excess**: attempts that targets refused as above their slots, for a hundred requests.
- **stragglers**: p99 with one target in eight up to 1 s late, over p99 without; three seeds of
  15 s taken together.
- **zone**: requests answered while a zone is out, over the lesser of what was offered and what the
  remaining zones bear.
- **cold**: attempts above the capacity of a quarter of the targets, restarted together, sent after
  the first refusal could be known to all gates.
- **work**: attempts that reached targets at 150% load, over requests that callers sent.

The simple policies and (a) send a refused request again at most twice; (b) has no rule for
stragglers and cold starts of its own, so only its columns without faults compare ways of sharing.
";

const COLUMNS: &str = "\
| policy | mean | p50 | p99 | p99.9 | answered | excess | stragglers | zone | cold | work |
| --- | --: | --: | --: | --: | --: | --: | --: | --: | --: | --: |
";

fn write_row(
    out: &mut String,
    site: Site,
    policy: Policy,
    bound: &Report,
) -> Result<(), std::fmt::Error> {
    let base = run(&base_scenario(site, policy));
    let steady =
        run_seeds(&Scenario { measured_time: STRAGGLERS_MEASURED, ..base_scenario(site, policy) });
    let slow = run_seeds(&with_stragglers(site, policy));
    let zone = zone_share(site, policy);
    let cold = run(&with_cold_starts(site, policy)).cold_excess_after_notice;
    let overload = run(&Scenario::new(site, policy, OVERLOAD, SEED));
    let mean = base.mean_ms();
    let p99 = base.percentile_ms(99.0);
    writeln!(
        out,
        "| {} | {mean:.1} ({:.2}) | {:.1} | {p99:.1} ({:.2}) | {:.1} | {:.3} | {:.1} | {:.2} | {zone:.3} | {cold} | {:.2} |",
        policy.as_str(),
        mean / bound.mean_ms(),
        base.percentile_ms(50.0),
        p99 / bound.percentile_ms(99.0),
        base.percentile_ms(99.9),
        base.answered_fraction().min(1.0),
        excess(&base),
        slow.percentile_ms(99.0) / steady.percentile_ms(99.0),
        overload.attempts_per_request(),
    )
}

fn base_scenario(site: Site, policy: Policy) -> Scenario {
    Scenario::new(site, policy, LOAD, SEED)
}

fn with_stragglers(site: Site, policy: Policy) -> Scenario {
    let span = Duration::from_secs(3);
    let stragglers = Stragglers { one_in: 8, span, max_delay: Duration::from_secs(1) };
    let measured_time = STRAGGLERS_MEASURED;
    Scenario { stragglers: Some(stragglers), measured_time, ..base_scenario(site, policy) }
}

/// Merges the reports of three seeds, since the 99th percentile of one run depends on its seed.
fn run_seeds(scenario: &Scenario) -> Report {
    let mut report = run(scenario);
    for seed in SEED + 1..SEED + 3 {
        report.merge(&run(&Scenario { seed, ..scenario.clone() }));
    }
    report
}

/// Returns the requests answered while a zone is out, as a fraction of the offered ones, or of what
/// the remaining zones can serve if that is less.
fn zone_share(site: Site, policy: Policy) -> f64 {
    let (out, back) = (Duration::from_secs(14), Duration::from_secs(24));
    let zone_out = Some(ZoneOut { zone: 0, span: out..back });
    let measured_time = Duration::from_secs(15);
    let scenario = Scenario { zone_out, measured_time, ..base_scenario(site, policy) };
    let rest = site.capacity(scenario.service_time, Some(0)).min(scenario.rate());
    run(&scenario).goodput(out, back) / rest
}

/// Restarts a quarter of the targets at the same time. Their refusals do not name the cold start.
fn with_cold_starts(site: Site, policy: Policy) -> Scenario {
    let at = Duration::from_secs(14);
    let cold = |target| ColdStart { target, at, is_announced: false };
    let cold_starts = (0..site.targets).step_by(4).map(cold).collect();
    Scenario { cold_starts, ..base_scenario(site, policy) }
}

/// Returns the attempts that targets refused as above their slots, per hundred requests.
fn excess(report: &Report) -> f64 {
    100.0 * report.excess as f64 / report.offered as f64
}

fn write_plot(path: &Path) -> Result<(), Box<dyn Error + '_>> {
    let site = Site::BOOKING;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let panels = area.split_evenly((1, 2));
    let runs: Vec<(Policy, Vec<Report>)> = Policy::ALL
        .into_iter()
        .map(|policy| (policy, LOADS.map(|l| run(&Scenario::new(site, policy, l, SEED))).into()))
        .collect();
    let latency = |report: &Report| report.percentile_ms(99.0).min(MAX_LATENCY_MS);
    draw_panel(&panels[0], "99th percentile of latency, ms", MAX_LATENCY_MS, &runs, latency)?;
    let title = "Attempts above a target's slots, per 100 requests";
    draw_panel(&panels[1], title, MAX_EXCESS, &runs, excess)?;
    area.present()?;
    Ok(())
}

fn draw_panel<'a, F>(
    area: &DrawingArea<SVGBackend<'a>, plotters::coord::Shift>,
    title: &str,
    max: f64,
    runs: &[(Policy, Vec<Report>)],
    value: F,
) -> Result<(), Box<dyn Error + 'a>>
where
    F: Fn(&Report) -> f64,
{
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(LOADS[0]..LOADS[LOADS.len() - 1], 0.0..max)?;
    chart.configure_mesh().x_desc("load (swanline booking)").draw()?;
    for (index, (policy, reports)) in runs.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = LOADS.iter().zip(reports).map(|(load, report)| (*load, value(report)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .draw()?;
    Ok(())
}
