use bay_types::{Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

/// Configuration of an [`crate::Owner`].
#[derive(Debug, Clone)]
pub struct OwnerConfig {
    /// The steward's host.
    pub node: NodeId,
    /// Identifies this start of the steward's process.
    pub incarnation: Incarnation,
    /// The host's zone.
    pub zone: ZoneName,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// One process of a steward, which can hold a role in a term.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The steward's host.
    pub node: NodeId,
    /// Identifies the start of its process.
    pub incarnation: Incarnation,
}

/// A steward as membership sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StewardView {
    /// The steward's process.
    pub holder: Holder,
    /// The host's zone.
    pub zone: ZoneName,
    /// The steward's state.
    pub state: StewardState,
    /// Whether the steward may be keeper, deputy or planner.
    pub candidate: bool,
}

/// The membership state of a steward, as far as ownership depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StewardState {
    /// It answers, or is suspected but not yet declared dead.
    Alive,
    /// It is stopping.
    Leaving,
    /// It has been declared dead.
    Dead,
}
