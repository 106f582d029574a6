use std::collections::BTreeMap;
use std::time::Duration;

use bay_time::Time;

use crate::planner::OwnedRange;
use crate::{KeyRates, OwnerId, RateEstimate};

/// Request rates by key, as exponential moving averages over several times.
///
/// A long average has little noise; a short one shows a change at once. The estimate for a plan
/// chooses between them for each server.
#[derive(Debug, Default, Clone)]
pub struct KeyLoads {
    averages: [KeyRates; KeyLoads::TIME_CONSTANTS.len()],
    /// When the first request was added.
    started_at: Option<Time>,
    decayed_at: Time,
}

impl KeyLoads {
    /// Time constants of the averages, ascending. The shortest spans two reports of a router.
    const TIME_CONSTANTS: [Duration; 4] = [
        Duration::from_millis(600),
        Duration::from_millis(1_600),
        Duration::from_millis(4_000),
        Duration::from_millis(12_000),
    ];
    /// Index of the average that serves where no servers are compared.
    const STEADY: usize = 2;
    /// Least time between two decays.
    const DECAY_INTERVAL: Duration = Duration::from_millis(250);
    /// Share of a single request's weight at or below which a key is removed.
    const MIN_WEIGHT: f64 = 0.02;
    /// Standard deviations by which a server's rate over a short time has to differ from that over a
    /// longer one for a change of its load.
    const CHANGE_DEVIATIONS: f64 = 3.0;
    /// Difference between the request counts of a short and a longer time up to which there is no
    /// change.
    const MIN_CHANGE_REQUESTS: f64 = 4.0;

    /// Adds requests for a key to all averages.
    pub fn add(&mut self, key: u16, requests: u32) {
        let requests = f64::from(requests);
        for (average, time_constant) in self.averages.iter_mut().zip(KeyLoads::TIME_CONSTANTS) {
            average.add(key, requests / time_constant.as_secs_f64());
        }
    }

    /// Decays the averages by the time since the last decay, if `KeyLoads::DECAY_INTERVAL` has
    /// passed.
    pub fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at);
        if elapsed < KeyLoads::DECAY_INTERVAL {
            return;
        }
        self.decayed_at = now;
        if self.started_at.is_none() && !self.steady().is_empty() {
            self.started_at = Some(now);
        }
        for (average, time_constant) in self.averages.iter_mut().zip(KeyLoads::TIME_CONSTANTS) {
            let factor = (-elapsed.as_secs_f64() / time_constant.as_secs_f64()).exp();
            average.scale(factor, KeyLoads::MIN_WEIGHT / time_constant.as_secs_f64());
        }
    }

    /// Returns the average over some seconds.
    pub fn steady(&self) -> &KeyRates {
        &self.averages[KeyLoads::STEADY]
    }

    /// Returns the average over the shortest time.
    pub(crate) fn recent(&self) -> &KeyRates {
        &self.averages[0]
    }

    /// Returns the rates to plan with.
    ///
    /// Each server's keys get the rates of the longest average that agrees with all shorter ones up to
    /// noise (Lepski's method).
    pub(crate) fn estimate(&self, owned_ranges: &[OwnedRange]) -> RateEstimate {
        let spans = self.spans();
        let mut by_owner: BTreeMap<OwnerId, [f64; KeyLoads::TIME_CONSTANTS.len()]> =
            BTreeMap::new();
        for owned in owned_ranges {
            let rates = by_owner.entry(owned.owner).or_default();
            for (rate, average) in rates.iter_mut().zip(&self.averages) {
                *rate += average.rate(owned.range);
            }
        }
        let chosen: BTreeMap<OwnerId, usize> =
            by_owner.iter().map(|(owner, rates)| (*owner, choose_average(rates, &spans))).collect();
        let mut rates = KeyRates::default();
        for owned in owned_ranges {
            let at = chosen.get(&owned.owner).copied().unwrap_or_default();
            rates.extend_scaled(&self.averages[at], spans[at].correction, owned.range);
        }
        let windows = chosen.into_iter().map(|(owner, at)| (owner, spans[at].window)).collect();
        RateEstimate { rates, windows }
    }

    /// Returns what each average covers after the time since the first request.
    fn spans(&self) -> [Span; KeyLoads::TIME_CONSTANTS.len()] {
        let elapsed = self
            .started_at
            .map_or(Duration::MAX, |at| self.decayed_at.since(at).max(KeyLoads::DECAY_INTERVAL));
        KeyLoads::TIME_CONSTANTS.map(|time_constant| Span::new(time_constant, elapsed))
    }
}

/// What a moving average covers some time after its start.
#[derive(Debug, Clone, Copy)]
struct Span {
    /// Factor by which the average is too low, as it started at zero.
    correction: f64,
    /// Seconds over which a mean would be as precise.
    window: f64,
}

impl Span {
    fn new(time_constant: Duration, elapsed: Duration) -> Span {
        let time_constant = time_constant.as_secs_f64();
        let missing = (-elapsed.as_secs_f64() / time_constant).exp();
        Span {
            correction: 1.0 / (1.0 - missing),
            window: 2.0 * time_constant * (1.0 - missing) / (1.0 + missing),
        }
    }
}

/// Returns the index of the longest average that agrees with all shorter ones.
fn choose_average(rates: &[f64], spans: &[Span]) -> usize {
    let corrected = |at: usize| rates[at] * spans[at].correction;
    let agrees = |longer: usize, shorter: usize| {
        let window = spans[shorter].window;
        let difference = (corrected(longer) - corrected(shorter)).abs() * window;
        let noise = (corrected(longer) * window).sqrt() * KeyLoads::CHANGE_DEVIATIONS;
        difference <= noise.max(KeyLoads::MIN_CHANGE_REQUESTS)
    };
    (1..rates.len())
        .rev()
        .find(|longer| (0..*longer).all(|shorter| agrees(*longer, shorter)))
        .unwrap_or_default()
}
