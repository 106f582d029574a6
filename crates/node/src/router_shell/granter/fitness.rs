use bay_range::{Fitness, Granter};
use bay_time::Time;

use super::ShellState;
use crate::router_shell::shell_state::Phase;

/// Tells the election what this router knows about itself, and that the store answers again after an
/// outage or was restored from a copy.
pub(super) fn update_fitness(shell: &ShellState, now: Time) {
    let recovered_at = shell.store.recovered_at();
    let role = &mut *shell.granter_role.borrow_mut();
    role.leadership.record_store_era(now, shell.store.told_era());
    let restorations = shell.store.restorations();
    if std::mem::replace(&mut role.seen_restorations, restorations) != restorations {
        // The record and the tables are written again.
        role.leadership.record_store_recovery(now);
        let granters = role.services.values_mut().filter_map(|keyed| keyed.granter.as_mut());
        granters.for_each(Granter::record_store_restored);
    }
    if std::mem::replace(&mut role.store_recovered_at, recovered_at) != recovered_at {
        role.leadership.record_store_recovery(now);
    }
    let router = shell.router.borrow();
    let fitness = Fitness {
        is_zone_out: router.directory().zones_out().contains(&shell.settings.zone),
        is_zone_unknown: are_zones_unknown(shell)
            && shell.granter_feed.borrow().state(now).is_none(),
        is_stopping: shell.phase.get() != Phase::Serving,
        is_store_lost: shell.store.is_lost(),
        is_cut_off: router.is_cut_off(),
        ..Fitness::of_size(shell.settings.relative_size())
    };
    role.leadership.set_fitness(fitness, role.spread);
}

/// Returns whether this router has not read the zones that are out of service since the store was lost.
pub(crate) fn are_zones_unknown(shell: &ShellState) -> bool {
    let publisher = shell.feed_publisher.borrow();
    let recovered_at = shell.store.recovered_at();
    shell.store.is_lost() || recovered_at.is_some_and(|at| !publisher.has_read_zones_since(at))
}
