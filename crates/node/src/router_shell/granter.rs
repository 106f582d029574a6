use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_capacity::CapacityTable;
use bay_range::{Candidate, Fitness, Granter, HoldTimes, KeyLoads, Leadership, OwnerLimits, Role};
use bay_router::{
    Branch, EndedHolds, LiveRouters, MeanServiceTimes, PeerMessage, PublishPlan, RateLimitNotice,
    RouterSettings,
};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Revision, ServiceName, StoreEra, Term};
use xxhash_rust::xxh3::xxh3_64;

use super::orders;
use super::overload;
use super::quotas;
use super::server_updates;
use super::shell_state::{Phase, ShellState};

mod capacities;
mod election;
mod fan_out;
mod fitness;
mod limits;
mod messages;
mod publishing;
mod tables;

pub(crate) use election::resign;
pub(crate) use fan_out::{fan_out, recipient_count};
pub(crate) use fitness::are_zones_unknown;
pub(crate) use messages::handle_peer_message;
pub(crate) use publishing::{Document, fan_out_document, is_link_busy, may_publish, send_parts};

use election::run_leadership_action;
use fan_out::ReceivedHeartbeat;
use messages::{send_heartbeat, send_report};
use publishing::QueuedDatagram;
use tables::{load_table, publish_owners, run_actions};

/// Interval between steps of the granter.
const GRANTER_STEP_INTERVAL: Duration = Duration::from_millis(40);

/// Interval between steps of a follower.
const FOLLOWER_STEP_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between heartbeats of the granter.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between reports to the granter.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Age up to which a router's report counts as proof that it follows this granter.
const MAX_REPORT_AGE: Duration = Leadership::MAX_REPORT_AGE;

/// Age of the store's last confirmation of the granter after which holds are only renewed and no
/// range moves.
const MAX_UNCONFIRMED_MOVE: Duration = Duration::from_millis(2_000);

/// Interval between logs of the ranges without a serving owner, per service.
const UNSERVED_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of ranges without a serving owner logged per interval.
const MAX_LOGGED_RANGES: usize = 8;

/// Role of this process in granting key ranges: the granter of a term or a follower.
pub(crate) struct GranterRole {
    leadership: Leadership,
    /// Empty unless this process is the granter.
    services: BTreeMap<ServiceName, KeyedService>,
    /// Routers that have reported to this granter.
    live_routers: LiveRouters,
    /// Address and term of the granter from its last heartbeat.
    leader: Option<(SocketAddr, Term)>,
    next_heartbeat_at: Time,
    next_report_at: Time,
    /// Routers to which the granter sends its messages.
    branches: Vec<Branch>,
    /// Routers that get the granter's messages without a relay, until when.
    direct_until: BTreeMap<SocketAddr, Time>,
    last_heartbeat: Option<ReceivedHeartbeat>,
    next_direct_request_at: Time,
    /// What the last granter that resigned has said about keys without a holder.
    ended_holds: Option<EndedHolds>,
    /// When the granter sends what.
    publish_plan: PublishPlan<QueuedDatagram>,
    /// This router's place among those of the same fitness, from 0 to 1.
    spread: f64,
    /// Last recovery of the store of which the election was told.
    store_recovered_at: Option<Time>,
    /// Restorations of the store of which the granter knows.
    seen_restorations: u64,
    /// Empty unless this process is the granter and capacities are learned.
    capacities: CapacityTable,
}

/// Granter's state for one service with keys.
struct KeyedService {
    /// `None` until the range table is loaded, and after another granter has overwritten it.
    granter: Option<Granter>,
    /// Revision of the range table in the store, the precondition of the next write. `None` if
    /// there is no table.
    revision: Option<Revision>,
    /// Whether a read of the table is in flight.
    is_loading: bool,
    /// When to load the table again after it was not used, as servers that it does not name may hold
    /// keys.
    next_load_at: Option<Time>,
    /// Whether the store had a table of this granter in this term.
    has_saved: bool,
    /// Whether the store has answered a read of the table, even with an invalid one.
    has_answer: bool,
    key_loads: KeyLoads,
    service_times: MeanServiceTimes,
    owner_limits: OwnerLimits,
    /// Sequence number of the last published owner map.
    owner_sequence: u64,
    /// Whether the owners have changed since the last publication.
    owners_changed: bool,
    /// Whether the last limits of keys that were sent are not empty.
    has_key_limits: bool,
    /// Whether the last limits of owners that were sent are not empty.
    has_owner_limits: bool,
    next_log_at: Time,
}

impl GranterRole {
    /// Creates the role of a follower.
    pub(crate) fn new(settings: &RouterSettings) -> GranterRole {
        let now = BootClock.now();
        let spread = takeover_spread(settings);
        let delay = Fitness::of_size(settings.relative_size()).takeover_delay(spread);
        let incarnation = crate::wall_clock::wall_nanos();
        let mut leadership = Leadership::new(settings.host, incarnation, delay, now);
        if settings.is_first_start {
            leadership.record_first_start(now);
        }
        GranterRole {
            leadership,
            services: BTreeMap::new(),
            live_routers: LiveRouters::default(),
            leader: None,
            next_heartbeat_at: now,
            next_report_at: now,
            branches: Vec::new(),
            direct_until: BTreeMap::new(),
            last_heartbeat: None,
            next_direct_request_at: now,
            ended_holds: None,
            publish_plan: PublishPlan::new(now, settings.link_mbps),
            spread,
            store_recovered_at: None,
            seen_restorations: 0,
            capacities: CapacityTable::default(),
        }
    }

    /// Records that `host` follows this granter, and stops waiting for earlier granters once none
    /// of them can renew holds.
    ///
    /// That is the case when every earlier granter follows this one, or when three quarters of the
    /// hosts do: without the store, an earlier granter needs the reports of half of
    /// the routers to renew.
    fn update_earlier_granters(&mut self, now: Time, host: HostName, hosts: usize) {
        if !self.leadership.has_earlier_granters() {
            return;
        }
        let all_earlier_follow = self.leadership.remove_earlier_granter(host);
        if !all_earlier_follow && !self.do_most_follow(now, hosts) {
            return;
        }
        log::info!(host:% = host, all = all_earlier_follow; "no earlier granter renews holds");
        // Reports that an earlier granter received until now still count there for
        // `MAX_REPORT_AGE`.
        let ended_at = if all_earlier_follow { now } else { now + MAX_REPORT_AGE };
        self.leadership.clear_earlier_granters(ended_at);
        for granter in self.services.values_mut().filter_map(|keyed| keyed.granter.as_mut()) {
            granter.record_earlier_granters_ended(ended_at);
        }
    }

    /// Returns whether so many routers follow this granter that no other one has enough to renew holds
    /// without the store.
    fn do_most_follow(&self, now: Time, hosts: usize) -> bool {
        hosts > 0 && self.live_routers.count_within(now, MAX_REPORT_AGE) * 4 >= hosts * 3
    }

    /// Returns whether holds may be renewed. The store must have confirmed the granter within
    /// [`Leadership::CONFIRMATION_TIMEOUT`], or half of the routers must follow it, up to
    /// [`Granter::MAX_UNCONFIRMED_RENEWAL`].
    fn may_renew(&self, now: Time, hosts: usize) -> bool {
        let unconfirmed = self.leadership.confirmation_age(now).unwrap_or(Duration::MAX);
        let has_enough_followers = self.live_routers.count_within(now, MAX_REPORT_AGE) * 2 >= hosts;
        unconfirmed <= Leadership::CONFIRMATION_TIMEOUT
            || (has_enough_followers && unconfirmed <= Granter::MAX_UNCONFIRMED_RENEWAL)
    }

    /// Returns the term of this process as the granter, `None` as a follower.
    fn term(&self) -> Option<Term> {
        match self.leadership.role() {
            Role::Leader(term) => Some(term),
            Role::Follower => None,
        }
    }
}

/// Returns a router's place among those of the same fitness, from 0 to 1, which keeps them from trying
/// to take over at the same moment.
fn takeover_spread(settings: &RouterSettings) -> f64 {
    let hash = xxh3_64(settings.host.as_str().as_bytes());
    hash as f64 / u64::MAX as f64
}

/// Runs the steps of the granter or follower until a planned stop begins; then it only reports the
/// use of accounts.
pub(crate) async fn run(shell: Rc<ShellState>) {
    loop {
        if shell.phase.get() == Phase::Serving {
            run_step(&shell);
        } else {
            quotas::send_usage_while_stopping(&shell, BootClock.now());
        }
        let is_granter = shell.granter_role.borrow().term().is_some();
        Timer::after(if is_granter { GRANTER_STEP_INTERVAL } else { FOLLOWER_STEP_INTERVAL }).await;
    }
}

/// Advances the election and sends this router's report and detected crashes.
fn run_step(shell: &Rc<ShellState>) {
    let now = BootClock.now();
    fitness::update_fitness(shell, now);
    let action = shell.granter_role.borrow_mut().leadership.tick(now);
    if let Some(action) = action {
        shell.spawn(run_leadership_action(Rc::clone(shell), action));
    }
    if shell.granter_role.borrow().term().is_some() {
        run_granter_step(shell, now);
    }
    send_report(shell, now);
    quotas::send_urgent_usage(shell, now);
    let leader = shell.granter_role.borrow().leader.map(|(address, _)| address);
    overload::run_step(shell, now, leader);
    fan_out::request_direct_messages(shell, now);
    let crashes = shell.router.borrow_mut().drain_crashes();
    if !crashes.is_empty() {
        log::warn!(requests = crashes.len(); "servers crashed while running requests");
        shell.peer_socket.send(&other_routers(shell), &PeerMessage::Crashes(crashes));
    }
    let limits = shell.router.borrow_mut().drain_rate_limits();
    if !limits.is_empty() {
        limits.iter().for_each(|notice| log_rate_limit(notice, "answer"));
        shell.peer_socket.send(&other_routers(shell), &PeerMessage::RateLimits(limits));
    }
    let notices = shell.router.borrow_mut().drain_notices();
    if !notices.is_empty() {
        shell.peer_socket.send(&other_routers(shell), &PeerMessage::ServerNotices(notices));
    }
}

/// Logs a server's rate limit; `source` tells how this router has learned it.
fn log_rate_limit(notice: &RateLimitNotice, source: &str) {
    log::info!(
        server:% = notice.server,
        per_second = notice.per_second.map_or_else(|| "none".to_owned(), |rate| rate.to_string()),
        source = source;
        "rate limit of a server"
    );
}

/// Advances the granter of every service with keys and sends a heartbeat.
fn run_granter_step(shell: &Rc<ShellState>, now: Time) {
    let Some(term) = shell.granter_role.borrow().term() else {
        return;
    };
    let unconfirmed =
        shell.granter_role.borrow().leadership.confirmation_age(now).unwrap_or_default();
    let hosts = shell.router_hosts.borrow().len();
    let may_renew = shell.granter_role.borrow().may_renew(now, hosts);
    {
        let role = &mut *shell.granter_role.borrow_mut();
        let do_most_follow = role.do_most_follow(now, hosts);
        role.leadership.record_followers(now, do_most_follow);
    }
    let hold_times = HoldTimes::bounded_by(shell.settings.bounds.longest_hold);
    let services = shell.router.borrow().keyed_services();
    for service in services {
        let candidates = shell.router.borrow().candidates(now, service);
        let mut actions = Vec::new();
        {
            let role = &mut *shell.granter_role.borrow_mut();
            let may_prove = role.leadership.may_prove_tables(now, &hold_times);
            let keyed = role.services.entry(service).or_insert_with(KeyedService::new);
            let is_load_due = keyed.next_load_at.is_none_or(|at| may_prove && now >= at);
            if keyed.granter.is_none() && !keyed.is_loading && is_load_due {
                keyed.is_loading = true;
                shell.spawn(load_table(Rc::clone(shell), service, term));
            }
            keyed.key_loads.decay(now);
            let candidates = keyed.add_service_times(candidates);
            if let Some(granter) = keyed.granter.as_mut().filter(|_| may_renew) {
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
    if election::hand_over_if_stuck(shell, now) {
        return;
    }
    record_saved_tables(shell, now);
    send_heartbeat(shell, now, term, unconfirmed);
    publishing::send_queued(shell, now);
}

/// Tells the election once the store has the tables of all services, written in its present era.
fn record_saved_tables(shell: &ShellState, now: Time) {
    let services = shell.router.borrow().keyed_services();
    let era = shell.store.era();
    let role = &mut *shell.granter_role.borrow_mut();
    let is_saved = |service| {
        let keyed = role.services.get(service);
        keyed.is_some_and(|keyed| keyed.is_saved_in(era))
    };
    if !services.is_empty() && services.iter().all(is_saved) {
        role.leadership.record_tables_saved(now);
    }
}

/// Logs ranges without a serving owner, with the reason of each.
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
            next_load_at: None,
            has_saved: false,
            has_answer: false,
            key_loads: KeyLoads::default(),
            service_times: MeanServiceTimes::default(),
            owner_limits: OwnerLimits::default(),
            owner_sequence: 0,
            owners_changed: false,
            has_key_limits: false,
            has_owner_limits: false,
            next_log_at: Time::ZERO,
        }
    }

    /// Returns whether the store has the table of this granter, written in the given era.
    fn is_saved_in(&self, era: StoreEra) -> bool {
        let is_written = self.revision.is_some_and(|revision| revision.era() == era);
        self.granter.is_some() && self.has_saved && is_written
    }

    /// Fills in the mean service times that routers have reported.
    fn add_service_times(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        for candidate in &mut candidates {
            candidate.service_ms = self.service_times.get(candidate.owner.server);
        }
        candidates
    }
}

/// Returns the term of this process as the granter, `None` as a follower.
pub(crate) fn granter_term(shell: &ShellState) -> Option<Term> {
    shell.granter_role.borrow().term()
}

/// Returns the router that passed on the last heartbeat: the granter or a relay.
pub(crate) fn heartbeat_sender(shell: &ShellState) -> Option<SocketAddr> {
    shell.granter_role.borrow().last_heartbeat.map(|heartbeat| heartbeat.from)
}

/// Returns the address of the granter, `None` if it is this router, with its term. There is none
/// while this router knows no granter.
pub(crate) fn leader(shell: &ShellState) -> Option<(Option<SocketAddr>, Term)> {
    let role = shell.granter_role.borrow();
    if let Some(term) = role.term() {
        return Some((None, term));
    }
    let (address, term) = role.leader?;
    (term == role.leadership.known_term()).then_some((Some(address), term))
}

/// Returns the datagram addresses of the other routers.
pub(crate) fn other_routers(shell: &ShellState) -> Vec<SocketAddr> {
    let own = shell.settings.host;
    let hosts = shell.router_hosts.borrow();
    hosts.iter().filter(|(host, _)| **host != own).map(|(_, record)| record.peer).collect()
}
