use std::collections::VecDeque;
use std::time::Duration;

use bay_time::Time;

/// Proof of how old a router's configuration can be at most.
///
/// All times are those of the router's own clock, which keeps running while the machine is suspended;
/// clocks of two machines are never compared. A router that has just started has no proof.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct Freshness {
    /// When the last own read of the store that has succeeded was sent.
    read_at: Option<Time>,
    /// When the configuration was certainly the newest, as another router has vouched.
    vouched_at: Option<Time>,
    /// Stamps of the requests that may still be answered, oldest first.
    stamps: VecDeque<Time>,
}

impl Freshness {
    /// Share of the bound up to which a proof may be used. The rest covers clocks that run at
    /// different rates.
    const AGE_LIMIT_SHARE: f64 = 0.95;
    /// Requests that may be open at a time. Older ones are given up.
    const MAX_STAMPS: usize = 8;

    /// Returns the age up to which a proof may be used; `key_withdrawal` is the time from the
    /// withdrawal of a key until no router uses it.
    pub fn age_limit(key_withdrawal: Duration) -> Duration {
        key_withdrawal.mul_f64(Freshness::AGE_LIMIT_SHARE)
    }

    /// Records a read of the store that has shown the newest configuration, now in force; `sent_at` is
    /// when it was sent.
    pub fn record_read(&mut self, sent_at: Time) {
        self.read_at = self.read_at.max(Some(sent_at));
    }

    /// Records that another router is asked now; `now` is the stamp of the request.
    pub fn record_request(&mut self, now: Time) {
        if self.stamps.len() == Freshness::MAX_STAMPS {
            self.stamps.pop_front();
        }
        self.stamps.push_back(now);
    }

    /// Records the answer of another router, whose proof for version `vouched_version` had this age
    /// when it answered. Returns whether it proves that version `own_version`, in force here, was the
    /// newest.
    ///
    /// The time between request and answer counts as part of the age. A stamp that this process has
    /// not sent is ignored: it may be of an earlier process with another clock.
    pub fn record_vouch(
        &mut self,
        stamp: Time,
        age: Duration,
        vouched_version: u64,
        own_version: u64,
    ) -> bool {
        // A time before the clock's origin cannot be represented.
        let is_representable = age <= stamp.since(Time::ZERO);
        let is_known = self.stamps.contains(&stamp);
        if !is_known || !is_representable || own_version < vouched_version {
            return false;
        }
        self.stamps.retain(|earlier| *earlier > stamp);
        self.vouched_at = self.vouched_at.max(Some(stamp - age));
        true
    }

    /// Returns the time since the configuration was certainly the newest; `None` without a proof.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.read_at.max(self.vouched_at).map(|at| now.since(at))
    }

    /// Returns whether API keys may be used.
    pub fn is_proven(&self, now: Time, key_withdrawal: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= Freshness::age_limit(key_withdrawal))
    }

    /// Returns whether this router must read the store itself, because the last proof through another
    /// router is older than half of the age limit.
    pub fn needs_own_read(&self, now: Time, key_withdrawal: Duration) -> bool {
        let max = Freshness::age_limit(key_withdrawal) / 2;
        self.vouched_at.is_none_or(|at| now.since(at) > max)
    }
}
