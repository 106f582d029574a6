use std::sync::Arc;
use std::time::Duration;

use bay_time::Time;
use bay_types::{ServerName, ServiceName};

use crate::{RouteSpec, SelectedServer};

/// A caller's request and what was tried for it.
#[derive(Debug, Clone)]
pub struct RequestState {
    /// Its route.
    pub route: Arc<RouteSpec>,
    /// The service whose turn it was.
    pub service: ServiceName,
    /// Its key.
    pub key: Option<u16>,
    /// Tells it apart from others by what a server is asked to do.
    pub digest: u64,
    /// Bytes of its body.
    pub body_bytes: u64,
    /// When its head was read.
    pub arrived_at: Time,
    /// When it is answered at the latest.
    pub deadline: Time,
    /// Attempts whose bytes were sent.
    pub attempts: u32,
    /// Attempts for which no connection could be opened.
    pub failed_connects: u32,
    /// Servers that are not tried again.
    pub excluded: Vec<ServerName>,
    /// The server that was considered last, also if the request was refused.
    pub last_candidate: Option<SelectedServer>,
    /// Whether a server may have run it.
    pub may_have_run: bool,
}

impl RequestState {
    /// Attempts to open a connection for one request.
    pub const MAX_FAILED_CONNECTS: u32 = 4;

    /// A request that was not tried.
    pub fn new(
        now: Time,
        route: Arc<RouteSpec>,
        service: ServiceName,
        key: Option<u16>,
        deadline: Option<Duration>,
    ) -> RequestState {
        let span = deadline.map_or(route.timeout, |deadline| deadline.min(route.timeout));
        RequestState {
            route,
            service,
            key,
            digest: 0,
            body_bytes: 0,
            arrived_at: now,
            deadline: now + span,
            attempts: 0,
            failed_connects: 0,
            excluded: Vec::new(),
            last_candidate: None,
            may_have_run: false,
        }
    }

    /// The time until it is answered at the latest.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}
