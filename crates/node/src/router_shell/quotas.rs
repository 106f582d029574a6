use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bay_quota::{AccountUsage, QuotaLedger, QuotaShares};
use bay_router::{PeerMessage, QuotaBounds, Router};
use bay_time::{BootClock, Clock, Time};

use super::granter;
use super::shell_state::ShellState;

/// Shortest time between two messages that are sent before they are due.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between reports during a planned stop, in addition to [`MIN_URGENT_INTERVAL`].
const STOP_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between logs of the accounts near their quota.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of accounts logged per interval.
const MAX_LOGGED_ACCOUNTS: usize = 8;

/// Messages about the quotas of accounts: those of this router and those of the granter.
#[derive(Debug, Default)]
pub(crate) struct Quotas {
    /// Use of all routers; `None` unless this router is the granter and has enforced quotas in its
    /// term.
    ledger: Option<QuotaLedger>,
    /// Version of the configuration and bounds whose limits the ledger has.
    ledger_limits: Option<(u64, Option<QuotaBounds>)>,
    next_shares_at: Time,
    next_usage_at: Time,
    /// Term of the granter to which this router has last reported.
    reported_term: u64,
    next_log_at: Time,
}

/// Reports this router's use of accounts to the granter, with its regular report.
pub(crate) fn send_usage(shell: &Rc<ShellState>, now: Time) {
    let Some((leader, term)) = granter::leader(shell) else {
        return;
    };
    let Some(usage) = shell.router.borrow_mut().drain_account_usage(now, term.0) else {
        return;
    };
    {
        let quotas = &mut *shell.quotas.borrow_mut();
        quotas.next_usage_at = now + MIN_URGENT_INTERVAL;
        quotas.reported_term = term.0;
    }
    match leader {
        Some(address) => {
            shell.peer_socket.send(&[address], &PeerMessage::AccountUsage(usage));
        }
        None => handle_usage(shell, now, &usage),
    }
}

/// Reports the use of accounts at once if one has used up what it may use without a report, or if
/// the granter has changed.
pub(crate) fn send_urgent_usage(shell: &Rc<ShellState>, now: Time) {
    if now < shell.quotas.borrow().next_usage_at {
        return;
    }
    let reported_term = shell.quotas.borrow().reported_term;
    let is_due = {
        let mut router = shell.router.borrow_mut();
        router.has_quotas()
            && (router.take_usage_report_due()
                || granter::leader(shell).is_some_and(|(_, term)| term.0 != reported_term))
    };
    if is_due {
        send_usage(shell, now);
    }
}

/// Reports the use of accounts during a planned stop, in which the router sends no other reports but
/// still serves requests.
pub(crate) fn send_usage_while_stopping(shell: &Rc<ShellState>, now: Time) {
    let is_due = now >= shell.quotas.borrow().next_usage_at + STOP_INTERVAL;
    if is_due && shell.router.borrow().has_quotas() {
        send_usage(shell, now);
    }
}

/// Records the use that a router reports, if this router is the granter.
pub(crate) fn handle_usage(shell: &Rc<ShellState>, now: Time, usage: &AccountUsage) {
    update_ledger(shell, now);
    let is_due = {
        let quotas = &mut *shell.quotas.borrow_mut();
        let Some(ledger) = &mut quotas.ledger else {
            return;
        };
        ledger.record_usage(now, usage);
        ledger.is_due() && now >= quotas.next_shares_at
    };
    if is_due {
        send_shares(shell, now);
    }
}

/// Sends the shares of accounts near their quota to all routers, with the granter's heartbeat.
pub(crate) fn send_shares(shell: &Rc<ShellState>, now: Time) {
    update_ledger(shell, now);
    if !shell.router.borrow().has_quotas() {
        return;
    }
    let shares = {
        let quotas = &mut *shell.quotas.borrow_mut();
        let Some(ledger) = &mut quotas.ledger else {
            return;
        };
        let hosts = shell.router_hosts.borrow();
        let own = std::iter::once(shell.settings.host);
        let hosts = hosts.keys().copied().chain(own);
        let routers: BTreeSet<u32> = hosts.map(|host| Router::quota_id(host.as_str())).collect();
        ledger.set_routers(now, &routers);
        quotas.next_shares_at = now + MIN_URGENT_INTERVAL;
        let Some(shares) = ledger.shares(now) else {
            return;
        };
        quotas.next_shares_at = now + shares.min_interval();
        if now >= quotas.next_log_at && !shares.entries.is_empty() {
            quotas.next_log_at = now + LOG_INTERVAL;
            log_shares(shell, &shares);
        }
        shares
    };
    shell.router.borrow_mut().apply_quota_shares(now, &shares);
    granter::fan_out(shell, &PeerMessage::QuotaShares(shares));
}

/// Applies the granter's shares.
pub(crate) fn handle_shares(shell: &ShellState, now: Time, shares: &QuotaShares) {
    shell.router.borrow_mut().apply_quota_shares(now, shares);
}

/// Creates the granter's ledger in its term, drops it at the end, and takes over the limits of a new
/// configuration or new bounds.
///
/// A configuration without quotas leaves the ledger as it is: a second one of the same term would
/// number its shares from the start, and routers ignore numbers that they have seen.
fn update_ledger(shell: &ShellState, now: Time) {
    let term = granter::granter_term(shell);
    let quotas = &mut *shell.quotas.borrow_mut();
    let version = shell.config_version();
    let is_current = quotas.ledger.as_ref().map(QuotaLedger::term) == term.map(|term| term.0);
    if !is_current {
        quotas.ledger = None;
    }
    let Some(term) = term else {
        return;
    };
    let router = shell.router.borrow();
    let in_force = Some((version, router.quota_bounds()));
    if quotas.ledger.is_some() && quotas.ledger_limits == in_force {
        return;
    }
    match router.quota_limits() {
        Some((bounds, limits)) => {
            let fresh = || QuotaLedger::new(now, term.0, bounds.window);
            let ledger = quotas.ledger.get_or_insert_with(fresh);
            ledger.set_window(bounds.window);
            ledger.set_limits(limits);
        }
        None => {
            if let Some(ledger) = &mut quotas.ledger {
                ledger.set_limits([]);
            }
        }
    }
    quotas.ledger_limits = in_force;
}

/// Logs the accounts of which the least is admitted.
fn log_shares(shell: &ShellState, shares: &QuotaShares) {
    let mut limited: Vec<_> =
        shares.entries.iter().filter(|entry| entry.share != bay_quota::AccountShare::ALL).collect();
    limited.sort_unstable_by_key(|entry| entry.share);
    let router = shell.router.borrow();
    let accounts = router.config().and_then(|config| config.accounts.clone());
    for entry in limited.iter().take(MAX_LOGGED_ACCOUNTS) {
        let mut names = accounts.iter().flat_map(|accounts| accounts.iter());
        let is_same = |name: &str| bay_quota::AccountId::new(name) == entry.account;
        let account = names.find(|account| is_same(account.name.as_str()));
        log::info!(
            account = account.map_or("", |account| account.name.as_str()),
            share = entry.part(),
            used = entry.used,
            near = shares.entries.len();
            "account limited by its quota"
        );
    }
}

/// Returns the metrics of quotas: accounts near their limit, and whether the granter's shares are
/// recent.
pub(crate) fn metrics(shell: &ShellState) -> Option<(u64, u64)> {
    let (near, is_recent) = shell.router.borrow().quota_state(BootClock.now())?;
    Some((near as u64, u64::from(is_recent)))
}
