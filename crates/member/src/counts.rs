/// Counters of the exchange between nodes, since the start.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PeerCounts {
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Refutations issued by this node.
    pub refuted: u64,
    /// Suspicions raised by this node's own probes.
    pub suspected: u64,
    /// Nodes that this node declared dead when a suspicion expired.
    pub found_dead: u64,
    /// Detected pauses of this process.
    pub paused: u64,
    /// Items dropped because the held version is not older.
    pub stale_items: u64,
    /// Items dropped because they could not be applied, mostly deltas from versions not held.
    pub gaps: u64,
    /// Items requested from peers.
    pub wanted: u64,
}
