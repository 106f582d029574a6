use std::ops::Range;
use std::time::Duration;

use super::{Policy, Site};

/// One run of the model.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The service and its gates.
    pub site: Site,
    /// How its targets are shared.
    pub policy: Policy,
    /// Requests offered, as a fraction of what all targets bear.
    pub load: f64,
    /// Mean time that a target works on a request.
    pub service_time: Duration,
    /// Seeds all random draws.
    pub seed: u64,
    /// Time before anything is measured.
    pub settling_time: Duration,
    /// Time that is measured.
    pub measured_time: Duration,
    /// Targets that are slow for a while.
    pub stragglers: Option<Stragglers>,
    /// A zone that operators take out and bring back.
    pub zone_out: Option<ZoneOut>,
    /// Targets that fall back into a cold start.
    pub cold_starts: Vec<ColdStart>,
    /// A gate that is lost.
    pub gate_loss: Option<GateLoss>,
    /// Share of messages between gates that are lost.
    pub message_loss: f64,
    /// Whether refused callers come back when they are told to.
    pub callers_retry: bool,
    /// Whether one of ten customers sends as much as the nine others.
    pub heavy_customer: bool,
}

impl Scenario {
    /// A run without faults.
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

    /// The time at which the run ends.
    pub fn end(&self) -> Duration {
        self.settling_time + self.measured_time
    }

    /// Requests offered a second.
    pub fn rate(&self) -> f64 {
        let slots = self.site.targets as f64 * f64::from(Site::SLOTS);
        self.load * slots / self.service_time.as_secs_f64()
    }
}

/// Targets that answer late for a while, others after them.
#[derive(Debug, Clone, Copy)]
pub struct Stragglers {
    /// One target in this many is slow at any time.
    pub one_in: usize,
    /// Time that a target stays slow.
    pub span: Duration,
    /// Longest extra time of a request, the shortest being a third of it.
    pub max_delay: Duration,
}

/// A zone out of service for a while; its targets return in a cold start.
#[derive(Debug, Clone)]
pub struct ZoneOut {
    /// The zone.
    pub zone: usize,
    /// From the operators' word until their next.
    pub span: Range<Duration>,
}

/// A target that restarts.
#[derive(Debug, Clone, Copy)]
pub struct ColdStart {
    /// The target.
    pub target: usize,
    /// When it restarts.
    pub at: Duration,
    /// Whether it gives the reason when it refuses work, or only sheds.
    pub is_announced: bool,
}

/// A gate that is lost, and known as lost to the others a while later.
#[derive(Debug, Clone, Copy)]
pub struct GateLoss {
    /// The gate.
    pub gate: usize,
    /// When it is lost.
    pub at: Duration,
    /// Time until the others know.
    pub detected_after: Duration,
}
