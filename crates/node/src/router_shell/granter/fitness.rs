use bay_range::Fitness;
use bay_time::Time;

use super::ShellState;
use crate::router_shell::shell_state::Phase;

/// Tells the election what this router knows about itself, and that the store answers again after an
/// outage.
pub(super) fn update_fitness(shell: &ShellState, now: Time) {
    let is_store_lost = shell.store.is_lost();
    let role = &mut *shell.granter_role.borrow_mut();
    if std::mem::replace(&mut role.was_store_lost, is_store_lost) && !is_store_lost {
        role.store_recovered_at = Some(now);
        role.leadership.record_store_recovery(now);
    }
    let router = shell.router.borrow();
    let publisher = shell.feed_publisher.borrow();
    let zones_are_known =
        role.store_recovered_at.is_none_or(|at| publisher.has_read_zones_since(at))
            || shell.granter_feed.borrow().state(now).is_some();
    let fitness = Fitness {
        is_zone_out: router.directory().zones_out().contains(&shell.settings.zone),
        is_zone_unknown: !zones_are_known,
        is_stopping: shell.phase.get() != Phase::Serving,
        is_store_lost,
        is_cut_off: router.is_cut_off(),
        ..Fitness::of_size(shell.settings.relative_size())
    };
    role.leadership.set_fitness(fitness, role.spread);
}
