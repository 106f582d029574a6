use std::time::Duration;

/// Times of holds, which are leases: a server serves keys only until its hold expires.
///
/// A hold starts when the server receives the grant, and each renewal starts it again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldTimes {
    /// Duration of a hold.
    pub hold: Duration,
    /// Time between two renewals of a hold.
    pub renew_interval: Duration,
}

impl HoldTimes {
    /// Duration of a hold unless the platform's limit is lower. It outlasts the loss of a granter,
    /// with a takeover after [`crate::Leadership::HEARTBEAT_TIMEOUT`] and one renewal interval.
    const PREFERRED_HOLD: Duration = Duration::from_millis(3_500);
    /// Renewals within one hold; a hold survives the loss of a few of them.
    const RENEWALS_PER_HOLD: u32 = 4;
    /// Platform's bound on how much slower a server's clock runs than the granter's, in percent.
    const CLOCK_DRIFT_PERCENT: u32 = 2;
    /// Margin for delays at the granter and at the server.
    const MARGIN: Duration = Duration::from_millis(150);
    /// Longest time from the decision to send a grant to its result.
    pub const MAX_ORDER_TIME: Duration = Duration::from_millis(1_000);

    /// Creates the times for a platform that allows holds up to `max_hold`.
    pub fn bounded_by(max_hold: Duration) -> HoldTimes {
        let hold = HoldTimes::PREFERRED_HOLD.min(max_hold);
        HoldTimes { hold, renew_interval: hold / HoldTimes::RENEWALS_PER_HOLD }
    }

    /// Returns the longest time after an order's arrival for which the server may hold the keys.
    pub fn max_after_arrival(&self) -> Duration {
        self.hold + self.hold * HoldTimes::CLOCK_DRIFT_PERCENT / 100 + HoldTimes::MARGIN
    }

    /// Returns the longest time after the decision to send a grant for which the server may hold
    /// the keys, while the result is unknown.
    pub fn max_after_decision(&self) -> Duration {
        self.max_after_arrival() + HoldTimes::MAX_ORDER_TIME
    }
}
