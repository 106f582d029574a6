use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use bay_fakes::TargetHandle;

use crate::phase::Phase;
use crate::traffic::BOOKING_PREFIX;

/// Longest time that a key may go unserved after the loss of its owner.
const RECOVERY_TARGET: Duration = Duration::from_secs(2);

/// What the demo saw.
#[derive(Debug)]
pub(crate) struct Report {
    phases: Vec<Phase>,
    runs: RunCounts,
    late_work: u64,
}

/// How often targets ran bookings.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RunCounts {
    pub(crate) bookings: u64,
    pub(crate) repeated: u64,
}

impl RunCounts {
    /// The counts of several targets together.
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
    pub(crate) fn new(phases: Vec<Phase>, runs: RunCounts, late_work: u64) -> Report {
        Report { phases, runs, late_work }
    }

    /// The invariants that broke.
    pub(crate) fn broken(&self) -> Vec<String> {
        let mut broken = Vec::new();
        for phase in &self.phases {
            if phase.mismatched > 0 {
                let count = phase.mismatched;
                broken.push(format!("{}: {count} answers did not fit their requests", phase.name));
            }
            let unavailable = phase.longest_unavailable();
            if unavailable > RECOVERY_TARGET {
                broken.push(format!("{}: a key was unserved for {unavailable:.2?}", phase.name));
            }
        }
        if self.late_work > 0 {
            broken.push(format!("a zone taken out got {} new requests", self.late_work));
        }
        if self.runs.repeated > 0 {
            broken.push(format!("{} bookings ran more than once", self.runs.repeated));
        }
        broken
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "\n{:<26}{:>9}{:>9}{:>9}{:>10}{:>10}{:>16}",
            "phase", "requests", "done", "p50 ms", "p99 ms", "p99.9 ms", "unserved key ms"
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
                phase.longest_unavailable().as_millis(),
            )?;
            for (outcome, count) in phase.outcomes.iter().filter(|(outcome, _)| *outcome != "done")
            {
                writeln!(f, "    {outcome}: {count}")?;
            }
        }
        writeln!(f, "targets ran {} bookings", self.runs.bookings)?;
        let broken = self.broken();
        for line in &broken {
            writeln!(f, "BROKEN: {line}")?;
        }
        if broken.is_empty() {
            writeln!(f, "every checked invariant held")?;
        }
        Ok(())
    }
}
