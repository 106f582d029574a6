use std::time::Duration;

use bay_types::{NodeId, ZoneName};

/// What a gate's share of one service is told at its start.
#[derive(Debug, Clone)]
pub struct PoolConfig {
    /// The gate's host.
    pub node: NodeId,
    /// The host's zone.
    pub zone: ZoneName,
    /// What each target can take.
    pub limits: TargetLimits,
    /// Retries allowed, as a fraction of first attempts.
    pub retry_budget: f64,
    /// Hedges allowed, as a fraction of first attempts.
    pub hedge_budget: f64,
    /// Seeds the random choices.
    pub seed: u64,
}

/// What each target of a service can take, over all gates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLimits {
    /// Requests that a target runs at once.
    pub slots: u32,
    /// Connections that a target takes.
    pub connections: u32,
    /// Requests that a target runs at once right after a cold start.
    pub cold_slots: u32,
    /// Time from a cold start to full speed.
    pub warmup: Duration,
}
