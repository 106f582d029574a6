use crate::QuotaLimit;

/// Bounds of a router without recent shares. Their sum over all routers is within the limit.
///
/// One part of the limit is divided equally, the other by the use of each router.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fallback {
    /// Requests within the window that every router may admit.
    pub(crate) equal: f64,
    /// Requests within the window for each request that the router had in the window.
    pub(crate) per_used: f64,
}

impl Fallback {
    /// Part of the limit from which an account counts as near it and has a share.
    pub(crate) const NEAR: f64 = 0.65;
    /// Part of the overshoot and slack that the sum of the bounds leaves free. Each router rounds its
    /// bound, and its use is taken at another time than that of the others.
    const RESERVE: f64 = 0.4;
    /// Part that is divided equally. Callers keep their connections, so that the use of a router
    /// predicts more.
    pub(crate) const EQUAL: f64 = 0.25;

    /// Computes the bounds for an account of which all routers together have `used` requests in the
    /// window.
    pub(crate) fn new(limit: &QuotaLimit, used: f64, routers: u32) -> Fallback {
        let total = limit.requests + (limit.bound - limit.requests) * (1.0 - Fallback::RESERVE);
        let each = total / f64::from(routers.max(1));
        let growth = limit.requests / used.max(limit.requests * Fallback::NEAR);
        Fallback { equal: each * Fallback::EQUAL, per_used: (1.0 - Fallback::EQUAL) * growth }
    }

    /// Computes the bounds before the first shares. No router is known to have any use then, so that the
    /// whole limit is divided equally: with the equal part of [`Fallback::new`] alone, a calm fleet that
    /// starts loses 0.11 of its first requests.
    pub(crate) fn at_start(limit: &QuotaLimit, routers: u32) -> Fallback {
        let Fallback { equal, .. } = Fallback::new(limit, 0.0, routers);
        Fallback { equal: equal / Fallback::EQUAL, per_used: 0.0 }
    }

    /// Returns the bound of a router with this use in the window.
    pub(crate) fn bound(&self, used: f64) -> f64 {
        self.equal + self.per_used * used
    }
}
