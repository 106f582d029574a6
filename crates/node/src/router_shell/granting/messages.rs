use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bay_router::{Heartbeat, PeerMessage, Report, ServiceOwners};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Term, ZoneName};

use super::election::on_role_change;
use super::{HEARTBEAT, REPORT, Shell, news, others};

/// Ranges with their owners in one datagram.
const RANGES_PER_PART: usize = 400;

pub(super) fn heartbeat(shell: &Rc<Shell>, now: Time, term: Term, unconfirmed: Duration) {
    let feed_state = news::feed_state(shell, now);
    let message = {
        let granting = &mut *shell.granting.borrow_mut();
        if now < granting.heartbeat_at {
            return;
        }
        granting.heartbeat_at = now + HEARTBEAT;
        granting.heard.record_report(now, shell.settings.host);
        let services = granting.services.iter();
        PeerMessage::Heartbeat(Heartbeat {
            host: shell.settings.host,
            term,
            renewal: granting.leadership.renewal(),
            unconfirmed_ms: unconfirmed.as_millis() as u32,
            routers: granting.heard.count_live(now),
            owner_versions: services.map(|(name, granted)| (*name, granted.published)).collect(),
            feed_state,
        })
    };
    shell.peers.send(&others(shell), &message);
}

/// Tells the other routers that this one is not the granter any more, so that they need not find
/// out by its silence.
pub(super) fn farewell(shell: &Shell, term: Term) {
    let message = PeerMessage::Heartbeat(Heartbeat {
        host: shell.settings.host,
        term,
        renewal: 0,
        unconfirmed_ms: u32::MAX,
        routers: shell.router.borrow().router_count(),
        owner_versions: Vec::new(),
        feed_state: None,
    });
    shell.peers.send(&others(shell), &message);
}

/// Tells the granter what this router has seen.
pub(super) fn report(shell: &Rc<Shell>, now: Time) {
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
        services: shell.router.borrow_mut().drain_reports(),
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
    granting.heard.record_report(now, report.host);
    granting.settle(now, report.host, shell.hosts.borrow().len());
    for part in &report.services {
        let Some(granted) = granting.services.get_mut(&part.service) else {
            continue;
        };
        for count in &part.keys {
            granted.loads.add(count.key, count.requests);
        }
        part.servers.iter().for_each(|time| granted.times.record(time));
    }
}

/// Takes a message of another router.
pub(crate) fn on_message(shell: &Rc<Shell>, from: SocketAddr, message: PeerMessage) {
    let now = BootClock.now();
    match message {
        PeerMessage::Heartbeat(heartbeat) => on_heartbeat(shell, now, from, &heartbeat),
        PeerMessage::OwnerChanges(service, changes) => {
            if !shell.router.borrow_mut().apply_owner_changes(service, &changes) {
                shell.peers.send(&[from], &PeerMessage::RequestOwners(service));
            }
        }
        PeerMessage::Owners(owners) => {
            shell.router.borrow_mut().add_owners_part(owners);
        }
        PeerMessage::Report(report) => {
            if shell.granting.borrow().term().is_some() {
                take_report(shell, now, &report);
            }
        }
        PeerMessage::Servers(news) => news::on_news(shell, from, news),
        PeerMessage::Crashes(crashes) => {
            let mut router = shell.router.borrow_mut();
            crashes.into_iter().for_each(|crash| router.record_crash(now, crash));
        }
        PeerMessage::RequestServers => news::tell_all(shell, from),
        PeerMessage::RequestOwners(service) => {
            let parts = shell.router.borrow().owners(service).map(|all| all.split(RANGES_PER_PART));
            let parts = parts.unwrap_or_default();
            let count = parts.len() as u16;
            for (index, owners) in (0..).zip(parts) {
                let owners = ServiceOwners { service, part: (index, count), owners };
                shell.peers.send(&[from], &PeerMessage::Owners(owners));
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
        granting.leadership.handle_heartbeat(now, heartbeat.term, heartbeat.renewal, unconfirmed);
        let changed = granting.leader.is_none_or(|(_, term)| term != heartbeat.term);
        if changed {
            log::info!(host:% = heartbeat.host, term = heartbeat.term.0; "granter heard");
        }
        granting.leader = Some((from, heartbeat.term));
    }
    on_role_change(shell, before);
    if let Some(state) = &heartbeat.feed_state {
        let mut fed = shell.fed.borrow_mut();
        if fed.handle_heartbeat(now, heartbeat.term, state.clone()) {
            shell.peers.send(&[from], &PeerMessage::RequestServers);
        }
        if fed.state(now).is_some() {
            let zones = state.zones_out.iter().copied().collect();
            set_zones_out(shell, now, zones);
        }
    }
    let mut router = shell.router.borrow_mut();
    let hosts: Vec<HostName> = shell.hosts.borrow().keys().copied().collect();
    router.set_hosts(now, hosts, heartbeat.routers);
    for (service, published) in &heartbeat.owner_versions {
        let known = router.owners(*service).map(bay_router::OwnerMap::version);
        if known.is_some_and(|known| known < (heartbeat.term, *published)) {
            shell.peers.send(&[from], &PeerMessage::RequestOwners(*service));
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
