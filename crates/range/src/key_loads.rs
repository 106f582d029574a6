use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::planner::OwnedRange;
use crate::{KeyRates, OwnerId};

/// Request rates by key, as two moving averages: one that is steady, and one that shows at once
/// where many requests have begun to come.
#[derive(Debug, Default, Clone)]
pub struct KeyLoads {
    steady: KeyRates,
    recent: KeyRates,
    decayed: Time,
}

impl KeyLoads {
    /// Time constant of the steady average.
    pub(crate) const SPAN: Duration = Duration::from_millis(4_000);
    /// Time constant of the recent average: two reports of a router.
    const RECENT_SPAN: Duration = Duration::from_millis(600);
    /// Time between two decays.
    const STEP: Duration = Duration::from_millis(250);
    /// Rates below this are forgotten, in requests a second.
    const FLOOR: f64 = 0.02;
    /// How many standard deviations the count of a server's recent requests exceeds what its
    /// steady rate leads to in a surge.
    const SURGE: f64 = 4.0;
    /// The least excess of recent requests that can show a surge.
    const SURGE_REQUESTS: f64 = 8.0;

    /// Adds requests for a key.
    pub fn add(&mut self, key: u16, requests: u32) {
        let requests = f64::from(requests);
        self.steady.add(key, requests / KeyLoads::SPAN.as_secs_f64());
        self.recent.add(key, requests / KeyLoads::RECENT_SPAN.as_secs_f64());
    }

    /// Lets old requests count less.
    pub fn decay(&mut self, now: Time) {
        let passed = now.since(self.decayed);
        if passed < KeyLoads::STEP {
            return;
        }
        self.decayed = now;
        let factor = |span: Duration| (-passed.as_secs_f64() / span.as_secs_f64()).exp();
        self.steady.scale(factor(KeyLoads::SPAN), KeyLoads::FLOOR);
        self.recent.scale(factor(KeyLoads::RECENT_SPAN), KeyLoads::FLOOR);
    }

    /// The steady rates.
    pub fn steady(&self) -> &KeyRates {
        &self.steady
    }

    /// The rates as the planner sees them: recent ones for servers with a surge, whose steady
    /// rates lag behind, and steady ones for the others, whose recent rates are mostly noise.
    pub(crate) fn estimate(&self, holdings: &[OwnedRange]) -> KeyRates {
        let mut by_owner: BTreeMap<OwnerId, (f64, f64)> = BTreeMap::new();
        for held in holdings {
            let (steady, recent) = by_owner.entry(held.owner).or_default();
            *steady += self.steady.rate(held.range);
            *recent += self.recent.rate(held.range);
        }
        let surges = |(steady, recent): (f64, f64)| {
            let counted = |rate: f64| rate * KeyLoads::RECENT_SPAN.as_secs_f64();
            let noise = counted(steady).sqrt() * KeyLoads::SURGE;
            counted(recent - steady) > noise.max(KeyLoads::SURGE_REQUESTS)
        };
        let mut rates = KeyRates::default();
        for held in holdings {
            let surge = by_owner.get(&held.owner).copied().is_some_and(surges);
            rates.extend_from(if surge { &self.recent } else { &self.steady }, held.range);
        }
        rates
    }
}
