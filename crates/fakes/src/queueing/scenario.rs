use std::ops::Range;
use std::time::Duration;

use super::{Policy, Site};

/// Settings of one run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Service and its gates.
    pub site: Site,
    /// Policy for sharing the targets.
    pub policy: Policy,
    /// Offered load, as a fraction of the capacity of all targets.
    pub load: f64,
    /// Mean service time of a request.
    pub service_time: Duration,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time before the measurement, in which the model reaches its steady state.
    pub settling_time: Duration,
    /// Duration of the measurement.
    pub measured_time: Duration,
    /// Targets that are slow in turn.
    pub stragglers: Option<Stragglers>,
    /// Zone that is taken out of service and back in.
    pub zone_out: Option<ZoneOut>,
    /// Targets that restart cold.
    pub cold_starts: Vec<ColdStart>,
    /// Gate that fails.
    pub gate_loss: Option<GateLoss>,
    /// Probability that a message between gates is lost.
    pub message_loss: f64,
    /// Whether refused callers retry after the given delay.
    pub callers_retry: bool,
    /// Whether one of ten customers sends half of the requests and a tenth of the rest.
    pub heavy_customer: bool,
}

impl Scenario {
    /// Creates a run without faults.
    pub fn new(site: Site, policy: Policy, load: f64, seed: u64) -> Scenario {
        Scenario {
            site,
            policy,
            load,
            service_time: Duration::from_millis(20),
            seed,
            settling_time: Duration::from_secs(13),
            measured_time: Duration::from_secs(10),
            stragglers: None,
            zone_out: None,
            cold_starts: Vec::new(),
            gate_loss: None,
            message_loss: 0.0,
            callers_retry: false,
            heavy_customer: false,
        }
    }

    /// Returns the duration of the whole run.
    pub fn end(&self) -> Duration {
        self.settling_time + self.measured_time
    }

    /// Returns the offered requests per second.
    pub fn rate(&self) -> f64 {
        let slots = self.site.targets as f64 * f64::from(Site::SLOTS);
        self.load * slots / self.service_time.as_secs_f64()
    }
}

/// Targets that are slow for a while, and then others in their place.
#[derive(Debug, Clone, Copy)]
pub struct Stragglers {
    /// On average, one target in this many is slow at any time.
    pub one_in: usize,
    /// Time after which other targets become slow.
    pub span: Duration,
    /// Longest extra service time of a request; the shortest is a third of it.
    pub max_delay: Duration,
}

/// A zone out of service for a while; its targets return in a cold start.
#[derive(Debug, Clone)]
pub struct ZoneOut {
    /// Index of the zone.
    pub zone: usize,
    /// Times of the operators' commands out and in, since the start of the run.
    pub span: Range<Duration>,
}

/// A target that restarts.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    /// Index of the target.
    pub target: usize,
    /// Time of the restart since the start of the run.
    pub at: Duration,
    /// Whether refusals name the cold start as the reason instead of shedding.
    pub is_announced: bool,
}

/// A gate that fails; the other gates detect it later.
#[derive(Debug, Clone, Copy)]
pub struct GateLoss {
    /// Index of the gate.
    pub gate: usize,
    /// Time of the failure since the start of the run.
    pub at: Duration,
    /// Time from the failure until the other gates detect it.
    pub detected_after: Duration,
}
