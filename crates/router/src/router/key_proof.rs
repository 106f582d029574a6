use std::ops::Range;
use std::time::Duration;

use bay_account::Freshness;
use bay_time::Time;
use bay_types::ErrorKind;
use rand::RngExt;

use super::Router;
use crate::{RequestState, RoutingDecision, Vouch};

/// The use of API keys while the platform bounds the time until a withdrawn one is no longer used.
/// Without that bound, none of these methods has an effect on requests.
impl Router {
    /// Divisor of the age limit that gives the longest wait of a watch of the configuration. At a quarter,
    /// the age stays near half of the limit.
    const CONFIG_WATCH_DIVISOR: u32 = 4;

    /// Longest `Retry-After` of a request that was not admitted without a proof.
    const KEYS_OUTDATED_RETRY_AFTER: Duration = Duration::from_millis(400);
    /// Parts of the longest `Retry-After` among which the callers are spread.
    const KEYS_OUTDATED_SPREAD: Range<f64> = 0.5..1.0;

    /// Records a read of the store after which the newest configuration is in force; `sent_at` is when
    /// the read was sent.
    pub fn record_config_read(&mut self, sent_at: Time) {
        self.freshness.record_read(sent_at);
    }

    /// Returns the stamp of a request to another router to vouch for its configuration.
    pub fn request_vouch(&mut self, now: Time) -> u64 {
        self.freshness.record_request(now);
        now.as_nanos()
    }

    /// Returns the answer to another router's request; `None` if this router may not use keys itself.
    pub fn vouch(&self, now: Time, stamp: u64) -> Option<Vouch> {
        let key_withdrawal = self.key_withdrawal()?;
        let config_version = self.config.as_ref()?.version;
        if !self.freshness.is_proven(now, key_withdrawal) {
            return None;
        }
        // Rounded up, since an age that is too small would extend the use of a withdrawn key.
        let age_ms = self.freshness.age(now)?.as_nanos().div_ceil(1_000_000);
        Some(Vouch { stamp, config_version, age_ms: u32::try_from(age_ms).ok()? })
    }

    /// Records another router's answer; returns whether it proves that the configuration in force here
    /// was the newest.
    pub fn record_vouch(&mut self, vouch: &Vouch) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        let stamp = Time::from_nanos(vouch.stamp);
        let age = Duration::from_millis(u64::from(vouch.age_ms));
        self.freshness.record_vouch(stamp, age, vouch.config_version, config.version)
    }

    /// Returns the age up to which the proof allows the use of API keys, if the time from the withdrawal
    /// of a key until no router uses it is bounded.
    pub fn key_proof_limit(&self) -> Option<Duration> {
        self.key_withdrawal().map(Freshness::age_limit)
    }

    fn key_withdrawal(&self) -> Option<Duration> {
        self.settings.bounds.key_withdrawal
    }

    /// Returns the time since the configuration was certainly the newest; `None` without a proof.
    pub fn key_proof_age(&self, now: Time) -> Option<Duration> {
        self.freshness.age(now)
    }

    /// Returns whether the configuration has accounts and nothing has proved yet that it is the newest,
    /// although keys need such a proof.
    pub fn awaits_first_key_proof(&self) -> bool {
        let needs_proof = self.key_withdrawal().is_some() && self.has_accounts();
        needs_proof && self.key_proof_age(Time::ZERO).is_none()
    }

    /// Returns whether this router must read the configuration from the store because no other router
    /// vouches for it.
    pub fn needs_config_read(&self, now: Time) -> bool {
        let needs_read = |bound| self.freshness.needs_own_read(now, bound);
        self.has_accounts() && self.key_withdrawal().is_some_and(needs_read)
    }

    /// Checks that keys may be used now.
    ///
    /// # Errors
    /// Returns `KeysOutdated` if a key of the configuration may have been withdrawn for too long.
    pub(super) fn check_key_proof(&self, now: Time) -> Result<(), ErrorKind> {
        match self.key_withdrawal() {
            Some(key_withdrawal) if !self.freshness.is_proven(now, key_withdrawal) => {
                Err(ErrorKind::KeysOutdated)
            }
            _ => Ok(()),
        }
    }

    /// Checks that a request may still run on behalf of the account that its key has identified.
    ///
    /// # Errors
    /// Returns `KeysOutdated`, or `UnknownApiKey` if the account does not hold the key any more.
    pub fn check_key(&self, now: Time, request: &RequestState) -> Result<(), ErrorKind> {
        let accounts = self.config.as_ref().and_then(|config| config.accounts.as_ref());
        let (Some((account, key)), Some(accounts)) = (&request.account, accounts) else {
            return Ok(());
        };
        if self.key_withdrawal().is_none() {
            return Ok(());
        }
        self.check_key_proof(now)?;
        let holder = accounts.find(*key).filter(|holder| holder.name == account.name);
        holder.map(|_| ()).ok_or(ErrorKind::UnknownApiKey)
    }

    /// Returns the `Retry-After` of a request that was not admitted without a proof. It is spread, as
    /// all callers of a router are refused from the same moment on.
    pub fn keys_outdated_retry_after(
        &mut self,
        host: &str,
        path: &str,
        deadline: Option<Duration>,
    ) -> Duration {
        let time_left = self.max_time(host, path, deadline);
        let max = time_left.map(|time| time.mul_f64(Router::MAX_RETRY_AFTER_SHARE));
        let spread = self.rng.random_range(Router::KEYS_OUTDATED_SPREAD);
        max.map_or(Router::KEYS_OUTDATED_RETRY_AFTER, |max| {
            max.min(Router::KEYS_OUTDATED_RETRY_AFTER)
        })
        .mul_f64(spread)
    }

    /// Refuses a request whose key may not be used any more.
    pub(super) fn refuse_for_key(
        &mut self,
        now: Time,
        request: &RequestState,
        kind: ErrorKind,
    ) -> RoutingDecision {
        match self.refusal(now, request, kind) {
            (kind, after) if kind.has_retry_after() => RoutingDecision::Refuse(kind, after),
            (kind, _) => RoutingDecision::Refuse(kind, None),
        }
    }

    /// Returns the longest wait of a watch of the configuration, by which the proof stays well below
    /// the age limit. A watch proves the state at which it was sent, so the age reaches twice its wait.
    pub fn max_config_watch(&self) -> Option<Duration> {
        Some(self.key_proof_limit()? / Router::CONFIG_WATCH_DIVISOR)
    }
}
