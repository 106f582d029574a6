use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use bay_fakes::TargetHandle;

use crate::phase::Phase;
use crate::traffic::BOOKING_PREFIX;

/// Maximum total time for which a key may be unavailable in a phase, such as after the loss of its
/// owner.
const MAX_UNAVAILABLE_TIME: Duration = Duration::from_secs(2);

/// Results of the demo.
#[derive(Debug)]
pub(crate) struct Report {
    phases: Vec<Phase>,
    runs: RunCounts,
    runs_in_drained_zone: u64,
}

/// Numbers of bookings, each identified by its idempotency key, that targets ran.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunCounts {
    pub(crate) bookings: u64,
    /// Bookings that ran more than once.
    pub(crate) repeated: u64,
}

impl RunCounts {
    /// Sums the counts of several targets.
    pub(crate) fn sum<'a, I>(handles: I) -> RunCounts
    where
        I: Iterator<Item = &'a TargetHandle>,
    {
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for handle in handles {
            let bookings = handle.counts().runs.into_iter();
            for (id, count) in bookings.filter(|(id, _)| id.starts_with(BOOKING_PREFIX)) {
                *runs.entry(id).or_default() += count;
            }
        }
        let repeated = runs.values().filter(|count| **count > 1).count() as u64;
        RunCounts { bookings: runs.len() as u64, repeated }
    }
}

impl Report {
    pub(crate) fn new(phases: Vec<Phase>, runs: RunCounts, runs_in_drained_zone: u64) -> Report {
        Report { phases, runs, runs_in_drained_zone }
    }

    /// Returns a description of each violated invariant.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for phase in &self.phases {
            if phase.mismatched > 0 {
                let count = phase.mismatched;
                violations.push(format!(
                    "{}: {count} responses did not match their requests",
                    phase.name
                ));
            }
            let unavailable = phase.max_unavailable_time();
            if unavailable > MAX_UNAVAILABLE_TIME {
                violations
                    .push(format!("{}: a key was unavailable for {unavailable:.2?}", phase.name));
            }
        }
        if self.runs_in_drained_zone > 0 {
            violations.push(format!(
                "a zone out of service got {} new requests",
                self.runs_in_drained_zone
            ));
        }
        if self.runs.repeated > 0 {
            violations.push(format!("{} bookings ran more than once", self.runs.repeated));
        }
        violations
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<26}{:>9}{:>9}{:>9}{:>10}{:>10}{:>16}",
            "phase", "requests", "done", "p50 ms", "p99 ms", "p99.9 ms", "key outage ms"
        )?;
        for phase in &self.phases {
            let quantile = |q| phase.latency_us.value_at_quantile(q) as f64 / 1_000.0;
            writeln!(
                f,
                "{:<26}{:>9}{:>9}{:>9.1}{:>10.1}{:>10.1}{:>16}",
                phase.name,
                phase.requests(),
                phase.outcomes.get("done").copied().unwrap_or_default(),
                quantile(0.5),
                quantile(0.99),
                quantile(0.999),
                phase.max_unavailable_time().as_millis(),
            )?;
            for (outcome, count) in phase.outcomes.iter().filter(|(outcome, _)| *outcome != "done")
            {
                writeln!(f, "    {outcome}: {count}")?;
            }
        }
        writeln!(f, "targets ran {} bookings", self.runs.bookings)?;
        let violations = self.violations();
        for line in &violations {
            writeln!(f, "BROKEN: {line}")?;
        }
        if violations.is_empty() {
            writeln!(f, "every checked invariant held")?;
        }
        Ok(())
    }
}
