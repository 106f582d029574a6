use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bay_range::Leadership;
use bay_router::{Heartbeat, PeerMessage, Report, ServiceOwners};
use bay_time::{BootClock, Clock, Time};
use bay_types::{HostName, Term, ZoneName};

use super::capacities;
use super::election::handle_role_change;
use super::fan_out::{self, ReceivedHeartbeat};
use super::{
    Document, HEARTBEAT_INTERVAL, REPORT_INTERVAL, ShellState, limits, log_rate_limit, publishing,
    server_updates,
};
use crate::router_shell::{
    config_updates, freshness, hosts, overload, permits, quotas, server_notices,
};

/// Maximum number of ranges of an owner map in one datagram.
const RANGES_PER_PART: usize = 400;

/// Sends the granter's heartbeat if it is due. `unconfirmed` is the time since the store last
/// confirmed the granter.
pub(super) fn send_heartbeat(shell: &Rc<ShellState>, now: Time, term: Term, unconfirmed: Duration) {
    if now < shell.granter_role.borrow().next_heartbeat_at {
        return;
    }
    fan_out::update_branches(shell, now);
    // A heartbeat that names documents makes routers request them.
    let feed_state = match publishing::may_publish(shell, now) {
        true => server_updates::feed_state(shell, now),
        false => None,
    };
    let message = {
        let role = &mut *shell.granter_role.borrow_mut();
        role.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
        role.live_routers.record_report(now, shell.settings.host);
        let services = role.services.iter();
        PeerMessage::Heartbeat(Heartbeat {
            host: shell.settings.host,
            term,
            renewal: role.leadership.renewal(),
            unconfirmed_ms: unconfirmed.as_millis() as u32,
            routers: role.live_routers.count_live(now),
            owner_sequences: services.map(|(name, keyed)| (*name, keyed.owner_sequence)).collect(),
            feed_state,
        })
    };
    fan_out::fan_out(shell, &message);
    config_updates::publish(shell);
    limits::send_key_limits(shell, now);
    limits::send_owner_limits(shell, now);
    quotas::send_shares(shell, now);
    capacities::send_updates(shell, now);
}

/// Tells the other routers that this granter has resigned, so that they elect another one before
/// the heartbeat timeout. The heartbeat says so with the largest time since a confirmation.
pub(super) fn send_resignation(shell: &ShellState, term: Term) {
    let message = PeerMessage::Heartbeat(Heartbeat {
        host: shell.settings.host,
        term,
        renewal: 0,
        unconfirmed_ms: Leadership::RESIGNED.as_millis() as u32,
        routers: shell.router.borrow().router_count(),
        owner_sequences: Vec::new(),
        feed_state: None,
    });
    fan_out::fan_out(shell, &message);
}

/// Sends the granter this router's key loads and service times if a report is due. The granter
/// applies its own report directly.
pub(super) fn send_report(shell: &Rc<ShellState>, now: Time) {
    let (leader, term) = {
        let role = &mut *shell.granter_role.borrow_mut();
        if now < role.next_report_at {
            return;
        }
        role.next_report_at = now + REPORT_INTERVAL;
        (role.leader, role.leadership.known_term())
    };
    let report = Report {
        host: shell.settings.host,
        term,
        services: shell.router.borrow_mut().drain_reports(),
    };
    if shell.granter_role.borrow().term().is_some() {
        apply_report(shell, now, &report);
    } else if let Some((address, leader_term)) = leader
        && leader_term == term
    {
        shell.peer_socket.send(&[address], &PeerMessage::Report(report));
    }
    quotas::send_usage(shell, now);
    let address =
        leader.filter(|(_, leader_term)| *leader_term == term).map(|(address, _)| address);
    limits::send_occupancies(shell, now, address);
    capacities::send_samples(shell, now, address);
}

/// Tells a new granter that there was one before it, by a report of the earlier term. It may have
/// started without knowledge of it, from a store that was restored from a copy.
fn send_earlier_term(shell: &ShellState, granter: SocketAddr, term: Term) {
    let report = Report { host: shell.settings.host, term, services: Vec::new() };
    shell.peer_socket.send(&[granter], &PeerMessage::Report(report));
}

/// Applies a router's report of the granter's current term. One of another term only shows that there
/// was another granter.
fn apply_report(shell: &ShellState, now: Time, report: &Report) {
    let role = &mut *shell.granter_role.borrow_mut();
    if role.term() != Some(report.term) {
        // The granter of that term may have granted keys.
        role.leadership.record_other_term();
        return;
    }
    role.live_routers.record_report(now, report.host);
    role.update_earlier_granters(now, report.host, shell.router_hosts.borrow().len());
    for part in &report.services {
        let Some(keyed) = role.services.get_mut(&part.service) else {
            continue;
        };
        for count in &part.keys {
            keyed.key_loads.add(count.key, count.requests);
        }
        part.servers.iter().for_each(|time| keyed.service_times.record(time));
    }
}

/// Handles a message that has arrived from another router.
pub(crate) fn handle_peer_message(shell: &Rc<ShellState>, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::Relay(order) => fan_out::handle_relay_order(shell, from, order),
        PeerMessage::Relayed(message) => fan_out::handle_relayed(shell, from, &message),
        message => handle_message(shell, BootClock.now(), from, from, message),
    }
}

/// Handles a message of the router at `origin` that arrived from `from`, the origin or a relay.
/// Requests for what is missing go to the latter.
pub(super) fn handle_message(
    shell: &Rc<ShellState>,
    now: Time,
    from: SocketAddr,
    origin: SocketAddr,
    message: PeerMessage,
) {
    match message {
        PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(shell, now, from, origin, &heartbeat),
        PeerMessage::OwnerChanges(service, changes) => {
            if !shell.router.borrow_mut().apply_owner_changes(service, &changes) {
                shell.peer_socket.send(&[from], &PeerMessage::RequestOwners(service));
            }
        }
        PeerMessage::Owners(owners) => {
            shell.router.borrow_mut().add_owners_part(owners);
        }
        PeerMessage::Report(report) => apply_report(shell, now, &report),
        PeerMessage::Servers(update) => server_updates::handle_update(shell, from, update),
        PeerMessage::IdentifiedServers(servers) => {
            server_updates::handle_identified(shell, servers);
        }
        PeerMessage::RequestIdentified(names) => {
            server_updates::send_identified(shell, from, &names);
        }
        PeerMessage::Crashes(crashes) => {
            let mut router = shell.router.borrow_mut();
            crashes.into_iter().for_each(|crash| router.record_crash(now, crash));
        }
        PeerMessage::RateLimits(notices) => {
            for notice in &notices {
                if shell.router.borrow_mut().apply_rate_limit(now, notice) {
                    log_rate_limit(notice, "router");
                }
            }
        }
        PeerMessage::ServerNotices(notices) => server_notices::apply(shell, &notices),
        PeerMessage::RequestPermit(number, request) => {
            permits::handle_request(shell, from, number, &request);
        }
        PeerMessage::Permit(number, permit) => permits::handle_answer(shell, number, permit),
        PeerMessage::RequestVouch(stamp) => freshness::handle_request(shell, now, from, stamp),
        PeerMessage::Vouch(vouch) => freshness::handle_vouch(shell, &vouch),
        PeerMessage::AccountUsage(usage) => quotas::handle_usage(shell, now, &usage),
        PeerMessage::QuotaShares(shares) => quotas::handle_shares(shell, now, &shares),
        PeerMessage::OverloadReport(report) => overload::record_report(shell, &report),
        PeerMessage::OverloadLevels(levels) => overload::handle_levels(shell, now, &levels),
        PeerMessage::RequestServers => server_updates::send_all_servers(shell, from),
        PeerMessage::RequestDirect => fan_out::record_direct_request(shell, now, from),
        PeerMessage::RequestHosts => hosts::send_hosts(shell, from),
        PeerMessage::Hosts(hosts) => {
            if shell.granter_role.borrow().term().is_none() {
                hosts::handle_hosts(shell, hosts);
            }
        }
        PeerMessage::KeyLimits(service, limits) => {
            shell.router.borrow_mut().set_key_limits(now, service, limits);
        }
        PeerMessage::Occupancies(service, servers) => {
            limits::record_occupancies(shell, now, service, &servers);
        }
        PeerMessage::OwnerLimits(service, limits) => {
            shell.router.borrow_mut().set_owner_limits(now, service, limits);
        }
        PeerMessage::EndedHolds(ended) => {
            // A delayed one of an earlier granter does not replace that of the last.
            let known = &mut shell.granter_role.borrow_mut().ended_holds;
            if known.as_ref().is_none_or(|known| known.term <= ended.term) {
                *known = Some(ended);
            }
        }
        PeerMessage::CapacityReport(samples) => capacities::apply_samples(shell, now, &samples),
        PeerMessage::ServerCapacities(updates) => {
            shell.router.borrow_mut().apply_capacities(now, &updates);
        }
        PeerMessage::Config(part) => config_updates::handle_part(shell, part),
        // A message inside a relayed one is decoded and checked there.
        PeerMessage::Relay(_) | PeerMessage::Relayed(_) => {}
        // The next heartbeat, through a relay if there are any, repeats the request there.
        PeerMessage::RequestOwners(_)
            if shell.granter_role.borrow().term().is_some()
                && !publishing::may_publish(shell, now) => {}
        PeerMessage::RequestOwners(service) => {
            let parts = shell.router.borrow().owners(service).map(|all| all.split(RANGES_PER_PART));
            let parts = parts.unwrap_or_default();
            let count = parts.len() as u16;
            let message = |(index, owners)| {
                PeerMessage::Owners(ServiceOwners { service, part: (index, count), owners })
            };
            let messages: Vec<PeerMessage> = (0..).zip(parts).map(message).collect();
            publishing::send_parts(shell, now, Document::Owners(service), from, &messages);
        }
    }
}

/// Applies a heartbeat of a granter and requests what this router has missed. A heartbeat of an
/// earlier term is ignored.
fn handle_heartbeat(
    shell: &Rc<ShellState>,
    now: Time,
    from: SocketAddr,
    origin: SocketAddr,
    heartbeat: &Heartbeat,
) {
    let previous_term = shell.granter_role.borrow().term();
    let last_known = shell.granter_role.borrow().leadership.known_term();
    if heartbeat.term < last_known {
        return;
    }
    if heartbeat.term > last_known && last_known > Term(0) {
        send_earlier_term(shell, origin, last_known);
    }
    {
        let role = &mut *shell.granter_role.borrow_mut();
        let unconfirmed = Duration::from_millis(u64::from(heartbeat.unconfirmed_ms));
        role.leadership.handle_heartbeat(now, heartbeat.term, heartbeat.renewal, unconfirmed);
        let changed = role.leader.is_none_or(|(_, term)| term != heartbeat.term);
        if changed {
            log::info!(host:% = heartbeat.host, term = heartbeat.term.0; "granter changed");
        }
        role.leader = Some((origin, heartbeat.term));
        role.last_heartbeat = Some(ReceivedHeartbeat { at: now, from, via_relay: from != origin });
    }
    handle_role_change(shell, previous_term);
    if let Some(state) = &heartbeat.feed_state {
        let mut feed = shell.granter_feed.borrow_mut();
        if feed.handle_heartbeat(now, heartbeat.term, state.clone()) {
            shell.peer_socket.send(&[from], &PeerMessage::RequestServers);
        }
        if feed.state(now).is_some() {
            let zones = state.zones_out.iter().copied().collect();
            update_zones_out(shell, now, zones);
        }
    }
    // An older relay doesn't know the request.
    server_updates::request_identified(shell, origin);
    let host_count = heartbeat.feed_state.as_ref().map(|state| state.host_count as usize);
    let misses_hosts = host_count.is_some_and(|count| count != shell.router_hosts.borrow().len());
    if misses_hosts && shell.granter_role.borrow().term().is_none() {
        shell.peer_socket.send(&[from], &PeerMessage::RequestHosts);
    }
    let mut router = shell.router.borrow_mut();
    let hosts: Vec<HostName> = shell.router_hosts.borrow().keys().copied().collect();
    router.set_hosts(now, hosts, heartbeat.routers);
    for (service, sequence) in &heartbeat.owner_sequences {
        let known = router.owners(*service).map(bay_router::OwnerMap::version);
        if known.is_some_and(|known| known < (heartbeat.term, *sequence)) {
            shell.peer_socket.send(&[from], &PeerMessage::RequestOwners(*service));
        }
    }
}

/// Replaces the zones that are out of service with those of the granter.
fn update_zones_out(shell: &ShellState, now: Time, zones: BTreeSet<ZoneName>) {
    let mut router = shell.router.borrow_mut();
    if *router.directory().zones_out() != zones {
        log::info!(zones:? = zones; "zones out");
        router.set_zones_out(now, zones);
    }
}
