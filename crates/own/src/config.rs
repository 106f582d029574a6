use bay_types::{Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

/// What an [`crate::Owner`] is told at its start.
#[derive(Debug, Clone)]
pub struct OwnerConfig {
    /// The steward's host.
    pub node: NodeId,
    /// The start of the steward's process.
    pub incarnation: Incarnation,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seeds the random choices.
    pub seed: u64,
}

/// One process of a steward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The steward's host.
    pub node: NodeId,
    /// The start of its process.
    pub incarnation: Incarnation,
}

/// A steward as membership sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StewardView {
    /// The steward's process.
    pub holder: Holder,
    /// The host's zone.
    pub zone: ZoneName,
    /// Whether it is up.
    pub state: StewardState,
    /// Whether it may be named keeper, deputy or planner.
    pub candidate: bool,
}

/// Whether a steward is up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StewardState {
    /// It answers, or is only suspected.
    Alive,
    /// It is about to stop.
    Leaving,
    /// It has been silent for too long.
    Dead,
}
