use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use bay_time::Time;

use crate::fallback::Fallback;
use crate::window_count::WindowCount;
use crate::{AccountId, AccountShare, AccountUsage, QuotaLimit, QuotaShares, UsageEntry};

/// Adds up the use of accounts by all routers, and computes the shares of those near their limit.
#[derive(Debug)]
pub struct QuotaLedger {
    term: u64,
    started_at: Time,
    window: Duration,
    accounts: HashMap<AccountId, LedgerAccount>,
    /// Routers by the hash of their name.
    routers: HashMap<u32, LedgerRouter>,
    sequence: u32,
    /// Whether an account has come near its limit since the last shares.
    is_due: bool,
}

#[derive(Debug)]
struct LedgerAccount {
    limit: QuotaLimit,
    /// Whether the configuration limits the account. The use of one that was limited is kept while it
    /// is in the window, as a later configuration may limit the account again.
    is_limited: bool,
    admitted: WindowCount,
    /// Requests per second that the routers admitted and refused by the last report of each.
    rates: Rates,
    is_near: bool,
}

/// What a router has reported.
#[derive(Debug)]
struct LedgerRouter {
    incarnation: u32,
    sent_ms: u64,
    reported_at: Option<Time>,
    accounts: HashMap<AccountId, ReportedUse>,
}

#[derive(Debug, Clone, Copy)]
struct ReportedUse {
    at: Time,
    admitted: u32,
    refused: u32,
    in_window: u32,
    rates: Rates,
}

/// Requests per second.
#[derive(Debug, Default, Clone, Copy)]
struct Rates {
    admitted: f64,
    refused: f64,
}

impl QuotaLedger {
    /// Maximum number of accounts in a message. With 13 bytes each it fits into a datagram.
    pub const MAX_SHARES: usize = 2_000;
    /// Time for which shares are valid. At 250 ms between two messages, one may be lost or late.
    const VALIDITY: Duration = Duration::from_millis(600);
    /// Time without a report after which a router is taken to go by its own bounds.
    const SILENCE: Duration = Duration::from_millis(900);
    /// Time after which a new granter stops waiting for routers that have not reported.
    const MAX_START_TIME: Duration = Duration::from_millis(1_000);
    /// Mean age of what the reports tell.
    const REPORT_AGE: Duration = Duration::from_millis(300);
    /// Times after the arrival of shares at which the use may not exceed the target.
    const HORIZONS: [Duration; 3] =
        [Duration::from_millis(250), Duration::from_millis(500), Duration::from_millis(900)];
    /// Mean time from a router's report or the granter's message until it arrives.
    const TRANSIT: Duration = Duration::from_millis(150);
    /// Shortest time between two reports, in seconds, by which rates are computed.
    const MIN_REPORT_GAP: f64 = 0.05;
    /// Part of the overshoot and slack up to which accounts may go.
    const TARGET: f64 = 0.35;
    /// Use of routers that have not reported in this term, relative to an equal part. They may have
    /// more of the callers' connections than the others.
    const UNKNOWN_USE: f64 = 1.8;
    /// Part of [`Fallback::NEAR`] below which an account is no longer near its limit.
    const LEAVE: f64 = 0.9;

    /// Creates the ledger of a granter at the start of its term.
    pub fn new(now: Time, term: u64, window: Duration) -> QuotaLedger {
        QuotaLedger {
            term,
            started_at: now,
            window,
            accounts: HashMap::new(),
            routers: HashMap::new(),
            sequence: 0,
            is_due: false,
        }
    }

    /// Returns the term of the granter.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Replaces the length of the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window;
    }

    /// Replaces the limits; accounts that are left out have none. The use in the window is kept.
    pub fn set_limits<I>(&mut self, limits: I)
    where
        I: IntoIterator<Item = (AccountId, QuotaLimit)>,
    {
        self.accounts.values_mut().for_each(|account| account.is_limited = false);
        for (id, limit) in limits {
            let account = self.accounts.entry(id).or_insert_with(|| LedgerAccount {
                limit,
                is_limited: true,
                admitted: WindowCount::default(),
                rates: Rates::default(),
                is_near: false,
            });
            (account.limit, account.is_limited) = (limit, true);
        }
    }

    /// Replaces the registered routers. One that is no longer registered, or not yet, is kept while
    /// its requests are in the window.
    pub fn set_routers(&mut self, now: Time, routers: &BTreeSet<u32>) {
        let window = self.window;
        self.routers.retain(|router, state| {
            let is_recent = state.reported_at.is_some_and(|at| now.since(at) <= window);
            routers.contains(router) || is_recent
        });
        for router in routers {
            self.routers.entry(*router).or_insert_with(LedgerRouter::unknown);
        }
    }

    /// Records a router's report. One that is older than another one, or for another term, has no
    /// effect.
    pub fn record_usage(&mut self, now: Time, usage: &AccountUsage) {
        if usage.term != self.term {
            return;
        }
        let router = self.routers.entry(usage.router).or_insert_with(LedgerRouter::unknown);
        let is_same_process =
            router.reported_at.is_some() && router.incarnation == usage.incarnation;
        if is_same_process && usage.sent_ms <= router.sent_ms {
            return;
        }
        let earliest = now - self.window;
        let since = match router.reported_at {
            Some(_) if is_same_process => {
                let gap = Duration::from_millis(usage.sent_ms - router.sent_ms);
                now - gap.min(self.window)
            }
            Some(at) => at.max(earliest),
            None => earliest,
        };
        let seconds = now.since(since).as_secs_f64().max(QuotaLedger::MIN_REPORT_GAP);
        // Accounts that the report does not name have no requests since the last one.
        for (id, reported) in &mut router.accounts {
            if let Some(account) = self.accounts.get_mut(id) {
                account.rates.remove(std::mem::take(&mut reported.rates));
            }
        }
        if !is_same_process {
            router.accounts.clear();
        }
        router.incarnation = usage.incarnation;
        router.sent_ms = usage.sent_ms;
        router.reported_at = Some(now);
        for entry in &usage.entries {
            // Totals go back only by refunds of what was in the window, unless the router has begun
            // to count again.
            let earlier = router.accounts.get(&entry.account).filter(|earlier| {
                let refunded = earlier.admitted.wrapping_sub(entry.admitted) as i32;
                i64::from(refunded) <= i64::from(earlier.in_window)
            });
            // A negative difference is a refund. Without an earlier total, the whole window counts.
            let difference =
                |total: u32, earlier: u32| f64::from(total.wrapping_sub(earlier) as i32);
            let (admitted, refused) = match earlier {
                Some(earlier) => (
                    difference(entry.admitted, earlier.admitted),
                    difference(entry.refused, earlier.refused),
                ),
                None => (f64::from(entry.in_window), 0.0),
            };
            let has_history = earlier.is_none() && !entry.history.is_empty();
            let rates = Rates {
                admitted: admitted.max(0.0) / seconds,
                refused: refused.max(0.0) / seconds,
            };
            let UsageEntry { admitted: total, refused: refused_total, in_window, .. } = *entry;
            let reported =
                ReportedUse { at: now, admitted: total, refused: refused_total, in_window, rates };
            router.accounts.insert(entry.account, reported);
            let Some(account) = self.accounts.get_mut(&entry.account) else {
                continue;
            };
            match has_history {
                true => account.add_history(now, self.window, &entry.history),
                false => account.admitted.spread(since, now, admitted),
            }
            account.rates.add(rates);
            let was_near = account.is_near;
            account.update_near(now, self.window);
            self.is_due |= account.is_limited && account.is_near && !was_near;
        }
    }

    /// Returns whether shares should be sent before the next heartbeat.
    pub fn is_due(&self) -> bool {
        self.is_due
    }

    /// Returns the shares to send, `None` while too few routers have reported to a new granter.
    pub fn shares(&mut self, now: Time) -> Option<QuotaShares> {
        let known = self.routers.values().filter(|router| !router.is_silent(now)).count();
        let has_most = known * 10 >= self.routers.len() * 9;
        if !has_most && now.since(self.started_at) < QuotaLedger::MAX_START_TIME {
            return None;
        }
        self.is_due = false;
        self.sequence += 1;
        let routers = self.routers.len().max(1) as u32;
        let silent: Vec<&LedgerRouter> =
            self.routers.values().filter(|router| router.is_silent(now)).collect();
        let mut entries = Vec::new();
        let window = self.window;
        self.accounts
            .retain(|_, account| account.is_limited || account.admitted.count(now, window) >= 1.0);
        for (id, account) in &mut self.accounts {
            account.update_near(now, self.window);
            if !account.is_limited || !account.is_near {
                continue;
            }
            let fallback = Fallback::new(&account.limit, 0.0, routers);
            let reserved =
                silent.iter().map(|router| router.reserve(now, *id, &fallback, self.window));
            let reserved: f64 = reserved.sum();
            entries.push(account.share(now, *id, self.window, reserved));
        }
        // Accounts that all routers admit freely are left out first.
        if entries.len() > QuotaLedger::MAX_SHARES {
            entries.sort_unstable_by_key(|entry: &AccountShare| entry.share);
            entries.truncate(QuotaLedger::MAX_SHARES);
        }
        entries.sort_unstable_by_key(|entry| entry.account);
        Some(QuotaShares {
            term: self.term,
            sequence: self.sequence,
            routers,
            valid_ms: QuotaLedger::VALIDITY.as_millis() as u16,
            entries,
        })
    }
}

impl LedgerAccount {
    /// Updates whether the account is near its limit.
    fn update_near(&mut self, now: Time, window: Duration) {
        let leave = if self.is_near { QuotaLedger::LEAVE } else { 1.0 };
        let used = self.expected_use(now, window);
        self.is_near = used >= self.limit.requests * Fallback::NEAR * leave;
    }

    /// Adds the requests of a router's window. Those of a part count at its end: counted earlier, they
    /// would leave the window before they have in fact.
    fn add_history(&mut self, now: Time, window: Duration, history: &[u32]) {
        let part = window / history.len() as u32;
        for (parts_left, count) in (0..history.len() as u32).rev().zip(history) {
            if *count > 0 {
                self.admitted.add(now - part * parts_left, f64::from(*count));
            }
        }
    }

    /// Returns the requests of the window, with those that have not been reported yet.
    fn expected_use(&mut self, now: Time, window: Duration) -> f64 {
        let unreported = self.rates.admitted * QuotaLedger::REPORT_AGE.as_secs_f64();
        self.admitted.count(now, window) + unreported
    }

    /// Computes the share with which the use reaches the target at the horizon. `reserved` is the use
    /// of routers that cannot be told of it.
    fn share(
        &mut self,
        now: Time,
        account: AccountId,
        window: Duration,
        reserved: f64,
    ) -> AccountShare {
        let QuotaLimit { requests, bound } = self.limit;
        let target = requests + (bound - requests) * QuotaLedger::TARGET - reserved;
        let used = self.expected_use(now, window);
        let until_arrival = self.rates.admitted * QuotaLedger::TRANSIT.as_secs_f64();
        let oldest = now - window;
        let used = used + until_arrival;
        // Requests that leave the window late make no room for earlier ones.
        let per_second = QuotaLedger::HORIZONS.map(|horizon| {
            let leaving = self.admitted.between(oldest, oldest + horizon);
            (target - used + leaving).max(0.0) / horizon.as_secs_f64()
        });
        let per_second = per_second.into_iter().fold(f64::MAX, f64::min);
        let offered = self.rates.admitted + self.rates.refused;
        let part = if offered > per_second { per_second / offered } else { 1.0 };
        AccountShare {
            account,
            share: (part * f64::from(AccountShare::ALL)).round() as u16,
            used: used.round() as u32,
        }
    }
}

impl LedgerRouter {
    /// Creates a router that has not reported.
    fn unknown() -> LedgerRouter {
        LedgerRouter { incarnation: 0, sent_ms: 0, reported_at: None, accounts: HashMap::new() }
    }

    /// Returns whether the router may not know the shares.
    fn is_silent(&self, now: Time) -> bool {
        self.reported_at.is_none_or(|at| now.since(at) > QuotaLedger::SILENCE)
    }

    /// Returns the use of a silent router that has not been reported, at most its bound.
    fn reserve(&self, now: Time, account: AccountId, fallback: &Fallback, window: Duration) -> f64 {
        let reported = self.accounts.get(&account).filter(|use_| now.since(use_.at) < window * 2);
        let bound = match self.reported_at {
            Some(_) => fallback.bound(reported.map_or(0.0, |use_| f64::from(use_.in_window))),
            None => fallback.equal / Fallback::EQUAL * QuotaLedger::UNKNOWN_USE,
        };
        let silent = self.reported_at.map_or(window, |at| now.since(at));
        bound * (silent.as_secs_f64() / window.as_secs_f64()).min(1.0)
    }
}

impl Rates {
    fn add(&mut self, other: Rates) {
        self.admitted += other.admitted;
        self.refused += other.refused;
    }

    fn remove(&mut self, other: Rates) {
        self.admitted = (self.admitted - other.admitted).max(0.0);
        self.refused = (self.refused - other.refused).max(0.0);
    }
}
