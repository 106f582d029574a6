use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{Candidate, Granter, KeyLoads, Leadership, Role};
use bay_router::{LiveRouters, MeanServiceTimes, PeerMessage, RouterSettings};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Revision, ServiceName, Term};
use xxhash_rust::xxh3::xxh3_64;

use super::orders;
use super::server_updates;
use super::shell_state::{Phase, ShellState};

mod election;
mod messages;
mod tables;

pub(crate) use election::resign;
pub(crate) use messages::handle_peer_message;

use election::run_leadership_action;
use messages::{send_heartbeat, send_report};
use tables::{load_table, publish_owners, run_actions};

/// Time between two steps of the granter.
const GRANTER_STEP_INTERVAL: Duration = Duration::from_millis(40);

/// Time between two steps of a follower.
const FOLLOWER_STEP_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two heartbeats of the granter.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two reports to the granter.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Range over which followers of one size spread their attempts to take over.
const TAKEOVER_SPREAD_MS: u64 = 300;

/// Longest additional delay of a small machine's attempt to take over.
const SMALL_MACHINE_DELAY: Duration = Duration::from_millis(700);

/// Processor share with which a machine is large enough to be the granter of a large fleet.
const SUFFICIENT_CORES: f64 = 0.2;

/// The same for its link, in megabits a second.
const SUFFICIENT_LINK_MBPS: f64 = 100.0;

/// Age up to which a router's report shows that it follows the granter.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Time without the store's confirmation after which nothing is moved.
const MAX_UNCONFIRMED_MOVE: Duration = Duration::from_millis(2_000);

/// Time between two logs of the ranges that no server serves.
const UNSERVED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Most ranges in one such log.
const MAX_LOGGED_RANGES: usize = 8;

/// This process's part in granting keys.
pub(crate) struct GranterRole {
    leadership: Leadership,
    services: BTreeMap<ServiceName, KeyedService>,
    live_routers: LiveRouters,
    /// Where the granter takes reports, and its term.
    leader: Option<(SocketAddr, Term)>,
    next_heartbeat_at: Time,
    next_report_at: Time,
}

/// A service whose keys this process grants.
struct KeyedService {
    /// None until the table was read.
    granter: Option<Granter>,
    /// The revision of the table in the store.
    revision: Option<Revision>,
    is_loading: bool,
    key_loads: KeyLoads,
    service_times: MeanServiceTimes,
    owner_sequence: u64,
    /// Whether the owners have changed since they were published.
    owners_changed: bool,
    next_log_at: Time,
}

impl GranterRole {
    /// A follower.
    pub(crate) fn new(settings: &RouterSettings) -> GranterRole {
        let now = BootClock.now();
        let delay = takeover_delay(settings);
        let incarnation = crate::wall_clock::wall_nanos();
        GranterRole {
            leadership: Leadership::new(settings.host, incarnation, delay, now),
            services: BTreeMap::new(),
            live_routers: LiveRouters::default(),
            leader: None,
            next_heartbeat_at: now,
            next_report_at: now,
        }
    }

    /// Finds out whether earlier granters may still renew holds, after a report of a host.
    ///
    /// Without the store an earlier granter needs the reports of half of the routers.
    fn update_earlier_granters(&mut self, now: Time, host: HostName, hosts: usize) {
        if !self.leadership.has_earlier_granters() {
            return;
        }
        let all_follow = self.leadership.remove_earlier_granter(host);
        let most_follow = self.live_routers.count_within(now, MAX_REPORT_AGE) * 4 > hosts * 3;
        if !all_follow && !most_follow {
            return;
        }
        self.leadership.clear_earlier_granters();
        log::info!(host:% = host, all = all_follow; "no earlier granter renews holds");
        let ended = if all_follow { now } else { now + MAX_REPORT_AGE };
        for granter in self.services.values_mut().filter_map(|each| each.granter.as_mut()) {
            granter.record_predecessors_ended(ended);
        }
    }

    /// Whether holds may be renewed: the store or half of the routers confirm the granter.
    fn may_renew(&self, now: Time, hosts: usize) -> bool {
        let unconfirmed = self.leadership.confirmation_age(now).unwrap_or(Duration::MAX);
        let followed = self.live_routers.count_within(now, MAX_REPORT_AGE) * 2 >= hosts;
        unconfirmed <= Leadership::CONFIRMATION_TIMEOUT
            || (followed && unconfirmed <= Granter::MAX_UNCONFIRMED_RENEWAL)
    }

    fn term(&self) -> Option<Term> {
        match self.leadership.role() {
            Role::Leader(term) => Some(term),
            Role::Follower => None,
        }
    }
}

/// How long a follower waits after the granter has gone silent, besides the common time.
///
/// Larger machines wait less, so that the granter is one that can tell the others in time.
fn takeover_delay(settings: &RouterSettings) -> Duration {
    let size =
        (settings.cores / SUFFICIENT_CORES).min(settings.link_mbps / SUFFICIENT_LINK_MBPS).min(1.0);
    let spread = xxh3_64(settings.host.as_str().as_bytes()) % TAKEOVER_SPREAD_MS;
    SMALL_MACHINE_DELAY.mul_f64(1.0 - size) + Duration::from_millis(spread)
}

/// Takes part in granting for as long as the process lives.
pub(crate) async fn run(shell: Rc<ShellState>) {
    loop {
        if shell.phase.get() == Phase::Serving {
            run_step(&shell);
        }
        let leading = shell.granter_role.borrow().term().is_some();
        Timer::after(if leading { GRANTER_STEP_INTERVAL } else { FOLLOWER_STEP_INTERVAL }).await;
    }
}

fn run_step(shell: &Rc<ShellState>) {
    let now = BootClock.now();
    let action = shell.granter_role.borrow_mut().leadership.tick(now);
    if let Some(action) = action {
        shell.spawn(run_leadership_action(Rc::clone(shell), action));
    }
    if shell.granter_role.borrow().term().is_some() {
        run_granter_step(shell, now);
    }
    send_report(shell, now);
    let crashes = shell.router.borrow_mut().drain_crashes();
    if !crashes.is_empty() {
        log::warn!(requests = crashes.len(); "servers ended while they ran requests");
        shell.peer_socket.send(&other_routers(shell), &PeerMessage::Crashes(crashes));
    }
}

/// Grants keys.
fn run_granter_step(shell: &Rc<ShellState>, now: Time) {
    let Some(term) = shell.granter_role.borrow().term() else {
        return;
    };
    let unconfirmed =
        shell.granter_role.borrow().leadership.confirmation_age(now).unwrap_or_default();
    let hosts = shell.router_addresses.borrow().len();
    let renews = shell.granter_role.borrow().may_renew(now, hosts);
    let services = shell.router.borrow().keyed_services();
    for service in services {
        let candidates = shell.router.borrow().candidates(now, service);
        let mut actions = Vec::new();
        {
            let role = &mut *shell.granter_role.borrow_mut();
            let keyed = role.services.entry(service).or_insert_with(KeyedService::new);
            if keyed.granter.is_none() && !keyed.is_loading {
                keyed.is_loading = true;
                shell.spawn(load_table(Rc::clone(shell), service, term));
            }
            keyed.key_loads.decay(now);
            let candidates = keyed.add_service_times(candidates);
            if let Some(granter) = keyed.granter.as_mut().filter(|_| renews) {
                if now >= keyed.next_log_at {
                    keyed.next_log_at = now + UNSERVED_LOG_INTERVAL;
                    log_unserved(service, granter);
                }
                let renew_only = unconfirmed > MAX_UNCONFIRMED_MOVE;
                granter.tick(now, &candidates, &keyed.key_loads, renew_only, &mut actions);
            }
        }
        run_actions(shell, service, term, actions);
        publish_owners(shell, service);
    }
    send_heartbeat(shell, now, term, unconfirmed);
}

/// Logs the ranges that no server serves.
fn log_unserved(service: ServiceName, granter: &Granter) {
    for (holding, reason) in granter.unserved_ranges().take(MAX_LOGGED_RANGES) {
        log::info!(
            service:% = service,
            first = holding.range.first,
            last = holding.range.last,
            owner:% = holding.owner.server,
            former = holding.former.map_or_else(String::new, |f| f.owner.server.to_string()),
            token = holding.token.0,
            reason = reason;
            "keys without a serving owner"
        );
    }
}

impl KeyedService {
    fn new() -> KeyedService {
        KeyedService {
            granter: None,
            revision: None,
            is_loading: false,
            key_loads: KeyLoads::default(),
            service_times: MeanServiceTimes::default(),
            owner_sequence: 0,
            owners_changed: false,
            next_log_at: Time::ZERO,
        }
    }

    /// Adds what the routers have reported of the servers.
    fn add_service_times(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        for candidate in &mut candidates {
            candidate.service_ms = self.service_times.get(candidate.owner.server);
        }
        candidates
    }
}

/// The term of which this process is the granter.
pub(crate) fn granter_term(shell: &ShellState) -> Option<Term> {
    shell.granter_role.borrow().term()
}

/// Where the other routers take datagrams.
pub(crate) fn other_routers(shell: &ShellState) -> Vec<SocketAddr> {
    let own = shell.settings.host;
    let hosts = shell.router_addresses.borrow();
    hosts.iter().filter(|(host, _)| **host != own).map(|(_, address)| *address).collect()
}
