use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bay_admission::{LevelLedger, OverloadLevels, OverloadReport};
use bay_router::PeerMessage;
use bay_time::Time;
use bay_types::{ServiceName, Term};

use super::granter;
use super::shell_state::ShellState;

/// Interval between reports of the counts by service and rank.
const REPORT_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between messages of the granter with the shares to admit.
const LEVELS_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between logs of the shares, per service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Size of a fleet in which all routers report in each interval.
///
/// In larger ones they take turns, so that the granter's load is bounded. Only ratios of the counts
/// matter, and each router sees more requests there.
const FULL_REPORTING: u32 = 96;

/// Least number of routers that report in each interval.
const MIN_REPORTERS: u32 = 32;

/// State of the admission by rank outside of the router's decisions.
#[derive(Debug, Default)]
pub(crate) struct OverloadState {
    next_report_at: Time,
    next_levels_at: Time,
    /// Number of reports that were due, by which routers take turns.
    turn: u32,
    /// Counts of all routers with the term to which they belong, if this process is the granter.
    ledger: Option<(Term, LevelLedger)>,
    /// When the shares of a service are logged next; a service is listed while shares are limited.
    next_log_at: BTreeMap<ServiceName, Time>,
}

/// Sends this router's report, and the shares to admit if it is the granter, as far as they are due.
pub(crate) fn run_step(shell: &ShellState, now: Time, leader: Option<SocketAddr>) {
    if !shell.settings.overload_control {
        return;
    }
    send_report(shell, now, leader);
    if let Some(term) = granter::granter_term(shell) {
        send_levels(shell, now, term);
    }
}

fn send_report(shell: &ShellState, now: Time, leader: Option<SocketAddr>) {
    {
        let state = &mut *shell.overload.borrow_mut();
        if now < state.next_report_at {
            return;
        }
        state.next_report_at = now + REPORT_INTERVAL;
        state.turn = state.turn.wrapping_add(1);
    }
    let Some(report) = shell.router.borrow_mut().drain_overload_report(now) else {
        return;
    };
    if granter::granter_term(shell).is_some() {
        record_report(shell, &report);
    } else if let Some(leader) = leader
        && has_turn(shell)
    {
        shell.peer_socket.send(&[leader], &PeerMessage::OverloadReport(report));
    }
}

/// Returns whether this router is among those that report in this interval.
fn has_turn(shell: &ShellState) -> bool {
    let routers = shell.router.borrow().router_count().max(1);
    let reporters = (FULL_REPORTING * FULL_REPORTING / routers).max(MIN_REPORTERS);
    let groups = routers.div_ceil(reporters);
    let own = shell.router_hosts.borrow().keys().position(|host| *host == shell.settings.host);
    let own = own.unwrap_or_default() as u32;
    shell.overload.borrow().turn.wrapping_add(own).is_multiple_of(groups)
}

/// Adds a router's report to the counts, if this process is the granter.
pub(crate) fn record_report(shell: &ShellState, report: &OverloadReport) {
    let Some(term) = granter::granter_term(shell).filter(|_| shell.settings.overload_control)
    else {
        return;
    };
    with_ledger(&shell.overload, term, |ledger| ledger.record(report));
}

/// Runs `work` on the counts of a term; those of an earlier one are dropped.
fn with_ledger<T, F>(state: &RefCell<OverloadState>, term: Term, work: F) -> T
where
    F: FnOnce(&mut LevelLedger) -> T,
{
    let state = &mut *state.borrow_mut();
    let kept = state.ledger.take().filter(|(known, _)| *known == term);
    let (_, ledger) = state.ledger.insert(kept.unwrap_or_else(|| (term, LevelLedger::default())));
    work(ledger)
}

fn send_levels(shell: &ShellState, now: Time, term: Term) {
    {
        let state = &mut *shell.overload.borrow_mut();
        if now < state.next_levels_at {
            return;
        }
        state.next_levels_at = now + LEVELS_INTERVAL;
    }
    let levels = with_ledger(&shell.overload, term, |ledger| ledger.levels(now, term));
    let Some(levels) = levels else {
        return;
    };
    log_levels(shell, now, &levels);
    shell.router.borrow_mut().apply_overload_levels(now, &levels);
    granter::fan_out(shell, &PeerMessage::OverloadLevels(levels));
}

/// Logs the shares of services that are short of capacity, and the end of a shortage.
fn log_levels(shell: &ShellState, now: Time, levels: &OverloadLevels) {
    let next_log_at = &mut shell.overload.borrow_mut().next_log_at;
    for level in &levels.services {
        let due = next_log_at.get(&level.service).is_none_or(|at| now >= *at);
        let was_short = next_log_at.contains_key(&level.service);
        match level.shares.is_empty() {
            false if due => {
                next_log_at.insert(level.service, now + LOG_INTERVAL);
                let shares: Vec<(u8, f32)> =
                    level.shares.iter().map(|each| (each.rank, each.share)).collect();
                log::info!(service:% = level.service, shares:? = shares; "service is short of capacity");
            }
            true if was_short => {
                next_log_at.remove(&level.service);
                log::info!(service:% = level.service; "service has enough capacity again");
            }
            _ => {}
        }
    }
}

/// Applies the granter's shares.
pub(crate) fn handle_levels(shell: &ShellState, now: Time, levels: &OverloadLevels) {
    if granter::granter_term(shell).is_none()
        && shell.router.borrow_mut().apply_overload_levels(now, levels)
    {
        shell.counters.add("overload.levels-applied", 1);
    }
}

/// Writes the shares in force, in thousandths, and the refusals by rank and reason.
pub(crate) fn write_metrics<F>(shell: &ShellState, now: Time, mut write_metric: F)
where
    F: FnMut(&str, u64),
{
    let router = shell.router.borrow();
    for (service, shares) in router.admitted_shares(now) {
        for each in shares {
            let name = format!("admitted.{service}.rank{}_permille", each.rank);
            write_metric(&name, (each.share * 1000.0) as u64);
        }
    }
    for ((reason, rank), count) in router.overload_refusals() {
        write_metric(&format!("overload.refused.{}.rank{rank}", reason.as_str()), *count);
    }
}
