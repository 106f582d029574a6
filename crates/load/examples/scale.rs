//! Prints what it costs each gate, in messages and state, that gates lend slots of targets to each
//! other, for growing numbers of gates.
//!
//! Argument: the largest number of gates to run.

use std::time::Duration;

use bay_fakes::queueing::{Policy, Scenario, Site, run};

/// Numbers of gates.
const GATES: [usize; 4] = [9, 100, 300, 780];

/// Zones of the largest site.
const ZONES: usize = 8;

/// Measured time of each run.
const MEASURED: Duration = Duration::from_secs(2);

fn main() {
    println!("gates targets requests/s messages/s bytes/s bytes/message state mean_ms p99_ms");
    println!("(requests, messages, bytes and state a gate)");
    let most = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(usize::MAX);
    for gates in GATES.into_iter().filter(|gates| *gates <= most) {
        let targets = gates * 2;
        let site = Site { zones: ZONES, gates, ..Site::swanline("scale", targets) };
        let scenario =
            Scenario { measured_time: MEASURED, ..Scenario::new(site, Policy::Lending, 0.7, 1) };
        let report = run(&scenario);
        let rate = |count: u64| count as f64 / gates as f64 / MEASURED.as_secs_f64();
        println!(
            "{gates} {targets} {:.0} {:.1} {:.0} {:.1} {} {:.1} {:.1}",
            rate(report.offered),
            rate(report.messages),
            rate(report.message_bytes),
            report.message_bytes as f64 / report.messages.max(1) as f64,
            report.state_bytes,
            report.mean_ms(),
            report.percentile_ms(99.0),
        );
    }
}
