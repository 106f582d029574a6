use bay_time::Time;

use crate::fallback::Fallback;
use crate::window_count::WindowCount;
use crate::{AccountShare, QuotaLimit};

/// An account at one router.
#[derive(Debug)]
pub(crate) struct LocalAccount {
    pub(crate) limit: QuotaLimit,
    /// Requests admitted within the window.
    pub(crate) admitted: WindowCount,
    pub(crate) admitted_total: u32,
    pub(crate) refused_total: u32,
    /// Totals as of the last report that named them.
    pub(crate) reported: (u32, u32),
    /// Share in force; `None` while the account is not near its limit.
    pub(crate) share: Option<AccountShare>,
    /// Requests admitted within the window when the last shares arrived.
    pub(crate) used_at_shares: f64,
    pub(crate) fallback: Fallback,
    /// Sum of the shares of requests that were offered, less those admitted.
    pub(crate) credit: f64,
    /// Part of a request by which the bound is rounded up. It differs by router, so that the sum of
    /// the rounded bounds is near the sum of the bounds.
    pub(crate) rounding: f64,
}

/// Why a router refuses a request of an account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Refusal {
    /// The admitted share is used up.
    Share(f64),
    /// The router's own bound is reached until this time.
    Bound(Time),
}

impl LocalAccount {
    /// Requests by which a router with recent shares may exceed its bound while the account is not
    /// near its limit.
    const OVERDRAFT: f64 = 2.0;

    pub(crate) fn new(limit: QuotaLimit, rounding: f64, routers: u32) -> LocalAccount {
        LocalAccount {
            limit,
            admitted: WindowCount::default(),
            admitted_total: 0,
            refused_total: 0,
            reported: (0, 0),
            share: None,
            used_at_shares: 0.0,
            fallback: Fallback::new(&limit, None, routers),
            credit: rounding,
            rounding,
        }
    }

    /// Applies the share of a message, `None` if it does not name the account.
    pub(crate) fn apply_share(&mut self, used: f64, share: Option<AccountShare>, routers: u32) {
        if share.is_none() {
            self.credit = self.rounding;
        }
        self.share = share;
        self.used_at_shares = used;
        self.fallback = Fallback::new(&self.limit, share.as_ref(), routers);
    }

    /// Returns whether a request beyond the `used` ones is within the router's bound.
    pub(crate) fn is_within_bound(&self, used: f64) -> bool {
        used + 1.0 <= (self.fallback.bound(self.used_at_shares) + self.rounding).floor()
    }

    /// Returns why a request is refused, `None` if it is admitted. `is_recent` tells whether the
    /// shares are.
    pub(crate) fn check(&mut self, used: f64, is_recent: bool, expiry: Time) -> Option<Refusal> {
        if !is_recent && !self.is_within_bound(used) {
            return Some(Refusal::Bound(expiry));
        }
        let Some(share) = self.share else {
            let within = self.is_within_bound(used - LocalAccount::OVERDRAFT);
            return (!within).then_some(Refusal::Bound(expiry));
        };
        let part = f64::from(share.share) / f64::from(AccountShare::ALL);
        self.credit += part;
        if self.credit < 1.0 {
            return Some(Refusal::Share(part));
        }
        self.credit -= 1.0;
        None
    }
}
