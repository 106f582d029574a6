use std::net::SocketAddr;
use std::rc::Rc;

use bay_range::ServerOccupancy;
use bay_router::PeerMessage;
use bay_time::Time;
use bay_types::ServiceName;

use super::{KeyedService, ShellState, fan_out};

/// Sends the granter the numbers of requests that servers have told this router, if there are any. The
/// granter records its own directly.
pub(super) fn send_occupancies(shell: &Rc<ShellState>, now: Time, leader: Option<SocketAddr>) {
    for (service, servers) in shell.router.borrow_mut().drain_occupancies() {
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

/// Applies the limits of overloaded owners and sends them to the other routers; empty ones once.
pub(super) fn send_limits(shell: &Rc<ShellState>, now: Time) {
    let services = shell.router.borrow().keyed_services();
    let routers = shell.router.borrow().router_count();
    for service in services {
        let candidates = shell.router.borrow().candidates(now, service);
        let limits = {
            let role = &mut *shell.granter_role.borrow_mut();
            let Some(keyed) = role.services.get_mut(&service) else {
                continue;
            };
            let candidates = keyed.add_service_times(candidates);
            let Some(granter) = &keyed.granter else {
                continue;
            };
            let KeyedService { owner_limits, key_loads, .. } = keyed;
            let limits = granter.owner_limits(now, owner_limits, &candidates, key_loads, routers);
            if limits.is_empty() && !keyed.has_owner_limits {
                continue;
            }
            keyed.has_owner_limits = !limits.is_empty();
            limits
        };
        log::info!(service:% = service, owners = limits.len(),
            first:? = limits.first().map(|limit| (limit.server, limit.share)); "owner limits");
        shell.router.borrow_mut().set_owner_limits(now, service, limits.clone());
        fan_out::fan_out(shell, &PeerMessage::OwnerLimits(service, limits));
    }
}
