use std::time::Duration;

/// How long servers hold keys without a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldTimes {
    /// The hold of one grant.
    pub hold: Duration,
    /// Time between two renewals.
    pub renew_interval: Duration,
}

impl HoldTimes {
    /// The hold that is asked for where the platform allows it; it outlasts the loss of a granter
    /// (takeover after [`crate::Leadership::HEARTBEAT_TIMEOUT`] and one renewal interval).
    const PREFERRED_HOLD: Duration = Duration::from_millis(3_500);
    /// Renewals in one hold, so that a few lost ones do not end it.
    const RENEWALS_PER_HOLD: u32 = 4;
    /// How much slower than the granter's a server's clock may run, in percent (platform bound).
    const CLOCK_DRIFT_PERCENT: u32 = 2;
    /// Added to the longest hold for what is late at either end.
    const MARGIN: Duration = Duration::from_millis(150);
    /// Longest time from the decision to send an order to its result.
    const ORDER: Duration = Duration::from_millis(1_000);

    /// Times for a platform that allows holds up to a bound.
    pub fn bounded_by(max_hold: Duration) -> HoldTimes {
        let hold = HoldTimes::PREFERRED_HOLD.min(max_hold);
        HoldTimes { hold, renew_interval: hold / HoldTimes::RENEWALS_PER_HOLD }
    }

    /// The longest time after an order's arrival for which the server may hold the keys.
    pub fn max_after_arrival(&self) -> Duration {
        self.hold + self.hold * HoldTimes::CLOCK_DRIFT_PERCENT / 100 + HoldTimes::MARGIN
    }

    /// The same after the decision to send an order whose result is not known yet.
    pub fn max_after_decision(&self) -> Duration {
        self.max_after_arrival() + HoldTimes::ORDER
    }
}
