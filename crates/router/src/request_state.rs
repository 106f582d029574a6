use std::sync::Arc;
use std::time::Duration;

use bay_account::{AccountSpec, ApiKey};
use bay_range::{KeyRange, OwnerId};
use bay_time::Time;
use bay_types::{ServerName, ServiceName};

use crate::{Counter, RouteSpec, SelectedServer};

/// A caller's request with the state of its attempts.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// Route that matches the request.
    pub route: Arc<RouteSpec>,
    /// Service that the route's split assigned.
    pub service: ServiceName,
    /// Key, if the service is keyed.
    pub key: Option<u16>,
    /// Client account on whose behalf the request runs, and the API key that identified it.
    pub account: Option<(Arc<AccountSpec>, ApiKey)>,
    /// Digest of what a server is asked to do, set after admission; equal for repeated requests.
    pub digest: u64,
    /// Length of the body in bytes, set after admission.
    pub body_bytes: u64,
    /// When the head was read.
    pub arrived_at: Time,
    /// When the request must be answered.
    pub deadline: Time,
    /// When the caller gives up, which may be after the route's timeout; the deadline if the caller
    /// has not told it.
    pub caller_deadline: Time,
    /// Number of attempts that were sent.
    pub attempts: u32,
    /// Reason of a retry that is not counted yet, as nothing was sent since it was decided.
    pub pending_retry: Option<Counter>,
    /// Range and owner that last refused the request because the owner doesn't hold its key.
    pub rejected_by: Option<(KeyRange, OwnerId)>,
    /// Number of attempts for which no connection could be opened.
    pub failed_connects: u32,
    /// Servers that are not picked again; stays empty for a request with a key.
    pub excluded: Vec<ServerName>,
    /// Server selected last, even if the request was then refused.
    pub last_selected: Option<SelectedServer>,
    /// Whether the limit of the request's key was applied.
    pub passed_key_limit: bool,
    /// Whether the limit of its key's owner was applied.
    pub passed_owner_limit: bool,
    /// When the request was counted against its account's quota.
    pub counted_at: Option<Time>,
    /// Whether it was decided whether the request is admitted by rank.
    pub passed_rank: bool,
    /// Server with a rate limit to which the next attempt may be sent.
    pub permit: Option<ServerName>,
    /// Whether a server may have run the request; it is then never reported as not run.
    pub may_have_run: bool,
}

impl RequestState {
    /// Failed connections after which a request is refused.
    pub const MAX_FAILED_CONNECTS: u32 = 4;

    /// Creates a request without attempts.
    ///
    /// It must be answered within the route's timeout, or the caller's deadline if that is shorter.
    pub fn new(
        now: Time,
        route: Arc<RouteSpec>,
        service: ServiceName,
        key: Option<u16>,
        deadline: Option<Duration>,
    ) -> RequestState {
        let timeout = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        RequestState {
            route,
            service,
            key,
            account: None,
            digest: 0,
            body_bytes: 0,
            arrived_at: now,
            deadline: now + timeout,
            caller_deadline: now + deadline.unwrap_or(timeout),
            attempts: 0,
            pending_retry: None,
            rejected_by: None,
            failed_connects: 0,
            excluded: Vec::new(),
            last_selected: None,
            passed_key_limit: false,
            passed_owner_limit: false,
            counted_at: None,
            passed_rank: false,
            permit: None,
            may_have_run: false,
        }
    }

    /// Counts the request's time from its arrival, if it was admitted later.
    pub fn count_time_from(&mut self, arrived_at: Time) {
        let waited = self.arrived_at.since(arrived_at);
        self.arrived_at = arrived_at;
        self.deadline = self.deadline - waited;
        self.caller_deadline = self.caller_deadline - waited;
    }

    /// Returns the rank of the request, that of its account before that of its route; 0 is the
    /// highest.
    pub fn rank(&self) -> u32 {
        let account_rank = self.account.as_ref().and_then(|(account, _)| account.rank);
        account_rank.unwrap_or(self.route.priority)
    }

    /// Returns the time until the caller gives up; zero if that has passed.
    pub fn caller_time_left(&self, now: Time) -> Duration {
        self.caller_deadline.since(now)
    }

    /// Returns the time until the deadline; zero if it has passed.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}
