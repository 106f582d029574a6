use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use bay_range::{
    Candidate, Granter, GranterAction, HoldTimes, KeyLoads, Leadership, LeadershipAction,
    LeadershipRecord, RangeTable, Role,
};
use bay_router::{
    HeardHosts, Heartbeat, OwnerMap, PeerMessage, Report, RouterSettings, ServiceOwners, own_key,
};
use bay_store::{Expect, Object, StoreReply, StoreRequest};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Revision, ServerName, ServiceName, Term, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use super::news;
use super::orders;
use super::shell::{Phase, Shell};

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

/// Weight of a newer report in the mean time of a server.
const TIME_GAIN: f64 = 0.3;

/// This process's part in granting keys.
pub(crate) struct Granting {
    leadership: Leadership,
    services: BTreeMap<ServiceName, Granted>,
    heard: HeardHosts,
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
    times: BTreeMap<ServerName, f64>,
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
            heard: HeardHosts::default(),
            leader: None,
            heartbeat_at: now,
            report_at: now,
        }
    }

    /// Finds out whether earlier granters may still renew holds, after a report of a host.
    ///
    /// Without the store an earlier granter needs the reports of half of the routers.
    fn settle(&mut self, now: Time, host: HostName, hosts: usize) {
        if !self.leadership.has_lingering() {
            return;
        }
        let all_follow = self.leadership.on_follower(host);
        let most_follow = self.heard.within(now, FOLLOWED) * 4 > hosts * 3;
        if !all_follow && !most_follow {
            return;
        }
        self.leadership.settle();
        log::info!(host:% = host, all = all_follow; "no earlier granter renews holds");
        let ended = if all_follow { now } else { now + FOLLOWED };
        for granter in self.services.values_mut().filter_map(|each| each.granter.as_mut()) {
            granter.predecessors_ended(ended);
        }
    }

    /// Whether holds may be renewed: the store or half of the routers confirm the granter.
    fn may_renew(&self, now: Time, hosts: usize) -> bool {
        let unconfirmed = self.leadership.unconfirmed(now).unwrap_or(Duration::MAX);
        let followed = self.heard.within(now, FOLLOWED) * 2 >= hosts;
        unconfirmed <= Leadership::STORE_SILENCE
            || (followed && unconfirmed <= Granter::LONE_RENEWAL)
    }

    fn term(&self) -> Option<Term> {
        match self.leadership.role() {
            Role::Leading(term) => Some(term),
            Role::Following => None,
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
    let crashes = shell.router.borrow_mut().take_crashes();
    if !crashes.is_empty() {
        log::warn!(requests = crashes.len(); "servers ended while they ran requests");
        shell.peers.send(&others(shell), &PeerMessage::Crashes(crashes));
    }
}

/// Performs a call of the election.
async fn perform(shell: Rc<Shell>, action: LeadershipAction) {
    let Some(key) = own_key::leadership() else {
        return;
    };
    let sent = BootClock.now();
    let (request, record) = match action {
        LeadershipAction::Read => (StoreRequest::Get { key }, None),
        LeadershipAction::Write { record, expect } => {
            let expect = expect.map_or(Expect::Absent, Expect::Revision);
            // A record always makes JSON.
            let body = serde_json::to_string(&record).unwrap_or_default();
            (StoreRequest::Put { key, body, expect }, Some(record))
        }
    };
    let result = shell.store.call(&request).await;
    let now = BootClock.now();
    let before = shell.granting.borrow().term();
    {
        let leadership = &mut shell.granting.borrow_mut().leadership;
        match (result, record) {
            (Ok(StoreReply::Written(revision)), Some(record)) => {
                leadership.on_written(now, sent, record, revision);
            }
            (Ok(StoreReply::Object(found) | StoreReply::Conflict(found)), _) => {
                leadership.on_record(now, found.as_ref().and_then(read_record));
            }
            _ => leadership.on_failure(now),
        }
    }
    on_role_change(&shell, before);
}

fn read_record(object: &Object) -> Option<(Revision, LeadershipRecord)> {
    Some((object.revision, serde_json::from_str(&object.body).ok()?))
}

/// Starts or ends to grant after a change of the standing.
fn on_role_change(shell: &Shell, before: Option<Term>) {
    let granting = &mut *shell.granting.borrow_mut();
    let after = granting.term();
    if before == after {
        return;
    }
    granting.services.clear();
    granting.heard.clear();
    shell.fed.borrow_mut().clear();
    shell.told.borrow_mut().clear();
    match after {
        Some(term) => log::info!(
            term = term.0,
            lingering = granting.leadership.has_lingering();
            "granter of a new term"
        ),
        None => log::info!(term = granting.leadership.known_term().0; "no longer granter"),
    }
}

/// Grants keys.
fn lead(shell: &Rc<Shell>, now: Time) {
    let Some(term) = shell.granting.borrow().term() else {
        return;
    };
    let unconfirmed = shell.granting.borrow().leadership.unconfirmed(now).unwrap_or_default();
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
    for (holding, reason) in granter.unserved().take(MAX_LOGGED_RANGES) {
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
            times: BTreeMap::new(),
            published: 0,
            unpublished: false,
            log_at: Time::ZERO,
        }
    }

    /// Adds what the routers have reported of the servers.
    fn with_times(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        for candidate in &mut candidates {
            let reported = self.times.get(&candidate.owner.server).copied();
            candidate.service_ms = reported.or(candidate.service_ms);
        }
        candidates
    }
}

/// Reads a service's table at the start of a term.
async fn load(shell: Rc<Shell>, service: ServiceName, term: Term) {
    let Some(key) = own_key::ranges(service) else {
        return;
    };
    let result = shell.store.call(&StoreRequest::Get { key }).await;
    let now = BootClock.now();
    let times = HoldTimes::within(shell.settings.bounds.longest_hold);
    let granting = &mut *shell.granting.borrow_mut();
    if granting.term() != Some(term) {
        return;
    }
    let Some(granted) = granting.services.get_mut(&service) else {
        return;
    };
    granted.loading = false;
    let (table, revision) = match result {
        Ok(StoreReply::Object(None)) => (RangeTable::default(), None),
        Ok(StoreReply::Object(Some(object))) => match serde_json::from_str(&object.body) {
            Ok(table) => (table, Some(object.revision)),
            Err(error) => {
                log::error!(service:% = service, error:% = error; "range table not understood");
                return;
            }
        },
        _ => return,
    };
    if table.term > term {
        log::warn!(service:% = service, term = table.term.0; "table of a later term");
        granting.leadership.on_heartbeat(now, table.term, 0, Duration::ZERO);
        granting.services.clear();
        return;
    }
    log::info!(
        service:% = service,
        term = term.0,
        ranges = table.holdings.len();
        "range table taken over"
    );
    granted.revision = revision;
    let mut granter = Granter::take_over(now, term, times, table);
    if !granting.leadership.has_lingering() {
        granter.predecessors_ended(now);
    }
    granted.granter = Some(granter);
}

fn act(shell: &Rc<Shell>, service: ServiceName, term: Term, actions: Vec<GranterAction>) {
    for action in actions {
        match action {
            GranterAction::Save(table) => {
                shell.spawn(save(Rc::clone(shell), service, term, table));
            }
            GranterAction::Order { id, to, address, order } => {
                let ordering = Rc::clone(shell);
                shell.spawn(async move {
                    let result = orders::send(&ordering, to.server, address, &order).await;
                    log::debug!(server:% = to.server, order:? = order, result:? = result; "order");
                    let now = BootClock.now();
                    with_granter(&ordering, service, term, |granter, out| {
                        granter.on_order(now, id, &result, out);
                    });
                });
            }
            GranterAction::Publish => {
                let granting = &mut *shell.granting.borrow_mut();
                if let Some(granted) = granting.services.get_mut(&service) {
                    granted.unpublished = true;
                }
            }
        }
    }
}

/// Lets a service's granter decide, if this process still is the granter of the term.
fn with_granter<F>(shell: &Rc<Shell>, service: ServiceName, term: Term, decide: F)
where
    F: FnOnce(&mut Granter, &mut Vec<GranterAction>),
{
    let mut actions = Vec::new();
    {
        let granting = &mut *shell.granting.borrow_mut();
        if granting.term() != Some(term) {
            return;
        }
        let granted = granting.services.get_mut(&service);
        let Some(granter) = granted.and_then(|granted| granted.granter.as_mut()) else {
            return;
        };
        decide(granter, &mut actions);
    }
    act(shell, service, term, actions);
}

async fn save(shell: Rc<Shell>, service: ServiceName, term: Term, table: RangeTable) {
    let Some(key) = own_key::ranges(service) else {
        return;
    };
    let revision = {
        let granting = shell.granting.borrow();
        granting.services.get(&service).and_then(|granted| granted.revision)
    };
    let expect = revision.map_or(Expect::Absent, Expect::Revision);
    // A table always makes JSON.
    let body = serde_json::to_string(&table).unwrap_or_default();
    let result = shell.store.call(&StoreRequest::Put { key, body, expect }).await;
    let change = table.change;
    let saved = match result {
        Ok(StoreReply::Written(revision)) => Saved::At(revision),
        Ok(StoreReply::Conflict(Some(object))) => {
            let stored = serde_json::from_str::<RangeTable>(&object.body).ok();
            match stored.map(|stored| stored.version()) {
                // A write took effect although its answer was lost.
                Some(version) if version == table.version() => Saved::At(object.revision),
                _ => Saved::Overtaken,
            }
        }
        Ok(StoreReply::Conflict(None)) => Saved::Overtaken,
        _ => Saved::Unknown,
    };
    log::info!(service:% = service, change = change, saved:? = saved,
        ranges = table.holdings.len(); "range table");
    let now = BootClock.now();
    {
        let granting = &mut *shell.granting.borrow_mut();
        if granting.term() == Some(term)
            && let Some(granted) = granting.services.get_mut(&service)
        {
            match saved {
                Saved::At(revision) => granted.revision = Some(revision),
                // An earlier granter wrote after the table was read.
                Saved::Overtaken => granted.granter = None,
                Saved::Unknown => {}
            }
        }
    }
    with_granter(&shell, service, term, |granter, out| match saved {
        Saved::At(_) => granter.on_saved(now, change, out),
        Saved::Overtaken | Saved::Unknown => granter.on_save_failed(),
    });
}

/// What became of a write of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Saved {
    /// It is in the store.
    At(Revision),
    /// Another table is in the store.
    Overtaken,
    /// It may be in the store.
    Unknown,
}

/// Tells the routers who serves which keys, if that has changed.
fn publish(shell: &Rc<Shell>, service: ServiceName) {
    let owners = {
        let granting = &mut *shell.granting.borrow_mut();
        let (Some(term), Some(granted)) = (granting.term(), granting.services.get_mut(&service))
        else {
            return;
        };
        let Some(granter) = granted.granter.as_ref().filter(|_| granted.unpublished) else {
            return;
        };
        granted.unpublished = false;
        granted.published += 1;
        OwnerMap { term, published: granted.published, ranges: granter.serving() }
    };
    let router = &mut *shell.router.borrow_mut();
    let changes = router.owners(service).map(|before| owners.changes_since(before));
    router.set_owners(service, owners);
    if let Some(changes) = changes {
        shell.peers.send(&others(shell), &PeerMessage::OwnerChanges(service, changes));
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

fn heartbeat(shell: &Rc<Shell>, now: Time, term: Term, unconfirmed: Duration) {
    let feeds = news::feed_state(shell, now);
    let message = {
        let granting = &mut *shell.granting.borrow_mut();
        if now < granting.heartbeat_at {
            return;
        }
        granting.heartbeat_at = now + HEARTBEAT;
        granting.heard.heard(now, shell.settings.host);
        let services = granting.services.iter();
        PeerMessage::Heartbeat(Heartbeat {
            host: shell.settings.host,
            term,
            renewal: granting.leadership.renewal(),
            unconfirmed_ms: unconfirmed.as_millis() as u32,
            routers: granting.heard.count(now),
            published: services.map(|(name, granted)| (*name, granted.published)).collect(),
            feeds,
        })
    };
    shell.peers.send(&others(shell), &message);
}

/// Tells the granter what this router has seen.
fn report(shell: &Rc<Shell>, now: Time) {
    let (leader, term) = {
        let granting = &mut *shell.granting.borrow_mut();
        if now < granting.report_at {
            return;
        }
        granting.report_at = now + REPORT;
        (granting.leader, granting.leadership.known_term())
    };
    let report = Report {
        host: shell.settings.host,
        term,
        services: shell.router.borrow_mut().take_reports(),
    };
    if shell.granting.borrow().term().is_some() {
        take_report(shell, now, &report);
    } else if let Some((address, followed)) = leader
        && followed == term
    {
        shell.peers.send(&[address], &PeerMessage::Report(report));
    }
}

fn take_report(shell: &Shell, now: Time, report: &Report) {
    let granting = &mut *shell.granting.borrow_mut();
    if granting.term() != Some(report.term) {
        return;
    }
    granting.heard.heard(now, report.host);
    granting.settle(now, report.host, shell.hosts.borrow().len());
    for part in &report.services {
        let Some(granted) = granting.services.get_mut(&part.service) else {
            continue;
        };
        for count in &part.keys {
            granted.loads.add(count.key, count.requests);
        }
        for time in &part.servers {
            let sample = f64::from(time.service_ms);
            let mean = granted.times.entry(time.server).or_insert(sample);
            *mean += TIME_GAIN * (sample - *mean);
        }
    }
}

/// Takes a message of another router.
pub(crate) fn on_message(shell: &Rc<Shell>, from: SocketAddr, message: PeerMessage) {
    let now = BootClock.now();
    match message {
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(shell, now, from, &heartbeat),
        PeerMessage::OwnerChanges(service, changes) => {
            if !shell.router.borrow_mut().change_owners(service, &changes) {
                shell.peers.send(&[from], &PeerMessage::Want(service));
            }
        }
        PeerMessage::Owners(ServiceOwners { service, owners }) => {
            shell.router.borrow_mut().set_owners(service, owners);
        }
        PeerMessage::Report(report) => {
            if shell.granting.borrow().term().is_some() {
                take_report(shell, now, &report);
            }
        }
        PeerMessage::Servers(news) => news::on_news(shell, from, news),
        PeerMessage::Crashes(crashes) => {
            let mut router = shell.router.borrow_mut();
            crashes.into_iter().for_each(|crash| router.on_crash(now, crash));
        }
        PeerMessage::WantServers => news::tell_all(shell, from),
        PeerMessage::Want(service) => {
            let owners = shell.router.borrow().owners(service).cloned();
            if let Some(owners) = owners {
                let message = PeerMessage::Owners(ServiceOwners { service, owners });
                shell.peers.send(&[from], &message);
            }
        }
    }
}

fn on_heartbeat(shell: &Rc<Shell>, now: Time, from: SocketAddr, heartbeat: &Heartbeat) {
    let before = shell.granting.borrow().term();
    {
        let granting = &mut *shell.granting.borrow_mut();
        if heartbeat.term < granting.leadership.known_term() {
            return;
        }
        let unconfirmed = Duration::from_millis(u64::from(heartbeat.unconfirmed_ms));
        granting.leadership.on_heartbeat(now, heartbeat.term, heartbeat.renewal, unconfirmed);
        let changed = granting.leader.is_none_or(|(_, term)| term != heartbeat.term);
        if changed {
            log::info!(host:% = heartbeat.host, term = heartbeat.term.0; "granter heard");
        }
        granting.leader = Some((from, heartbeat.term));
    }
    on_role_change(shell, before);
    if let Some(state) = &heartbeat.feeds {
        let mut fed = shell.fed.borrow_mut();
        if fed.on_heartbeat(now, heartbeat.term, state.clone()) {
            shell.peers.send(&[from], &PeerMessage::WantServers);
        }
        if fed.state(now).is_some() {
            let zones = state.zones_out.iter().copied().collect();
            set_zones_out(shell, now, zones);
        }
    }
    let mut router = shell.router.borrow_mut();
    let hosts: Vec<HostName> = shell.hosts.borrow().keys().copied().collect();
    router.set_hosts(now, hosts, heartbeat.routers);
    for (service, published) in &heartbeat.published {
        let known = router.owners(*service).map(bay_router::OwnerMap::version);
        if known.is_some_and(|known| known < (heartbeat.term, *published)) {
            shell.peers.send(&[from], &PeerMessage::Want(*service));
        }
    }
}

/// Takes the zones that are out as the granter has read them.
fn set_zones_out(shell: &Shell, now: Time, zones: BTreeSet<ZoneName>) {
    let mut router = shell.router.borrow_mut();
    if *router.directory().zones_out() != zones {
        log::info!(zones:? = zones; "zones out");
        router.set_zones_out(now, zones);
    }
}

/// Hands the granter's role over before a planned stop.
pub(crate) async fn resign(shell: &Rc<Shell>) {
    let now = BootClock.now();
    let action = shell.granting.borrow_mut().leadership.resign(now);
    if let Some(action) = action {
        shell.granting.borrow_mut().services.clear();
        log::info!("granter resigns");
        perform(Rc::clone(shell), action).await;
    }
}
