/// What a gate can take; beyond it, requests are refused at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GateLimits {
    /// Requests that have not ended.
    pub calls: usize,
    /// Requests among them that wait for an owner, a target or a claim.
    pub waiting: usize,
}

impl Default for GateLimits {
    fn default() -> GateLimits {
        GateLimits { calls: 16_384, waiting: 4_096 }
    }
}
