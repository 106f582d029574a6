use std::collections::HashMap;
use std::time::Duration;

use bay_time::Time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::local_account::{LocalAccount, Refusal};
use crate::{AccountId, AccountUsage, QuotaLimit, QuotaShares, UsageEntry};

/// Admits the requests of accounts with a quota at one router.
#[derive(Debug)]
pub struct LocalQuota {
    router: u32,
    incarnation: u32,
    window: Duration,
    accounts: HashMap<AccountId, LocalAccount>,
    /// Accounts without a limit whose requests may still be in the window. A later configuration may
    /// limit them again.
    removed: HashMap<AccountId, LocalAccount>,
    routers: u32,
    /// Term and number of the last shares.
    version: (u64, u32),
    /// Until when the last shares are valid.
    valid_until: Time,
    /// Term of the granter to which the last report went, and how many reports went there.
    reported_term: (u64, u32),
    is_report_due: bool,
    /// Account after which the next report begins if the last one was full.
    next_account: Option<AccountId>,
    refusals: u32,
}

impl LocalQuota {
    /// Maximum number of accounts in a report. With 11 bytes each and 0.3 s between reports, a router
    /// sends less than 4 KB/s.
    pub const MAX_ENTRIES: usize = 100;
    /// Reports to a new granter that name all accounts in use, so that one may be lost.
    const FULL_REPORTS: u32 = 2;
    /// Time after which callers may return while a share of the requests is admitted.
    const SHARE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
    /// Shortest time after which callers may return.
    const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

    /// Creates the state of a router that has just started. `router` is the hash of its name.
    pub fn new(router: u32, incarnation: u32, window: Duration, routers: u32) -> LocalQuota {
        LocalQuota {
            router,
            incarnation,
            window,
            accounts: HashMap::new(),
            removed: HashMap::new(),
            routers,
            version: (0, 0),
            valid_until: Time::ZERO,
            reported_term: (0, 0),
            is_report_due: false,
            next_account: None,
            refusals: 0,
        }
    }

    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        self.window
    }

    /// Returns whether any account has a limit.
    pub fn has_limits(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// Raises the number of routers among which the limits are divided. A router that has no shares
    /// yet, or none that counts all routers, would otherwise admit more than its part.
    pub fn raise_routers(&mut self, routers: u32) {
        if routers > self.routers {
            self.routers = routers;
            self.accounts.values_mut().for_each(|account| account.set_routers(routers));
        }
    }

    /// Replaces the limits; accounts that are left out have none. Counts are kept.
    pub fn set_limits<I>(&mut self, limits: I)
    where
        I: IntoIterator<Item = (AccountId, QuotaLimit)>,
    {
        let mut old = std::mem::take(&mut self.removed);
        old.extend(self.accounts.drain());
        for (id, limit) in limits {
            let account = old.remove(&id).map(|mut account| {
                account.set_limit(limit, self.routers);
                account
            });
            let hash = xxh3_64_with_seed(&id.0.to_le_bytes(), u64::from(self.router));
            let rounding = hash as f64 / u64::MAX as f64;
            let fresh = || LocalAccount::new(limit, rounding, self.routers);
            self.accounts.insert(id, account.unwrap_or_else(fresh));
        }
        self.removed = old;
    }

    /// Admits a request and counts it.
    ///
    /// # Errors
    /// Returns the time after which the account has room if the request is refused.
    pub fn admit(&mut self, now: Time, id: AccountId) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(&id) else {
            return Ok(());
        };
        let used = account.admitted.count(now, self.window);
        let expiry = account.admitted.first().map_or(now, |first| first + self.window);
        let is_within_bound = account.is_within_bound(used, 1.0);
        let is_recent = now < self.valid_until;
        let silence = (!is_recent).then(|| now.since(self.valid_until));
        let refusal = account.check(used, silence, expiry);
        self.is_report_due |= account.share.is_none() && !is_within_bound;
        let Some(refusal) = refusal else {
            account.admitted_total = account.admitted_total.wrapping_add(1);
            account.admitted.add(now, 1.0);
            return Ok(());
        };
        account.refused_total = account.refused_total.wrapping_add(1);
        self.refusals = self.refusals.wrapping_add(1);
        let wait = match refusal {
            Refusal::Share(part) => LocalQuota::SHARE_RETRY_AFTER.mul_f64(1.0 - part),
            Refusal::Bound(expiry) => expiry.since(now),
        };
        // Callers that return at different times are not refused together again.
        let hash = xxh3_64_with_seed(&self.refusals.to_le_bytes(), u64::from(self.router));
        let spread = 0.5 + hash as f64 / u64::MAX as f64;
        Err(wait.max(LocalQuota::MIN_RETRY_AFTER).mul_f64(spread))
    }

    /// Takes back a request that was admitted at `admitted_at` and has not run.
    pub fn refund(&mut self, now: Time, id: AccountId, admitted_at: Time) {
        if let Some(account) = self.accounts.get_mut(&id)
            && now.since(admitted_at) < self.window
        {
            // The request was not counted if the account had no limit then.
            if account.admitted.remove(admitted_at) {
                account.admitted_total = account.admitted_total.wrapping_sub(1);
            }
        }
    }

    /// Returns whether a report should be sent at once, as an account has used up what it may use
    /// without one, and resets this.
    pub fn take_report_due(&mut self) -> bool {
        std::mem::take(&mut self.is_report_due)
    }

    /// Returns the use that the granter of `term` has not been told of.
    pub fn drain_usage(&mut self, now: Time, term: u64) -> AccountUsage {
        if self.reported_term.0 != term {
            self.reported_term = (term, 0);
        }
        self.reported_term.1 += 1;
        let window = self.window;
        self.removed.retain(|_, account| account.admitted.count(now, window) >= 1.0);
        let is_full = self.reported_term.1 <= LocalQuota::FULL_REPORTS;
        let mut entries = Vec::new();
        for (id, account) in &mut self.accounts {
            account.used_at_report = account.admitted.count(now, self.window).max(0.0);
            let totals = (account.admitted_total, account.refused_total);
            let is_changed = totals != account.reported;
            if !is_changed && !is_full {
                continue;
            }
            let in_window = account.used_at_report as u32;
            if is_changed || in_window > 0 {
                let (admitted, refused) = totals;
                let history = match is_full {
                    true => account.admitted.history(now, self.window, UsageEntry::PARTS),
                    false => Vec::new(),
                };
                entries.push(UsageEntry { account: *id, admitted, refused, in_window, history });
            }
        }
        self.select_entries(&mut entries);
        for entry in &entries {
            if let Some(account) = self.accounts.get_mut(&entry.account) {
                account.reported = (entry.admitted, entry.refused);
            }
        }
        let LocalQuota { router, incarnation, .. } = *self;
        let sent_ms = now.since(Time::ZERO).as_millis() as u64;
        AccountUsage { router, incarnation, term, sent_ms, entries }
    }

    /// Keeps as many entries as a report may have, in turn.
    fn select_entries(&mut self, entries: &mut Vec<UsageEntry>) {
        if entries.len() <= LocalQuota::MAX_ENTRIES {
            self.next_account = None;
            return;
        }
        entries.sort_unstable_by_key(|entry| entry.account);
        if let Some(next) = self.next_account {
            let position = entries.partition_point(|entry| entry.account < next);
            entries.rotate_left(position);
        }
        self.next_account = entries.get(LocalQuota::MAX_ENTRIES).map(|entry| entry.account);
        entries.truncate(LocalQuota::MAX_ENTRIES);
    }

    /// Applies the granter's shares; returns whether they are newer than the last ones.
    pub fn apply_shares(&mut self, now: Time, shares: &QuotaShares) -> bool {
        let version = (shares.term, shares.sequence);
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.routers = shares.routers.max(1);
        self.valid_until = now + Duration::from_millis(u64::from(shares.valid_ms));
        let by_account: HashMap<_, _> =
            shares.entries.iter().map(|share| (share.account, *share)).collect();
        for (id, account) in &mut self.accounts {
            account.apply_share(by_account.get(id).copied(), self.routers);
        }
        true
    }

    /// Returns whether recent shares of the granter are known.
    pub fn has_recent_shares(&self, now: Time) -> bool {
        now < self.valid_until
    }

    /// Returns the number of accounts that are near their limit by the last shares.
    pub fn accounts_near_limit(&self) -> usize {
        self.accounts.values().filter(|account| account.share.is_some()).count()
    }
}
