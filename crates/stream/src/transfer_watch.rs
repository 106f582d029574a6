use std::time::Duration;

use bay_time::Time;

/// Side that a transfer waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Party {
    /// The caller, which has bytes to read.
    Reader,
    /// The server, which has bytes to send.
    Server,
}

/// Measures how long a transfer has waited for one of its sides without any progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferWatch {
    waits_for: Party,
    since: Time,
    checked_at: Time,
    reader_wait: Duration,
}

impl TransferWatch {
    /// Time without a byte after which a reader counts as stalled. The rest of its answer is then read
    /// from the server as far as the budget allows, as servers cut off an answer that stays unread for
    /// some seconds.
    pub const STALLED_AFTER: Duration = Duration::from_secs(1);
    /// Time without a byte after which a stalled reader is disconnected. The system reports progress
    /// in steps of up to 64 KiB, so that 5 s would also cut readers of 12 kB a second.
    pub const READER_TIMEOUT: Duration = Duration::from_secs(10);
    /// Time without a byte after which an answer counts as cut off by its server.
    pub const SERVER_TIMEOUT: Duration = Duration::from_secs(5);

    /// Interval between two checks above which the router itself was stopped. That time does not count
    /// against either side.
    const MAX_CHECK_INTERVAL: Duration = Duration::from_secs(2);

    /// Starts with a wait for the reader.
    pub fn new(now: Time) -> TransferWatch {
        TransferWatch {
            waits_for: Party::Reader,
            since: now,
            checked_at: now,
            reader_wait: Duration::ZERO,
        }
    }

    /// Records the side that the transfer waits for now, and whether that side has made progress.
    pub fn update(&mut self, now: Time, waits_for: Party, has_progressed: bool) {
        self.skip_stop(now);
        if waits_for == self.waits_for && !has_progressed {
            return;
        }
        if self.waits_for == Party::Reader {
            self.reader_wait += now.since(self.since);
        }
        self.waits_for = waits_for;
        self.since = now;
    }

    /// Returns whether the reader counts as stalled.
    pub fn is_reader_stalled(&self, now: Time) -> bool {
        self.waits_for == Party::Reader && now.since(self.since) >= TransferWatch::STALLED_AFTER
    }

    /// Returns the side that has kept the transfer waiting for too long, if there is one.
    pub fn timed_out(&mut self, now: Time) -> Option<Party> {
        self.skip_stop(now);
        (now.since(self.since) >= self.timeout()).then_some(self.waits_for)
    }

    /// Returns the time after which the watch has to be checked again if there is no progress.
    pub fn next_check(&self, now: Time) -> Duration {
        self.timeout().saturating_sub(now.since(self.since)).min(TransferWatch::STALLED_AFTER)
    }

    /// Returns the total time spent waiting for the reader up to its last progress.
    pub fn reader_wait(&self) -> Duration {
        self.reader_wait
    }

    /// Starts the wait anew after the time in which the router was stopped.
    fn skip_stop(&mut self, now: Time) {
        let interval = now.since(self.checked_at);
        if interval > TransferWatch::MAX_CHECK_INTERVAL {
            self.since += interval;
        }
        self.checked_at = now;
    }

    fn timeout(&self) -> Duration {
        match self.waits_for {
            Party::Reader => TransferWatch::READER_TIMEOUT,
            Party::Server => TransferWatch::SERVER_TIMEOUT,
        }
    }
}
