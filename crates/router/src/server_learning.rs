use std::time::Duration;

use bay_capacity::{LearnedCapacity, PendingSamples};
use bay_time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// What a router has learned of a server's capacity, and what it has yet to report.
#[derive(Debug, Default, Clone)]
pub(crate) struct ServerLearning {
    /// Answers since the last report to the granter.
    pub(crate) pending: PendingSamples,
    /// The granter's last estimate, and when it arrived.
    shared: Option<(LearnedCapacity, Time)>,
    /// When this router last sent the server a request.
    last_sent_at: Time,
    /// When the server last answered without reporting a slowdown.
    usual_answer_at: Option<Time>,
}

impl ServerLearning {
    /// Age after which an estimate is ignored. The granter repeats those of 252 servers within
    /// 32 s.
    const MAX_AGE: Duration = Duration::from_secs(70);
    /// Ratio of the base time to the service's average from which a server is probed.
    const SLOW_RATIO: f64 = 3.0;
    /// Time in which a router sends a slow server at most one probe.
    const PROBE_TURN: Duration = Duration::from_secs(1);
    /// Probes of a slow server in this time, by all routers together. Five answers show that it has
    /// recovered.
    const PROBES_PER_TURN: f64 = 4.0;

    /// Reported slowdown from which an answer is left out if there are others.
    const MIN_SLOWDOWN: f64 = 1.3;
    /// Time without other answers after which those with a reported slowdown count.
    const USUAL_ANSWER_AGE: Duration = Duration::from_secs(15);

    /// Adds an answer to those for the granter.
    ///
    /// The slowdown is that at the end of the request and may have begun a moment ago. Answers with
    /// one count only if there are no others, as from a server that always reports one.
    pub(crate) fn record_answer(
        &mut self,
        now: Time,
        elapsed_ms: f64,
        concurrency: f64,
        slowdown: f64,
    ) {
        if slowdown < ServerLearning::MIN_SLOWDOWN {
            self.usual_answer_at = Some(now);
        } else if self
            .usual_answer_at
            .is_some_and(|at| now.since(at) < ServerLearning::USUAL_ANSWER_AGE)
        {
            return;
        }
        self.pending.record_answer(elapsed_ms, concurrency, slowdown);
    }

    /// Replaces the estimate.
    pub(crate) fn set_shared(&mut self, now: Time, learned: LearnedCapacity) {
        self.shared = Some((learned, now));
    }

    /// Returns the estimate, unless it is too old.
    pub(crate) fn shared(&self, now: Time) -> Option<LearnedCapacity> {
        let (learned, at) = self.shared?;
        (now.since(at) < ServerLearning::MAX_AGE).then_some(learned)
    }

    /// Records that this router sends the server a request.
    pub(crate) fn record_sent(&mut self, now: Time) {
        self.last_sent_at = now;
    }

    /// Returns whether the server is so much slower than the average that it gets few requests.
    pub(crate) fn is_slow(&self, now: Time, average_ms: f64) -> bool {
        self.shared(now)
            .is_some_and(|learned| learned.base_ms > average_ms * ServerLearning::SLOW_RATIO)
    }

    /// Returns whether the server is slow and this router's turn has come to check whether it still
    /// is. `rank` is this router's pseudo-random number for the server.
    ///
    /// Each router takes a turn in random seconds, once in each, so that the probes of all routers
    /// together have a steady rate from the start.
    pub(crate) fn is_probe_due(
        &self,
        now: Time,
        average_ms: f64,
        routers: u32,
        rank: impl Fn() -> u64,
    ) -> bool {
        if !self.is_slow(now, average_ms) {
            return false;
        }
        let turn = |at: Time| at.as_nanos() / ServerLearning::PROBE_TURN.as_nanos() as u64;
        if turn(self.last_sent_at) == turn(now) {
            return false;
        }
        let random = xxh3_64_with_seed(&turn(now).to_le_bytes(), rank());
        let share = ServerLearning::PROBES_PER_TURN / f64::from(routers);
        (random as f64 / u64::MAX as f64) < share
    }
}
