use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

/// Detects requests that crash the servers that run them, and quarantines them.
///
/// A lost answer alone proves nothing, because connections break for many reasons. It counts as a
/// crash only if the server turns out to have ended or restarted shortly after.
#[derive(Debug, Default)]
pub struct CrashDetector {
    /// Lost answers of servers that are not known to have ended, oldest first.
    losses: VecDeque<Loss>,
    /// Crashes by the digest of the request.
    crashes: HashMap<u64, CrashRecord>,
}

/// A server that crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// Digest of the request, see [`RequestState::digest`](crate::RequestState::digest).
    pub digest: u64,
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the server's process that ended.
    pub started: u64,
}

/// A lost answer, whose server may turn out to have ended.
#[derive(Debug)]
struct Loss {
    at: Time,
    crash: Crash,
}

#[derive(Debug)]
struct CrashRecord {
    /// Crashed servers with the start time of each process.
    servers: BTreeSet<(ServerName, u64)>,
    last: Time,
}

impl CrashDetector {
    /// Crashed server processes after which a request is refused (platform bound).
    const MAX_CRASHES: usize = 3;
    /// Time from the last crash for which a request is refused.
    const QUARANTINE_DURATION: Duration = Duration::from_secs(120);
    /// Longest time from a lost answer until its server is known to have ended.
    ///
    /// It covers three missed heartbeats.
    const DETECTION_WINDOW: Duration = Duration::from_secs(8);
    /// Upper bound of the recorded losses, and of the recorded requests.
    const MAX_RECORDS: usize = 2_048;

    /// Records that a connection broke while the server was running a request.
    pub fn record_lost_answer(&mut self, now: Time, crash: Crash) {
        while self.losses.len() >= CrashDetector::MAX_RECORDS
            || self
                .losses
                .front()
                .is_some_and(|loss| now.since(loss.at) > CrashDetector::DETECTION_WINDOW)
        {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { at: now, crash });
    }

    /// Clears the crashes of a request that a server has run to its end.
    pub fn record_completion(&mut self, digest: u64) {
        if !self.crashes.is_empty() {
            self.crashes.remove(&digest);
        }
    }

    /// Records that an incarnation of a server has ended; returns the crashes that this proves.
    pub fn record_server_end(&mut self, now: Time, server: ServerName, started: u64) -> Vec<Crash> {
        let is_of_server =
            |loss: &Loss| loss.crash.server == server && loss.crash.started == started;
        let is_recent = |loss: &Loss| now.since(loss.at) <= CrashDetector::DETECTION_WINDOW;
        let found: Vec<Crash> = self
            .losses
            .iter()
            .filter(|loss| is_of_server(loss) && is_recent(loss))
            .map(|loss| loss.crash)
            .collect();
        self.losses.retain(|loss| !is_of_server(loss));
        for crash in &found {
            self.record_crash(now, *crash);
        }
        found
    }

    /// Records a crash that this or another router has found.
    ///
    /// Ignored while too many requests with recent crashes are recorded.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        if self.crashes.len() >= CrashDetector::MAX_RECORDS {
            self.crashes
                .retain(|_, record| now.since(record.last) < CrashDetector::QUARANTINE_DURATION);
        }
        if self.crashes.len() >= CrashDetector::MAX_RECORDS {
            return;
        }
        let record = CrashRecord { servers: BTreeSet::new(), last: now };
        let record = self.crashes.entry(crash.digest).or_insert(record);
        record.servers.insert((crash.server, crash.started));
        record.last = now;
    }

    /// Returns how much longer a request is refused, or `None` if it isn't.
    pub fn remaining_quarantine(&self, now: Time, digest: u64) -> Option<Duration> {
        let record = self.crashes.get(&digest)?;
        let until = record.last + CrashDetector::QUARANTINE_DURATION;
        (record.servers.len() >= CrashDetector::MAX_CRASHES && now < until)
            .then(|| until.since(now))
    }
}
