use std::collections::BTreeMap;
use std::ops::Range;

use bay_quota::{AccountId, AccountUsage, LocalQuota, QuotaLimit, QuotaShares};
use bay_time::Time;
use bay_types::{ErrorKind, Outcome};
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use super::Router;
use crate::{QuotaBounds, RequestState, RoutingDecision};

/// Quotas of client accounts, where the configuration has some and the platform sets bounds.
impl Router {
    /// Parts of the longest `Retry-After` among which callers of an account without quota are spread.
    const QUOTA_WAIT_SPREAD: Range<f64> = 0.5..1.0;

    /// Returns the bounds on quotas and the limits by account; `None` if quotas are not enforced.
    pub fn quota_limits(&self) -> Option<(QuotaBounds, Vec<(AccountId, QuotaLimit)>)> {
        let bounds = self.settings.bounds.quota?;
        let accounts = self.config.as_ref()?.accounts.as_ref()?;
        let limits = accounts.iter().filter_map(|account| {
            let quota = account.quota?;
            let QuotaBounds { window, overshoot, slack } = bounds;
            let limit = QuotaLimit::new(quota.rate, quota.burst, window, overshoot, slack)?;
            Some((AccountId::new(account.name.as_str()), limit))
        });
        // Accounts with the same id are counted together, so the lowest limit holds for all of them.
        let mut by_id: BTreeMap<AccountId, QuotaLimit> = BTreeMap::new();
        for (id, limit) in limits {
            let lowest = by_id.entry(id).or_insert(limit);
            if limit.requests < lowest.requests {
                *lowest = limit;
            }
        }
        (!by_id.is_empty()).then(|| (bounds, by_id.into_iter().collect()))
    }

    /// Returns the bounds on quotas that the platform sets.
    pub fn quota_bounds(&self) -> Option<QuotaBounds> {
        self.settings.bounds.quota
    }

    /// Takes over the limits of the configuration and the bounds in force.
    pub(super) fn update_quota_limits(&mut self) {
        let Some(bounds) = self.settings.bounds.quota else {
            self.quota = None;
            return;
        };
        let limits = self.quota_limits().map(|(_, limits)| limits).unwrap_or_default();
        let router = Router::quota_id(self.settings.host.as_str());
        let routers = self.known_router_count();
        let fresh = || LocalQuota::new(router, self.incarnation, bounds.window, routers);
        let mut quota = self.quota.take().filter(|quota| quota.window() == bounds.window);
        // A configuration without quotas does not make the router forget the use of the window.
        if quota.is_some() || !limits.is_empty() {
            quota.get_or_insert_with(fresh).set_limits(limits);
        }
        self.quota = quota;
    }

    /// Divides the limits among the routers that are known now, if these are more than before. Shares
    /// of the granter tell the number otherwise, but a router that starts has none.
    pub(super) fn update_quota_routers(&mut self) {
        let routers = self.known_router_count();
        if let Some(quota) = &mut self.quota {
            quota.raise_routers(routers);
        }
    }

    /// Returns the number of routers that are alive or registered. A new granter knows few live ones.
    fn known_router_count(&self) -> u32 {
        self.router_count.max(self.hosts.len() as u32)
    }

    /// Returns the id of a router in reports of the use of accounts.
    pub fn quota_id(host: &str) -> u32 {
        xxh3_64(host.as_bytes()) as u32
    }

    /// Counts a request against its account's quota before its first attempt; refuses it if the
    /// account has none left.
    pub(super) fn refuse_for_quota(
        &mut self,
        now: Time,
        request: &mut RequestState,
    ) -> Option<RoutingDecision> {
        let quota = self.quota.as_mut()?;
        let (account, _) = request.account.as_ref()?;
        // A request that was sent before the quota took effect may have run.
        if request.counted_at.is_some() || request.attempts > 0 {
            return None;
        }
        match quota.admit(now, AccountId::new(account.name.as_str())) {
            Ok(()) => {
                request.counted_at = Some(now);
                None
            }
            Err(wait) => {
                let max = request.time_left(now).mul_f64(Router::MAX_RETRY_AFTER_SHARE);
                // Waits above the limit are spread below it: callers that are refused together would
                // otherwise return together.
                let wait = match wait > max {
                    true => max.mul_f64(self.rng.random_range(Router::QUOTA_WAIT_SPREAD)),
                    false => wait,
                };
                Some(RoutingDecision::Refuse(ErrorKind::QuotaExceeded, Some(wait)))
            }
        }
    }

    /// Takes a request back from its account's use if it ends with an error that says that it has
    /// not run.
    pub fn refund_quota(&mut self, now: Time, request: &mut RequestState, error: ErrorKind) {
        if request.may_have_run || error.outcome() != Outcome::NotRun {
            return;
        }
        let counted_at = request.counted_at.take();
        if let (Some(at), Some(quota), Some((account, _))) =
            (counted_at, self.quota.as_mut(), request.account.as_ref())
        {
            quota.refund(now, AccountId::new(account.name.as_str()), at);
        }
    }

    /// Returns whether quotas are enforced.
    pub fn has_quotas(&self) -> bool {
        self.quota.as_ref().is_some_and(LocalQuota::has_limits)
    }

    /// Returns whether the use of accounts should be reported at once, and resets this.
    pub fn take_usage_report_due(&mut self) -> bool {
        self.quota.as_mut().is_some_and(LocalQuota::take_report_due)
    }

    /// Drains the use of accounts for a report to the granter of a term.
    pub fn drain_account_usage(&mut self, now: Time, term: u64) -> Option<AccountUsage> {
        let quota = self.quota.as_mut().filter(|quota| quota.has_limits())?;
        Some(quota.drain_usage(now, term))
    }

    /// Applies the granter's shares of accounts; returns whether they are newer than the last ones.
    pub fn apply_quota_shares(&mut self, now: Time, shares: &QuotaShares) -> bool {
        self.quota.as_mut().is_some_and(|quota| quota.apply_shares(now, shares))
    }

    /// Returns the number of accounts near their limit and whether the granter's shares are recent;
    /// `None` if quotas are not enforced.
    pub fn quota_state(&self, now: Time) -> Option<(usize, bool)> {
        let quota = self.quota.as_ref().filter(|quota| quota.has_limits())?;
        Some((quota.accounts_near_limit(), quota.has_recent_shares(now)))
    }
}
