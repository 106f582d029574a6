use std::net::SocketAddr;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

/// A process of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerProcess {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the process, as the server tells it.
    pub started: u64,
    /// Address at which it takes requests.
    pub address: SocketAddr,
}

/// What the answers of a server's process have told of it.
///
/// It holds for as long as the process runs, whatever its entry in the store says.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ServerStanding {
    /// Whether the server has said that it is about to stop.
    pub(crate) is_leaving: bool,
    /// Until when another server is taken to have its address.
    replaced_until: Time,
    /// Answers of another server at its address since it has last shown that it runs.
    replaced_count: u32,
    /// Heartbeat of its entry at the last of them.
    replaced_heartbeat: u64,
    /// End of the last pause for which the server has asked this router.
    paused_until: Time,
    /// Whether the server has not answered since that pause.
    is_resuming: bool,
    /// When the standing last changed.
    pub(crate) changed_at: Time,
}

impl ServerStanding {
    /// Longest pause that is granted. A server that is away for longer should leave.
    const MAX_PAUSE: Duration = Duration::from_secs(3_600);
    /// Time after the first answer of another server without requests; it doubles with each further one.
    const BASE_REPLACED_TIME: Duration = Duration::from_secs(1);
    /// Upper bound of the doublings.
    const MAX_DOUBLINGS: u32 = 5;
    /// Heartbeats of an entry that the server may have written before it ended.
    const LATE_HEARTBEATS: u64 = 1;
    /// Interval at which a request checks whether a server has answered after its pause.
    const RESUME_INTERVAL: Duration = Duration::from_millis(15);

    /// Records that another server has answered at its address; returns whether that is new.
    ///
    /// `heartbeat` is that of the server's entry.
    pub(crate) fn record_replaced(&mut self, now: Time, heartbeat: u64) -> bool {
        if self.is_replaced(now) {
            return false;
        }
        let doublings = self.replaced_count.min(ServerStanding::MAX_DOUBLINGS);
        self.replaced_until = now + ServerStanding::BASE_REPLACED_TIME * (1 << doublings);
        self.replaced_count += 1;
        self.replaced_heartbeat = heartbeat;
        true
    }

    /// Returns whether the server gets no requests because another one has its address.
    pub(crate) fn is_replaced(&self, now: Time) -> bool {
        now < self.replaced_until
    }

    /// Returns whether another server has answered at its address, and it has not shown since that it
    /// runs.
    pub(crate) fn may_be_replaced(&self) -> bool {
        self.replaced_count > 0
    }

    /// Records that the server itself has answered.
    pub(crate) fn record_presence(&mut self) {
        self.replaced_count = 0;
        self.replaced_until = Time::ZERO;
    }

    /// Records a heartbeat in the server's entry.
    pub(crate) fn record_heartbeat(&mut self, heartbeat: u64) {
        if heartbeat > self.replaced_heartbeat.saturating_add(ServerStanding::LATE_HEARTBEATS) {
            self.record_presence();
        }
    }

    /// Records that the server has asked for a pause. It doesn't shorten an earlier one.
    pub(crate) fn record_pause(&mut self, now: Time, pause: Duration) {
        self.paused_until = self.paused_until.max(now + pause.min(ServerStanding::MAX_PAUSE));
        self.is_resuming = true;
    }

    /// Records that the server has answered without asking for a pause.
    pub(crate) fn record_answer(&mut self, now: Time) {
        self.record_presence();
        if now >= self.paused_until {
            self.is_resuming = false;
        }
    }

    /// Returns until when the server gets no request, if it has asked for a pause.
    ///
    /// After the pause it gets one at a time until it has answered, so that the requests that have
    /// waited don't all arrive at once.
    pub(crate) fn pause_end(&self, now: Time, in_flight: usize) -> Option<Time> {
        if now < self.paused_until {
            return Some(self.paused_until);
        }
        (self.is_resuming && in_flight > 0).then(|| now + ServerStanding::RESUME_INTERVAL)
    }
}

/// Whether requests may be sent to a server now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerAccess {
    /// They may.
    Open,
    /// It has asked this router for a pause up to this time.
    Paused(Time),
    /// No connection to it could be opened a moment ago.
    Unreachable,
    /// It takes no requests, or must get none.
    Closed,
}

/// What an answer tells of a server, for all routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerStatement {
    /// The server is about to stop and must get no new requests.
    Leaving,
    /// Another server answers at its address, so that it has ended.
    Replaced,
}

/// What a router has learned of a server, as it tells the other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerNotice {
    /// Process of the server.
    pub process: ServerProcess,
    /// What it has said.
    pub statement: ServerStatement,
}
