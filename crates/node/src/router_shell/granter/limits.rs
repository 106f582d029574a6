use std::net::SocketAddr;
use std::rc::Rc;

use bay_range::{Candidate, ServerOccupancy};
use bay_router::PeerMessage;
use bay_time::Time;
use bay_types::ServiceName;

use super::{KeyedService, ShellState, fan_out};

/// Sends the granter the numbers of requests that servers have told this router, if there are any. The
/// granter records its own directly.
pub(super) fn send_occupancies(shell: &Rc<ShellState>, now: Time, leader: Option<SocketAddr>) {
    let occupancies = shell.router.borrow_mut().drain_occupancies();
    for (service, servers) in occupancies {
        if shell.granter_role.borrow().term().is_some() {
            record_occupancies(shell, now, service, &servers);
        } else if let Some(leader) = leader {
            shell.peer_socket.send(&[leader], &PeerMessage::Occupancies(service, servers));
        }
    }
}

/// Records what servers have told a router; ignored by other routers than the granter.
pub(super) fn record_occupancies(
    shell: &ShellState,
    now: Time,
    service: ServiceName,
    servers: &[ServerOccupancy],
) {
    let role = &mut *shell.granter_role.borrow_mut();
    if let Some(keyed) = role.services.get_mut(&service) {
        servers.iter().for_each(|report| keyed.owner_limits.record(now, report));
    }
}

/// Applies the limits of overloaded keys and sends them to the other routers; empty ones once.
pub(super) fn send_key_limits(shell: &Rc<ShellState>, now: Time) {
    let update = |keyed: &mut KeyedService, candidates: &[Candidate]| {
        let limits = keyed.granter.as_ref()?.key_limits(now, candidates, &keyed.key_loads);
        let was_limited = std::mem::replace(&mut keyed.has_key_limits, !limits.is_empty());
        (was_limited || keyed.has_key_limits).then_some(limits)
    };
    for (service, limits) in update_services(shell, now, update) {
        log::info!(service:% = service, keys = limits.len(),
            first:? = limits.first().map(|limit| (limit.key, limit.share)); "key limits");
        shell.router.borrow_mut().set_key_limits(now, service, limits.clone());
        fan_out::fan_out(shell, &PeerMessage::KeyLimits(service, limits));
    }
}

/// Applies the limits of overloaded owners and sends them to the other routers; empty ones once.
pub(super) fn send_owner_limits(shell: &Rc<ShellState>, now: Time) {
    let routers = shell.router.borrow().router_count();
    let update = |keyed: &mut KeyedService, candidates: &[Candidate]| {
        let KeyedService { granter, owner_limits, key_loads, .. } = keyed;
        let granter = granter.as_ref()?;
        let limits = granter.owner_limits(now, owner_limits, candidates, key_loads, routers);
        let was_limited = std::mem::replace(&mut keyed.has_owner_limits, !limits.is_empty());
        (was_limited || keyed.has_owner_limits).then_some(limits)
    };
    for (service, limits) in update_services(shell, now, update) {
        log::info!(service:% = service, owners = limits.len(),
            first:? = limits.first().map(|limit| (limit.server, limit.share)); "owner limits");
        shell.router.borrow_mut().set_owner_limits(now, service, limits.clone());
        fan_out::fan_out(shell, &PeerMessage::OwnerLimits(service, limits));
    }
}

/// Updates the limits of each service with keys, and returns those to send.
fn update_services<T, F>(shell: &Rc<ShellState>, now: Time, update: F) -> Vec<(ServiceName, Vec<T>)>
where
    F: Fn(&mut KeyedService, &[Candidate]) -> Option<Vec<T>>,
{
    let router = shell.router.borrow();
    let role = &mut *shell.granter_role.borrow_mut();
    let services = router.keyed_services().into_iter().filter_map(|service| {
        let keyed = role.services.get_mut(&service)?;
        let candidates = keyed.add_service_times(router.candidates(now, service));
        Some((service, update(keyed, &candidates)?))
    });
    services.collect()
}
