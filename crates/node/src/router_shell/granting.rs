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

use super::news;
use super::orders;
use super::shell::{Phase, Shell};

mod election;
mod messages;
mod tables;

pub(crate) use election::resign;
pub(crate) use messages::on_message;

use election::perform;
use messages::{heartbeat, report};
use tables::{act, load, publish};

/// Time between two steps of the granter.
const LEADER_STEP: Duration = Duration::from_millis(40);

/// Time between two steps of a follower.
const FOLLOWER_STEP: Duration = Duration::from_millis(150);

/// Time between two heartbeats of the granter.
const HEARTBEAT: Duration = Duration::from_millis(250);

/// Time between two reports to the granter.
const REPORT: Duration = Duration::from_millis(300);

/// Range over which followers of one size spread their attempts to take over.
const TAKEOVER_SPREAD_MS: u64 = 300;

/// Longest additional delay of a small machine's attempt to take over.
const SMALL_MACHINE_DELAY: Duration = Duration::from_millis(700);

/// Processor share with which a machine is large enough to be the granter of a large fleet.
const AMPLE_CORES: f64 = 0.2;

/// The same for its link, in megabits a second.
const AMPLE_LINK_MBPS: f64 = 100.0;

/// Age up to which a router's report shows that it follows the granter.
const FOLLOWED: Duration = Duration::from_millis(1_000);

/// Time without the store's confirmation after which nothing is moved.
const MOVE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time between two logs of the ranges that no server serves.
const UNSERVED_LOG: Duration = Duration::from_secs(1);

/// Most ranges in one such log.
const MAX_LOGGED_RANGES: usize = 8;

/// This process's part in granting keys.
pub(crate) struct Granting {
    leadership: Leadership,
    services: BTreeMap<ServiceName, Granted>,
    heard: LiveRouters,
    /// Where the granter takes reports, and its term.
    leader: Option<(SocketAddr, Term)>,
    heartbeat_at: Time,
    report_at: Time,
}

/// A service whose keys this process grants.
struct Granted {
    /// None until the table was read.
    granter: Option<Granter>,
    /// The revision of the table in the store.
    revision: Option<Revision>,
    loading: bool,
    loads: KeyLoads,
    times: MeanServiceTimes,
    published: u64,
    /// Whether the owners have changed since they were published.
    unpublished: bool,
    log_at: Time,
}

impl Granting {
    /// A follower.
    pub(crate) fn new(settings: &RouterSettings) -> Granting {
        let now = BootClock.now();
        let delay = takeover_delay(settings);
        let incarnation = crate::wall_clock::wall_nanos();
        Granting {
            leadership: Leadership::new(settings.host, incarnation, delay, now),
            services: BTreeMap::new(),
            heard: LiveRouters::default(),
            leader: None,
            heartbeat_at: now,
            report_at: now,
        }
    }

    /// Finds out whether earlier granters may still renew holds, after a report of a host.
    ///
    /// Without the store an earlier granter needs the reports of half of the routers.
    fn settle(&mut self, now: Time, host: HostName, hosts: usize) {
        if !self.leadership.has_earlier_granters() {
            return;
        }
        let all_follow = self.leadership.remove_earlier_granter(host);
        let most_follow = self.heard.count_within(now, FOLLOWED) * 4 > hosts * 3;
        if !all_follow && !most_follow {
            return;
        }
        self.leadership.clear_earlier_granters();
        log::info!(host:% = host, all = all_follow; "no earlier granter renews holds");
        let ended = if all_follow { now } else { now + FOLLOWED };
        for granter in self.services.values_mut().filter_map(|each| each.granter.as_mut()) {
            granter.record_predecessors_ended(ended);
        }
    }

    /// Whether holds may be renewed: the store or half of the routers confirm the granter.
    fn may_renew(&self, now: Time, hosts: usize) -> bool {
        let unconfirmed = self.leadership.confirmation_age(now).unwrap_or(Duration::MAX);
        let followed = self.heard.count_within(now, FOLLOWED) * 2 >= hosts;
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
    let size = (settings.cores / AMPLE_CORES).min(settings.link_mbps / AMPLE_LINK_MBPS).min(1.0);
    let spread = xxh3_64(settings.host.as_str().as_bytes()) % TAKEOVER_SPREAD_MS;
    SMALL_MACHINE_DELAY.mul_f64(1.0 - size) + Duration::from_millis(spread)
}

/// Takes part in granting for as long as the process lives.
pub(crate) async fn run(shell: Rc<Shell>) {
    loop {
        if shell.phase.get() == Phase::Serving {
            step(&shell);
        }
        let leading = shell.granting.borrow().term().is_some();
        Timer::after(if leading { LEADER_STEP } else { FOLLOWER_STEP }).await;
    }
}

fn step(shell: &Rc<Shell>) {
    let now = BootClock.now();
    let action = shell.granting.borrow_mut().leadership.tick(now);
    if let Some(action) = action {
        shell.spawn(perform(Rc::clone(shell), action));
    }
    if shell.granting.borrow().term().is_some() {
        lead(shell, now);
    }
    report(shell, now);
    let crashes = shell.router.borrow_mut().drain_crashes();
    if !crashes.is_empty() {
        log::warn!(requests = crashes.len(); "servers ended while they ran requests");
        shell.peers.send(&others(shell), &PeerMessage::Crashes(crashes));
    }
}

/// Grants keys.
fn lead(shell: &Rc<Shell>, now: Time) {
    let Some(term) = shell.granting.borrow().term() else {
        return;
    };
    let unconfirmed = shell.granting.borrow().leadership.confirmation_age(now).unwrap_or_default();
    let hosts = shell.hosts.borrow().len();
    let renews = shell.granting.borrow().may_renew(now, hosts);
    let services = shell.router.borrow().keyed_services();
    for service in services {
        let candidates = shell.router.borrow().candidates(now, service);
        let mut actions = Vec::new();
        {
            let granting = &mut *shell.granting.borrow_mut();
            let granted = granting.services.entry(service).or_insert_with(Granted::new);
            if granted.granter.is_none() && !granted.loading {
                granted.loading = true;
                shell.spawn(load(Rc::clone(shell), service, term));
            }
            granted.loads.decay(now);
            let candidates = granted.with_times(candidates);
            if let Some(granter) = granted.granter.as_mut().filter(|_| renews) {
                if now >= granted.log_at {
                    granted.log_at = now + UNSERVED_LOG;
                    log_unserved(service, granter);
                }
                let renew_only = unconfirmed > MOVE_LIMIT;
                granter.tick(now, &candidates, &granted.loads, renew_only, &mut actions);
            }
        }
        act(shell, service, term, actions);
        publish(shell, service);
    }
    heartbeat(shell, now, term, unconfirmed);
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

impl Granted {
    fn new() -> Granted {
        Granted {
            granter: None,
            revision: None,
            loading: false,
            loads: KeyLoads::default(),
            times: MeanServiceTimes::default(),
            published: 0,
            unpublished: false,
            log_at: Time::ZERO,
        }
    }

    /// Adds what the routers have reported of the servers.
    fn with_times(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        for candidate in &mut candidates {
            candidate.service_ms = self.times.get(candidate.owner.server);
        }
        candidates
    }
}

/// The term of which this process is the granter.
pub(crate) fn term(shell: &Shell) -> Option<Term> {
    shell.granting.borrow().term()
}

/// Where the other routers take datagrams.
pub(crate) fn others(shell: &Shell) -> Vec<SocketAddr> {
    let own = shell.settings.host;
    let hosts = shell.hosts.borrow();
    hosts.iter().filter(|(host, _)| **host != own).map(|(_, address)| *address).collect()
}
