use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

/// Finds requests that crash the servers which run them.
///
/// A lost answer alone shows nothing: connections break for many reasons. It counts as a crash
/// only if the server is then found to have ended or restarted.
#[derive(Debug, Default)]
pub struct CrashDetector {
    losses: VecDeque<Loss>,
    crashes: HashMap<u64, Record>,
}

/// A server that crashed while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The digest of the request.
    pub digest: u64,
    /// The server.
    pub server: ServerName,
    /// The life of the server that ended.
    pub started: u64,
}

#[derive(Debug)]
struct Loss {
    at: Time,
    crash: Crash,
}

#[derive(Debug)]
struct Record {
    servers: BTreeSet<(ServerName, u64)>,
    last: Time,
}

impl CrashDetector {
    /// Servers that a request may crash before it is refused (platform bound).
    const MAX_CRASHES: usize = 3;
    /// How long a request that crashed servers is refused.
    const BAN: Duration = Duration::from_secs(120);
    /// Time between a lost answer and the news that its server has ended: three missed heartbeats.
    const NEWS: Duration = Duration::from_secs(8);
    /// Most losses and most requests that are kept.
    const MAX_KEPT: usize = 2_048;

    /// Takes note that a server closed the connection of a request that it was running.
    pub fn record_lost_answer(&mut self, now: Time, crash: Crash) {
        while self.losses.len() >= CrashDetector::MAX_KEPT
            || self.losses.front().is_some_and(|loss| now.since(loss.at) > CrashDetector::NEWS)
        {
            self.losses.pop_front();
        }
        self.losses.push_back(Loss { at: now, crash });
    }

    /// Takes note that a server ran a request to its end.
    pub fn record_completion(&mut self, digest: u64) {
        if !self.crashes.is_empty() {
            self.crashes.remove(&digest);
        }
    }

    /// Takes note that a life of a server has ended; returns what may have crashed it.
    pub fn record_server_end(&mut self, now: Time, server: ServerName, started: u64) -> Vec<Crash> {
        let ended = |loss: &Loss| loss.crash.server == server && loss.crash.started == started;
        let fresh = |loss: &Loss| now.since(loss.at) <= CrashDetector::NEWS;
        let found: Vec<Crash> = self
            .losses
            .iter()
            .filter(|loss| ended(loss) && fresh(loss))
            .map(|loss| loss.crash)
            .collect();
        self.losses.retain(|loss| !ended(loss));
        for crash in &found {
            self.record_crash(now, *crash);
        }
        found
    }

    /// Takes note of a crash that this or another router has found.
    pub fn record_crash(&mut self, now: Time, crash: Crash) {
        if self.crashes.len() >= CrashDetector::MAX_KEPT {
            self.crashes.retain(|_, record| now.since(record.last) < CrashDetector::BAN);
        }
        if self.crashes.len() >= CrashDetector::MAX_KEPT {
            return;
        }
        let record = Record { servers: BTreeSet::new(), last: now };
        let record = self.crashes.entry(crash.digest).or_insert(record);
        record.servers.insert((crash.server, crash.started));
        record.last = now;
    }

    /// How long a request is refused from now on, if it is.
    pub fn remaining_ban(&self, now: Time, digest: u64) -> Option<Duration> {
        let record = self.crashes.get(&digest)?;
        let until = record.last + CrashDetector::BAN;
        (record.servers.len() >= CrashDetector::MAX_CRASHES && now < until)
            .then(|| until.since(now))
    }
}
