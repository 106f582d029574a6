use std::time::Duration;

use bay_types::{NodeId, ZoneName};

/// Configuration of one gate's pool of a service.
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// The gate's host, its identity towards other gates.
    pub node: NodeId,
    /// The host's zone; targets in it are preferred.
    pub zone: ZoneName,
    /// Limits of each target.
    pub limits: TargetLimits,
    /// Retries allowed, as a fraction of first attempts.
    pub retry_budget: f64,
    /// Hedges allowed, as a fraction of first attempts.
    pub hedge_budget: f64,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Limits of each target of a service, over all gates together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// Requests that a warm target runs at once.
    pub slots: u32,
    /// Connections that a target accepts.
    pub connections: u32,
    /// Requests that a target runs at once right after a cold start.
    pub cold_slots: u32,
    /// Time from a cold start to full capacity; the slots grow linearly.
    pub warmup: Duration,
}
