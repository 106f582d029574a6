/// Counts what the exchange between nodes came to.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct PeerCounts {
    /// Datagrams that did not decode.
    pub malformed: u64,
    /// Times that this node refuted what others thought of it.
    pub refuted: u64,
    /// Nodes that this node was the first to suspect.
    pub suspected: u64,
    /// Nodes that this node found dead when its suspicion ran out.
    pub found_dead: u64,
    /// Times that this node found that it had been paused.
    pub paused: u64,
    /// Items that were older than what is known, and dropped.
    pub stale_items: u64,
    /// Differences that did not build on what is known.
    pub gaps: u64,
    /// Items that peers were asked for.
    pub wanted: u64,
}
