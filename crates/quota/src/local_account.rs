use std::time::Duration;

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
    /// Requests admitted within the window at the last report.
    pub(crate) used_at_report: f64,
    /// Value of `used_at_report` when the last shares arrived. The granter has computed the total
    /// from the reports, and not from what was admitted since.
    pub(crate) used_at_shares: f64,
    /// Highest use of all routers that the last shares allow for; `None` before the first ones.
    known_use: Option<f64>,
    fallback: Fallback,
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
    /// Time without recent shares after which a router goes below its bound. By then it is rather cut
    /// off than the granter lost, and the others do not know of its use.
    const LONG_SILENCE: Duration = Duration::from_millis(1_500);
    /// Part of the bound that holds then. With the whole one, 7 of 1,000 simulated fleets exceeded
    /// the limit, most of them with a third of the routers cut off and the granter lost.
    const LONG_SILENCE_PART: f64 = 0.85;
    /// Requests by which a router with recent shares may exceed its bound.
    const OVERDRAFT: f64 = 2.0;

    pub(crate) fn new(limit: QuotaLimit, rounding: f64, routers: u32) -> LocalAccount {
        LocalAccount {
            limit,
            admitted: WindowCount::default(),
            admitted_total: 0,
            refused_total: 0,
            reported: (0, 0),
            share: None,
            used_at_report: 0.0,
            used_at_shares: 0.0,
            known_use: None,
            fallback: Fallback::at_start(&limit, routers),
            credit: rounding,
            rounding,
        }
    }

    /// Applies the share of a message, `None` if it does not name the account.
    pub(crate) fn apply_share(&mut self, share: Option<AccountShare>, routers: u32) {
        if share.is_none() {
            self.credit = self.rounding;
        }
        self.share = share;
        self.used_at_shares = self.used_at_report;
        let unlisted = self.limit.requests * Fallback::NEAR;
        self.known_use = Some(share.map_or(unlisted, |share| f64::from(share.used)));
        self.set_routers(routers);
    }

    /// Replaces the limit; the use and the share stay.
    pub(crate) fn set_limit(&mut self, limit: QuotaLimit, routers: u32) {
        self.limit = limit;
        self.set_routers(routers);
    }

    /// Replaces the number of routers among which the limit is divided.
    pub(crate) fn set_routers(&mut self, routers: u32) {
        self.fallback = match self.known_use {
            Some(known_use) => Fallback::new(&self.limit, known_use, routers),
            None => Fallback::at_start(&self.limit, routers),
        };
    }

    /// Returns whether a request beyond the `used` ones is within the router's bound. Of this, a
    /// `part` holds.
    pub(crate) fn is_within_bound(&self, used: f64, part: f64) -> bool {
        used + 1.0 <= (self.fallback.bound(self.used_at_shares) * part + self.rounding).floor()
    }

    /// Returns whether a request is within what a router with recent shares may use until the next
    /// ones: its use may grow as long as that of all routers is known.
    fn is_within_growth(&self, used: f64) -> bool {
        let steady = self.fallback.equal + self.used_at_shares;
        let bound = self.fallback.bound(self.used_at_shares).max(steady);
        used + 1.0 <= bound + LocalAccount::OVERDRAFT
    }

    /// Returns why a request is refused, `None` if it is admitted. `silence` is the time since the
    /// shares were recent, if they are not.
    pub(crate) fn check(
        &mut self,
        used: f64,
        silence: Option<Duration>,
        expiry: Time,
    ) -> Option<Refusal> {
        let is_within = match silence {
            None => self.is_within_growth(used),
            Some(time) if time < LocalAccount::LONG_SILENCE => self.is_within_bound(used, 1.0),
            Some(_) => self.is_within_bound(used, LocalAccount::LONG_SILENCE_PART),
        };
        if !is_within {
            return Some(Refusal::Bound(expiry));
        }
        let part = self.share.map_or(1.0, |share| share.part());
        self.credit += part;
        if self.credit < 1.0 {
            return Some(Refusal::Share(part));
        }
        self.credit -= 1.0;
        None
    }
}
