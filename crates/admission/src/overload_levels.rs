use std::time::Duration;

use bay_types::{ServiceName, Term};
use serde::{Deserialize, Serialize};

/// Shares of requests to admit, sent by the granter to every router.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OverloadLevels {
    /// Term of the granter.
    pub term: Term,
    /// Number within the term. A router ignores levels that arrive after later ones.
    pub sequence: u64,
    /// Milliseconds after its arrival for which a router applies the message.
    pub valid_ms: u32,
    /// Levels of the services at which requests of different ranks meet.
    pub services: Vec<ServiceLevel>,
}

impl OverloadLevels {
    /// Time for which levels are applied: three messages may be lost.
    pub const VALIDITY: Duration = Duration::from_millis(1_000);
}

/// Shares of a service's requests to admit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Name of the service.
    pub service: ServiceName,
    /// Shares by rank; empty if all requests are admitted.
    pub shares: Vec<RankShare>,
}

/// Share of a rank's requests to admit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RankShare {
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// Share from 0 to 1.
    pub share: f32,
}

/// Returns the share of a rank. A rank that is not listed has not been seen recently; it gets the share
/// of the next more urgent rank, or all of its requests are admitted if it is the most urgent one.
pub(crate) fn share_of(shares: &[RankShare], rank: u8) -> f64 {
    let listed = shares.iter().rev().find(|each| each.rank <= rank);
    listed.map_or(1.0, |each| f64::from(each.share))
}
