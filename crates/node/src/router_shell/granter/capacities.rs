use std::net::SocketAddr;
use std::rc::Rc;

use bay_capacity::{CapacitySample, ServerCapacity, ServerId};
use bay_router::PeerMessage;
use bay_time::Time;

use super::{ShellState, fan_out};

/// Ratio of a server's base time to its last logged one from which the change is logged.
const LOGGED_RATIO: f64 = 1.8;

/// Maximum number of changes that are logged per heartbeat.
const MAX_LOGGED: usize = 4;

/// Sends the granter this router's samples of servers, if there are any. The granter applies its own
/// directly.
pub(super) fn send_samples(shell: &Rc<ShellState>, now: Time, leader: Option<SocketAddr>) {
    let samples = shell.router.borrow_mut().drain_capacity_samples();
    if samples.is_empty() {
        return;
    }
    if shell.granter_role.borrow().term().is_some() {
        apply_samples(shell, now, &samples);
    } else if let Some(leader) = leader {
        shell.peer_socket.send(&[leader], &PeerMessage::CapacityReport(samples));
    }
}

/// Adds a router's samples to the granter's estimates; ignored by other routers and if overload
/// control is off.
pub(super) fn apply_samples(shell: &ShellState, now: Time, samples: &[CapacitySample]) {
    let role = &mut *shell.granter_role.borrow_mut();
    if shell.settings.learn_capacities && role.term().is_some() {
        samples.iter().for_each(|sample| role.capacities.record(now, sample));
    }
}

/// Applies the granter's changed estimates and sends them to the other routers.
pub(super) fn send_updates(shell: &ShellState, now: Time) {
    if !shell.settings.learn_capacities {
        return;
    }
    let slots = shell.router.borrow().server_slots();
    let updates = {
        let capacities = &mut shell.granter_role.borrow_mut().capacities;
        capacities.set_servers(slots.into_iter());
        capacities.drain_updates()
    };
    if updates.is_empty() {
        return;
    }
    log_changes(shell, now, &updates);
    shell.router.borrow_mut().apply_capacities(now, &updates);
    fan_out::fan_out(shell, &PeerMessage::ServerCapacities(updates));
}

/// Logs large changes, compared with the estimates that this router has applied.
fn log_changes(shell: &ShellState, now: Time, updates: &[ServerCapacity]) {
    let router = shell.router.borrow();
    let mut logged = 0;
    for (name, server) in router.directory().iter() {
        let id = ServerId::new(name);
        let Some(update) = updates.iter().find(|update| update.server == id) else {
            continue;
        };
        let (learned, previous) = (update.learned(), server.learned_capacity(now));
        let ratio = previous.map_or(1.0, |previous| learned.base_ms / previous.base_ms);
        if logged < MAX_LOGGED && !(1.0 / LOGGED_RATIO..LOGGED_RATIO).contains(&ratio) {
            logged += 1;
            log::info!(
                server:% = name,
                service:% = server.entry.service,
                base_ms = learned.base_ms.round() as u64,
                previous_ms = previous.map_or(0, |previous| previous.base_ms.round() as u64),
                concurrency = learned.concurrency;
                "learned capacity of a server changed"
            );
        }
    }
}
