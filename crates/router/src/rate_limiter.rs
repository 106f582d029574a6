use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;
use bay_types::ServerName;
use serde::{Deserialize, Serialize};

use crate::RateLimitState;

/// Grants permits to send requests to servers that name a rate limit, for all routers together.
///
/// Each server has one router that grants its permits, so that the limit needs no division among
/// routers of unequal traffic. A permit may start later than it is granted: requests queue here by
/// time and not at the server, and one that would start too late is denied at once.
#[derive(Debug, Default)]
pub struct RateLimiter {
    schedules: BTreeMap<ServerName, Schedule>,
}

/// Start times of a server's requests, by the generic cell rate algorithm.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// Start time of the server's process.
    started: u64,
    /// Start of the next request if all are evenly spaced.
    next_at: Time,
}

/// Asks for a permit to send one request to a server.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Name of the server.
    pub server: ServerName,
    /// Start time of the server's process.
    pub started: u64,
    /// Requests per second that the server takes from all routers together.
    pub per_second: f64,
    /// Longest time for which the request can wait before it is sent.
    pub max_wait: Duration,
}

/// Answer to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// The request may be sent after this time.
    Granted(Duration),
    /// The request would have to wait for this time, which is too long.
    Denied(Duration),
}

impl RateLimiter {
    /// Time by which requests may be ahead of an even spacing.
    const BURST_TIME: Duration = Duration::from_millis(100);
    /// Number of servers from which schedules that have run out are dropped.
    const MAX_SCHEDULES: usize = 1_024;

    /// Grants or denies a permit.
    pub fn acquire(&mut self, now: Time, request: &PermitRequest) -> Permit {
        if self.schedules.len() >= RateLimiter::MAX_SCHEDULES {
            self.schedules.retain(|_, schedule| schedule.next_at > now);
        }
        let fresh = Schedule { started: request.started, next_at: now };
        let schedule = self.schedules.entry(request.server).or_insert(fresh);
        if schedule.started != request.started {
            *schedule = fresh;
        }
        let wait = schedule.next_at.since(now).saturating_sub(RateLimiter::BURST_TIME);
        if wait > request.max_wait {
            return Permit::Denied(wait);
        }
        let per_second = request.per_second.max(RateLimitState::MIN_RATE);
        let interval = Duration::from_secs_f64(1.0 / per_second);
        schedule.next_at = schedule.next_at.max(now) + interval;
        Permit::Granted(wait)
    }
}
